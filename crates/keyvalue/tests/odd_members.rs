//! Odd entries in the list of members: each is skipped, all others are used.

use std::io::{Read, Write};
use std::net::TcpListener;

use mimosapass_keyvalue::members::{MembersClient, decode};
use proptest::prelude::*;
use rstest::rstest;

const SOUND: &str = r#"{"name":"sound","role":"engine","zone":"a","addr":"10.0.0.1:80"}"#;

/// Stack of a thread that decodes; a stack overflow would end the test's process.
const STACK_BYTES: usize = 256 * 1024;

/// Returns an entry with a field set to some JSON.
fn with(field: &str, json: &str) -> Vec<u8> {
    let fields = ["name", "role", "zone", "addr"].into_iter().filter(|f| *f != field);
    let fields = fields.map(|f| match f {
        "role" => r#""role":"engine""#.to_owned(),
        "addr" => r#""addr":"10.0.0.2:80""#.to_owned(),
        other => format!(r#""{other}":"odd""#),
    });
    let fields: Vec<String> = fields.chain([format!(r#""{field}":{json}"#)]).collect();
    format!("{{{}}}", fields.join(",")).into_bytes()
}

/// Returns a list with the entry between two sound ones.
fn between(odd: &[u8]) -> Vec<u8> {
    [b"[", SOUND.as_bytes(), b",", odd, b",", SOUND.as_bytes(), b"]"].concat()
}

/// Decodes on a small stack; returns the names.
fn names(json: Vec<u8>) -> Result<Vec<String>, String> {
    let work = move || {
        let members = decode(&json).map_err(|e| e.to_string())?;
        Ok(members.into_iter().map(|m| m.name).collect())
    };
    let thread = std::thread::Builder::new().stack_size(STACK_BYTES).spawn(work);
    thread.expect("a thread").join().expect("no panic")
}

/// Serves a body once, as the platform's list.
fn serve(body: Vec<u8>) -> MembersClient {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut caller, _) = listener.accept().expect("a caller");
        let mut head = [0; 4096];
        drop(caller.read(&mut head));
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        caller.write_all(&[head.as_bytes(), &body].concat()).expect("sent");
    });
    MembersClient::new(&addr.to_string())
}

fn nested(depth: usize, open: &str, close: &str) -> String {
    format!("{}1{}", open.repeat(depth), close.repeat(depth))
}

/// Guards against an instance that stops following the list for one odd entry.
#[rstest]
#[case::nested_lists(with("zone", &nested(5_000, "[", "]")))]
#[case::nested_objects(with("labels", &nested(5_000, "{\"a\":", "}")))]
#[case::nested_alone(nested(100_000, "[", "]").into_bytes())]
#[case::unknown_role(with("role", "\"queue\""))]
#[case::number_for_text(with("name", "7"))]
#[case::number_beyond_a_float(with("zone", "1e999"))]
#[case::number_beyond_64_bits(with("zone", "123456789012345678901234567890"))]
#[case::text_for_a_truth_value(with("leaving", "\"yes\""))]
#[case::port_of_zero(with("addr", "\"10.0.0.2:0\""))]
#[case::port_below_zero(with("addr", "\"10.0.0.2:-1\""))]
#[case::port_out_of_range(with("addr", "\"10.0.0.2:65536\""))]
#[case::no_port(with("addr", "\"10.0.0.2\""))]
#[case::any_address(with("addr", "\"0.0.0.0:80\""))]
#[case::line_break_in_the_name(with("name", r#""a\r\nx: y""#))]
#[case::no_name(with("name", "\"\""))]
#[case::repeated_key(with("later", r#"1,"name":"odd""#))]
#[case::long_text(with("zone", &format!("\"{}\"", "z".repeat(1_000_000))))]
#[case::null(b"null".to_vec())]
#[case::bytes_that_are_no_text(with("role", "\"\u{1}\"").iter().map(|b| if *b == 1 { 0xff } else { *b }).collect())]
fn odd_entry_is_skipped(#[case] odd: Vec<u8>) {
    assert_eq!(names(between(&odd)).expect("a list"), ["sound", "sound"]);
    assert!(names([b"[", &*odd, b"]"].concat()).expect("a list").is_empty());
    let listed = serve(between(&odd)).read().expect("a list");
    assert_eq!(listed.len(), 2, "{listed:?}");
}

#[test]
fn unknown_field_is_ignored_whatever_it_holds() {
    let entry = with("later", &nested(5_000, "[", "]"));
    assert_eq!(names(between(&entry)).expect("a list"), ["sound", "odd", "sound"]);
}

/// Text that the grammar of an entry is made of, and what goes beyond it.
fn any_value() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        Just("null".to_owned()),
        any::<f64>().prop_map(|n| n.to_string()),
        any::<i128>().prop_map(|n| n.to_string()),
        (0..5_i32, -400..400_i32).prop_map(|(m, e)| format!("{m}e{e}")),
        (0..70_000_i64).prop_map(|port| format!("\"10.0.0.2:{}\"", port - 2)),
        "[ -~]{0,40}".prop_map(|text| serde_json::to_string(&text).expect("text")),
        (1..3_000_usize).prop_map(|depth| nested(depth, "[", "]")),
        (1..3_000_usize).prop_map(|depth| nested(depth, "{\"name\":", "}")),
        (1..9_000_usize).prop_map(|length| format!("\"{}\"", "x".repeat(length))),
    ];
    leaf.boxed()
}

proptest! {
    #[test]
    fn any_entry_leaves_the_others(
        fields in prop::collection::vec(
            (prop_oneof![Just("name"), Just("role"), Just("zone"), Just("addr"), Just("labels"), Just("later")], any_value()),
            0..7,
        ),
    ) {
        let fields: Vec<String> = fields.iter().map(|(k, v)| format!("\"{k}\":{v}")).collect();
        let odd = format!("{{{}}}", fields.join(","));
        let found = names(between(odd.as_bytes())).expect("a list");
        prop_assert!(found.iter().filter(|name| *name == "sound").count() >= 2);
    }

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        drop(names(bytes.clone()));
        // Within a string, so that they stay an entry.
        let text: Vec<u8> = bytes.into_iter().filter(|b| !b"\"\\".contains(b) && *b >= 0x20).collect();
        let odd = [br#"{"name":""#, &*text, br#""}"#].concat();
        let found = names(between(&odd)).expect("a list");
        prop_assert_eq!(found.len(), 2);
    }
}
