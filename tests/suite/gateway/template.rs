//! Figures of the platform in every form, through the settings template that is shipped.

use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use mimosapass_standin::metastore::Metastore;
use mimosapass_standin::template::{fill, placeholders};
use rstest::rstest;
use serde_json::{Value, json};

use super::eventually;
use crate::common::unique_ip;

const TEMPLATE: &str = include_str!("../../../deploy/gateway.yaml");
const DEPLOYMENT: &str = include_str!("../../../deploy/system.toml");

/// Fields that are figures, each with its setting.
const FIGURES: [(&str, &str); 6] = [
    ("bounds.grace_s", "stop.limit_s"),
    ("bounds.retry_ratio", "repeats.ratio"),
    ("bounds.retry_slack", "repeats.slack"),
    ("bounds.retry_window_s", "repeats.window_s"),
    ("limits.memory_mb", "memory_mb"),
    ("limits.cpu_share", "cores"),
];
/// Fields that are texts and addresses.
const TEXTS: [&str; 8] = [
    "node_name",
    "zone",
    "ip",
    "listen.frontend",
    "listen.readiness",
    "platform.address",
    "port_range.0",
    "port_range.1",
];
/// Lists, which may be empty.
const LISTS: [&str; 1] = ["seeds"];

/// Returns the fields of a start, with some that no template knows.
fn fields(store: &str) -> Value {
    let ip = unique_ip();
    json!({
        "node_name": "edge-a-1", "zone": "a", "ip": ip.to_string(), "region": "west",
        "listen": { "frontend": format!("{ip}:8080"), "readiness": format!("{ip}:8081") },
        "port_range": [8082, 8083], "platform": { "address": store, "form": "kv" },
        "seeds": ["127.0.0.1:7001", "127.0.0.1:7002"], "field_of_later": { "a": [1] },
        "bounds": { "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 100, "retry_window_s": 10,
            "bound_of_later": true },
        "limits": { "memory_mb": 260, "cpu_share": 0.25, "max_fds": 4100 },
    })
}

/// Writes a value as text, so that its form stays; `None` takes the value away.
fn set(fields: &mut Value, name: &str, form: Option<&str>) {
    let pointer = format!("/{}", name.replace('.', "/"));
    *fields.pointer_mut(&pointer).expect(name) = form.map_or(Value::Null, |f| json!(f));
}

fn write(fields: &Value) -> PathBuf {
    let file = std::env::temp_dir().join(format!("mimosapass-template-{}.yaml", unique_ip()));
    std::fs::write(&file, fill(TEMPLATE, fields)).expect("written");
    file
}

/// Checks a filled in template; returns the exit code and what was written.
fn check(fields: &Value) -> (Option<i32>, String) {
    let file = write(fields);
    let mut command = Command::new(env!("CARGO_BIN_EXE_mimosapass"));
    let output = command.args(["gateway", "--check", "--config"]).arg(&file).output();
    std::fs::remove_file(file).expect("removed");
    let output = output.expect("it runs");
    let printed = String::from_utf8([output.stdout, output.stderr].concat()).expect("text");
    (output.status.code(), printed)
}

/// Starts a gateway with these fields; returns the log line of its start.
fn start(fields: &Value, more: &[&str]) -> String {
    let file = write(fields);
    let log = file.with_extension("log");
    let out = Stdio::from(std::fs::File::create(&log).expect("a file"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_mimosapass"));
    command.args(["gateway", "--config"]).arg(&file).args(more).stdout(out);
    let mut child = command.spawn().expect("it starts");
    let end = Instant::now() + Duration::from_secs(20);
    let line = loop {
        let text = std::fs::read_to_string(&log).expect("a log");
        if let Some(line) = text.lines().find(|line| line.contains("gateway: started")) {
            break line.to_owned();
        }
        assert!(child.try_wait().expect("a state").is_none(), "it has ended: {text}");
        assert!(Instant::now() < end, "it has not started: {text}");
        std::thread::sleep(Duration::from_millis(10));
    };
    child.kill().expect("killed");
    child.wait().expect("it ends");
    for file in [file, log] {
        std::fs::remove_file(file).expect("removed");
    }
    line
}

/// Checks a figure of a log line.
fn assert_figure(line: &str, key: &str, wanted: f64) {
    let found = line.split(' ').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
    let figure: f64 = found.and_then(|text| text.parse().ok()).expect(line);
    assert!(figure.total_cmp(&wanted).is_eq(), "{key} is not {wanted}: {line}");
}

/// Guards against a placeholder that no case of these tests covers.
#[test]
fn every_placeholder_has_a_case() {
    let mut covered: Vec<&str> = FIGURES.iter().map(|(name, _)| *name).collect();
    covered.extend(TEXTS);
    covered.extend(LISTS);
    covered.sort_unstable();
    let names = placeholders(TEMPLATE);
    assert_eq!(names.iter().map(String::as_str).collect::<Vec<_>>(), covered);
    let run = DEPLOYMENT.lines().find(|line| line.starts_with("run = ")).expect("a program");
    assert_eq!(placeholders(run).into_iter().collect::<Vec<_>>(), ["bootstrap"]);
}

/// Guards against review/5: no gateway started once a bound was a fraction.
#[rstest]
fn start_with_a_figure_in_any_form(
    #[values("8", "8.0", "7.5", "0.0001", "1e1", "0", "4000", "1e30", "")] form: &str,
) {
    let store = Metastore::default().open_endpoint().addr.to_string();
    let mut fields = fields(&store);
    for (name, _) in FIGURES.iter().filter(|(name, _)| *name != "limits.memory_mb") {
        set(&mut fields, name, (!form.is_empty()).then_some(form));
    }
    let line = start(&fields, &[]);
    let Ok(value) = form.parse::<f64>() else {
        let defaults = ["stop_limit_ms=8000 ", "retry_window_ms=10000", "capacity=1000 "];
        assert!(defaults.iter().all(|text| format!("{line} ").contains(text)), "{line}");
        return;
    };
    if (0.001..=1000.0).contains(&value) {
        assert_figure(&line, "stop_limit_ms", value * 1000.0);
        assert_figure(&line, "capacity", value * 1000.0);
    }
    assert_figure(&line, "retry_slack", value);
    // In a window of less than a second, only the fixed number allows retries.
    let (ratio, window) = if value < 1.0 { (0.0, 1.0) } else { (value, value.min(1e9)) };
    assert_figure(&line, "retry_ratio", ratio);
    assert_figure(&line, "retry_window_ms", window * 1000.0);
}

/// As above, for memory, of which a gateway needs some.
#[rstest]
#[case::whole("260", 260.0)]
#[case::with_a_point("260.0", 260.0)]
#[case::exponent("2.6e2", 260.0)]
#[case::fraction("260.5", 260.0)]
#[case::least("64", 64.0)]
#[case::large("4000", 4000.0)]
#[case::largest("1e30", 16_777_216.0)]
#[case::no_value("", 256.0)]
fn start_with_memory_in_any_form(#[case] form: &str, #[case] wanted: f64) {
    let store = Metastore::default().open_endpoint().addr.to_string();
    let mut fields = fields(&store);
    set(&mut fields, "limits.memory_mb", (!form.is_empty()).then_some(form));
    assert_figure(&start(&fields, &[]), "memory_mb", wanted);
}

#[rstest]
fn each_figure_is_read_in_any_form(
    #[values(0, 1, 2, 3, 4, 5)] field: usize,
    #[values("8", "8.0", "7.5", "0.0001", "1e1", "0", "4000", "1e30", "")] form: &str,
) {
    let (name, setting) = FIGURES[field];
    let mut fields = fields("127.0.0.1:7000");
    set(&mut fields, name, (!form.is_empty()).then_some(form));
    let (code, printed) = check(&fields);
    let too_small = setting == "memory_mb" && form.parse::<f64>().is_ok_and(|mb| mb < 64.0);
    assert_eq!(code, Some(if too_small { 2 } else { 0 }), "{printed}");
    assert!(!too_small || printed.contains("memory_mb: write megabytes, 64 or more"), "{printed}");
}

#[rstest]
fn what_is_no_figure_is_refused(
    #[values(0, 1, 2, 3, 4, 5)] field: usize,
    #[values("soon", "-1", "-0.5", "false", "true", "inf", "-inf", ".nan", "1e400", "8s", "[8]")]
    form: &str,
) {
    let (name, setting) = FIGURES[field];
    let mut fields = fields("127.0.0.1:7000");
    set(&mut fields, name, Some(form));
    let (code, printed) = check(&fields);
    assert_eq!(code, Some(2), "{printed}");
    let last = setting.rsplit('.').next().expect("a field");
    let line = TEMPLATE.lines().position(|line| line.trim().starts_with(last)).expect("a line");
    let place = format!(".yaml:{}: {setting}: ", line + 1);
    assert!(printed.contains(&place) && printed.contains("write "), "{place}\n{printed}");
}

#[rstest]
fn text_without_a_value_is_refused(#[values(0, 1, 2, 3, 4, 5, 6, 7)] field: usize) {
    let mut fields = fields("127.0.0.1:7000");
    set(&mut fields, TEXTS[field], None);
    let (code, printed) = check(&fields);
    assert_eq!(code, Some(2), "{printed}");
    assert!(printed.contains("write "), "{printed}");
}

#[test]
fn lists_may_be_empty() {
    let mut fields = fields("127.0.0.1:7000");
    for seeds in [json!([]), Value::Null] {
        fields["seeds"] = seeds;
        let (code, printed) = check(&fields);
        assert_eq!(code, Some(0), "{printed}");
    }
}

/// What the words of `run` say of the first start holds, and means no if it is missing.
#[rstest]
#[case::first("--first-start=true", true)]
#[case::later("--first-start=false", false)]
#[case::no_value("--first-start=", false)]
#[case::not_filled_in("--first-start={{bootstrap}}", false)]
fn first_start_is_told_at_each_start(#[case] word: &str, #[case] wanted: bool) {
    let store = Metastore::default().open_endpoint().addr.to_string();
    let line = start(&fields(&store), &[word]);
    assert!(line.contains(&format!("first_start={wanted}")), "{line}");
    let line = start(&fields(&store), &[]);
    assert!(line.contains("first_start=false"), "{line}");
}

/// Fields without a value take their defaults, and a log line names each.
#[test]
fn fields_without_a_value_are_logged() {
    let store = Metastore::default().open_endpoint().addr.to_string();
    let mut fields = fields(&store);
    for (name, _) in FIGURES {
        set(&mut fields, name, None);
    }
    let file = write(&fields);
    let log = file.with_extension("log");
    let out = Stdio::from(std::fs::File::create(&log).expect("a file"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_mimosapass"));
    let mut child =
        command.args(["gateway", "--config"]).arg(&file).stdout(out).spawn().expect("it starts");
    eventually("each field has a line", || {
        let text = std::fs::read_to_string(&log).expect("a log");
        FIGURES.iter().all(|(_, setting)| {
            text.contains(&format!(": {setting}: it has no value and takes its default."))
        })
    });
    child.kill().expect("killed");
    child.wait().expect("it ends");
    for file in [file, log] {
        std::fs::remove_file(file).expect("removed");
    }
}
