//! `mimosapass check` reports all faults of a settings file.

use std::process::Command;

use rstest::rstest;

pub const VALID: &str = "name: entry-1
zone: charguia
platform: 127.0.0.1:7000
listen:
  callers: 127.0.0.1:8080
  peers: 127.0.0.1:8081
  operators: 127.0.0.1:8082
stop:
  notice_ms: 3000
callers: {head_ms: 5000}
";

/// Runs `mimosapass check` and returns its exit code and output.
pub fn check(text: &str, name: &str) -> (Option<i32>, String) {
    let file = std::env::temp_dir().join(format!("mimosapass-{}-{name}.yaml", std::process::id()));
    std::fs::write(&file, text).expect("written");
    let output = Command::new(env!("CARGO_BIN_EXE_mimosapass")).arg("check").arg(&file).output();
    std::fs::remove_file(&file).expect("removed");
    let output = output.expect("it runs");
    let printed = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(printed).expect("text"))
}

#[test]
fn valid_settings_pass() {
    let (code, printed) = check(VALID, "valid");
    assert_eq!(code, Some(0), "{printed}");
}

#[rstest]
#[case::unknown("zone: charguia", "zones: charguia", 2, "zones: unknown field")]
#[case::missing("zone: charguia", "", 1, "zone: the field `zone` is missing; add it")]
#[case::address("127.0.0.1:7000", "localhost", 3, "write an IP address and port")]
#[case::same_address("127.0.0.1:8081", "127.0.0.1:8080", 6, "it is the address for callers")]
#[case::time("notice_ms: 3000", "notice_ms: 3s", 9, "`3s` is invalid")]
#[case::range("head_ms: 5000", "head_ms: 0", 10, "write milliseconds, 1 to 3600000")]
#[case::body("head_ms: 5000", "body_bytes: 10", 10, "write bytes, 1024 to 268435456")]
#[case::connections("head_ms: 5000", "connections: 0", 10, "write 1 to 65536")]
#[case::name("name: entry-1", "name: entry 1", 1, "write 1 to 64 letters")]
fn an_invalid_setting_is_reported_with_its_line(
    #[case] from: &str,
    #[case] to: &str,
    #[case] line: usize,
    #[case] text: &str,
) {
    let (code, printed) = check(&VALID.replacen(from, to, 1), &format!("{line}-{}", text.len()));
    assert_eq!(code, Some(2), "{printed}");
    assert!(printed.contains(&format!(".yaml:{line}: ")) && printed.contains(text), "{printed}");
}

#[test]
fn all_faults_are_reported_in_one_run() {
    let text = VALID
        .replace("zone: charguia", "zone:")
        .replace("127.0.0.1:7000", "nowhere")
        .replace("notice_ms", "notice");
    let (code, printed) = check(&text, "all");
    assert_eq!(code, Some(2));
    assert!([2, 3, 9].iter().all(|line| printed.contains(&format!(".yaml:{line}: "))), "{printed}");
}

#[test]
fn the_operating_page_documents_every_setting_and_error_code() {
    let page = include_str!("../../docs/OPERATING.md");
    let sections = ["listen", "stop", "callers", "claims"];
    let invalid = sections.map(|s| format!("{s}: {{nothing: 1}}")).join("\n");
    let (_, printed) = check(&format!("nothing: 1\n{invalid}\n"), "page");
    for line in printed.lines().filter(|l| l.contains("nothing: unknown field")) {
        let path = line.split(": ").nth(1).expect("a path").trim_end_matches("nothing");
        let fields = line.split("write one of: ").nth(1).expect("fields").split(", ");
        for field in fields.filter(|f| !sections.contains(f)) {
            assert!(page.contains(&format!("| `{path}{field}` |")), "{path}{field}");
        }
    }
    assert_eq!(printed.matches("write one of: ").count(), sections.len() + 1, "{printed}");
    for row in &mimosapass_core::error::TABLE {
        let not_run = if row.not_run { "yes" } else { "no" };
        let retry = if row.retry == mimosapass_core::error::Retry::Never { "no" } else { "yes" };
        let line = format!("| `{}` | {} | {not_run} | {retry} |", row.code, row.status);
        assert!(page.contains(&line), "{line}");
    }
}

#[rstest]
#[case::atlas("atlas")]
#[case::dokaz("dokaz")]
fn the_example_settings_are_valid(#[case] user: &str) {
    let dir = format!("{}/examples/config/{user}", env!("CARGO_MANIFEST_DIR"));
    let files = std::fs::read_dir(dir).expect("examples").map(|f| f.expect("a file").path());
    let settings: Vec<_> = files.filter(|f| !f.ends_with("fleet.yaml")).collect();
    assert_eq!(settings.len(), 3, "one for each availability zone");
    for file in settings {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mimosapass"));
        let output = command.arg("check").arg(&file).output().expect("it runs");
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    }
}
