//! Tests of the `mimosactl` program with the platform stand-in.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Command, Output};

use mimosapass_keyvalue::members::{Member, Role};
use mimosapass_standin::platform::{Faults, Platform};
use rstest::rstest;

const ONE: &str = "# The first line stays as written.
pools:
  - {name: engines}   # every engine
classes:
  - {name: chats, promise_ms: 1800, deadline_ms: 20000}
workspaces:
  - name: atlas
";

/// Platform stand-in and temporary directory of one test.
struct Fixture {
    platform: Platform,
    dir: PathBuf,
}

impl Fixture {
    fn new(name: &str) -> Self {
        let platform = Platform::start(local(0)).expect("platform starts");
        let dir = std::env::temp_dir().join(format!("mimosactl-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("directory is created");
        Self { platform, dir }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        std::fs::write(&path, text).expect("written");
        path.display().to_string()
    }

    fn run(&self, args: &[&str]) -> CommandOutput {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mimosactl"));
        command.env("MIMOSAPASS_PLATFORM", self.platform.addr().to_string()).env("USER", "ana");
        CommandOutput::from(&command.args(args).output().expect("mimosactl runs"))
    }

    fn text(&self) -> String {
        let output = self.run(&["get"]);
        assert_eq!(output.code, 0, "{}", output.err);
        output.out
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.dir).unwrap_or_default();
    }
}

#[derive(Debug)]
struct CommandOutput {
    code: i32,
    out: String,
    err: String,
}

impl From<&Output> for CommandOutput {
    fn from(output: &Output) -> Self {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let code = output.status.code().expect("an exit code");
        Self { code, out: text(&output.stdout), err: text(&output.stderr) }
    }
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

#[test]
fn an_applied_change_is_stored_as_written() {
    let fixture = Fixture::new("apply");
    let file = fixture.file("one.yaml", ONE);
    assert_eq!(fixture.run(&["apply", &file]).out, "version 1 is accepted\n");
    assert_eq!(fixture.text(), ONE);
    assert_eq!(fixture.run(&["diff", &file]).code, 0);
    assert_eq!(fixture.run(&["apply", &file]).out, "version 1 already has this text\n");
    let two = fixture.file("two.yaml", &ONE.replace("1800", "900"));
    let diff = fixture.run(&["diff", &two]);
    assert_eq!(diff.code, 7);
    assert!(diff.out.contains("-  - {name: chats, promise_ms: 1800"), "{}", diff.out);
    assert!(diff.out.contains("+  - {name: chats, promise_ms: 900"), "{}", diff.out);
    assert_eq!(fixture.run(&["apply", "--author", "ben", &two]).code, 0);
    let history = fixture.run(&["history"]).out;
    let authors: Vec<&str> =
        history.lines().skip(1).filter_map(|l| l.split_whitespace().nth(1)).collect();
    assert_eq!(authors, ["ben", "ana"], "{history}");
    assert_eq!(fixture.run(&["get", "--version", "1"]).out, ONE);
}

#[test]
fn a_conflict_shows_both_changes_and_changes_nothing() {
    let fixture = Fixture::new("lost");
    assert_eq!(fixture.run(&["apply", &fixture.file("one.yaml", ONE)]).code, 0);
    let theirs = ONE.replace("1800", "900");
    assert_eq!(fixture.run(&["apply", &fixture.file("two.yaml", &theirs)]).code, 0);
    let proposed = fixture.file("mine.yaml", &ONE.replace("atlas", "dokaz"));
    let output = fixture.run(&["apply", "--base", "1", &proposed]);
    assert_eq!(output.code, 3, "{}", output.err);
    for line in [
        "+++ version 2 by ana",
        "+  - {name: chats, promise_ms: 900",
        "+++ this change",
        "+  - name: dokaz",
    ] {
        assert!(output.err.contains(line), "{}", output.err);
    }
    assert_eq!(fixture.text(), theirs);
}

#[test]
fn of_concurrent_operators_one_succeeds_and_the_others_get_a_conflict() {
    let fixture = Fixture::new("race");
    assert_eq!(fixture.run(&["apply", &fixture.file("base.yaml", ONE)]).code, 0);
    let files: Vec<String> = (0..6)
        .map(|i| fixture.file(&format!("{i}.yaml"), &ONE.replace("1800", &format!("{}", 900 + i))))
        .collect();
    let codes: Vec<i32> = std::thread::scope(|scope| {
        let threads: Vec<_> = files
            .iter()
            .map(|f| scope.spawn(|| fixture.run(&["apply", "--base", "1", f]).code))
            .collect();
        threads.into_iter().map(|r| r.join().expect("thread finishes")).collect()
    });
    assert_eq!(codes.iter().filter(|c| **c == 0).count(), 1, "{codes:?}");
    assert!(codes.iter().all(|c| matches!(c, 0 | 3)), "{codes:?}");
    let winner = codes.iter().position(|c| *c == 0).expect("one succeeded");
    assert_eq!(fixture.text(), ONE.replace("1800", &format!("{}", 900 + winner)));
}

#[test]
fn the_outcome_after_a_lost_answer_is_read_from_the_store() {
    let fixture = Fixture::new("answer");
    assert_eq!(fixture.run(&["apply", &fixture.file("one.yaml", ONE)]).code, 0);
    fixture.platform.set(Faults { lose_writes: 3, ..Faults::default() });
    let two = ONE.replace("1800", "900");
    let output = fixture.run(&["apply", &fixture.file("two.yaml", &two)]);
    assert_eq!(
        (output.code, output.out.as_str()),
        (0, "version 2 is accepted\n"),
        "{}",
        output.err
    );
    assert_eq!(fixture.text(), two);
}

#[test]
fn a_drain_keeps_the_rest_of_the_text_as_written() {
    let fixture = Fixture::new("drain");
    let member = |name: &str, rack: &str| Member {
        name: name.to_owned(),
        role: Role::Engine,
        zone: "charguia".to_owned(),
        addr: "127.0.0.1:1".to_owned(),
        labels: [("rack".to_owned(), rack.to_owned())].into(),
        leaving: false,
    };
    fixture.platform.set_members(vec![
        member("one", "r7"),
        member("two", "r8"),
        member("three", "r7"),
    ]);
    assert_eq!(fixture.run(&["apply", &fixture.file("one.yaml", ONE)]).code, 0);
    let output = fixture.run(&["drain", "rack=r7"]);
    assert_eq!(output.out, "version 2 is accepted\ntargets with these labels now: one, three\n");
    assert_eq!(fixture.text(), format!("{ONE}drained:\n  - {{\"rack\": \"r7\"}}\n"));
    assert_eq!(fixture.run(&["drain", "rack=r7"]).code, 1);
    assert_eq!(fixture.run(&["drain", "rack=r8", "hall=2"]).code, 0);
    assert_eq!(fixture.run(&["undrain", "rack=r7"]).code, 0);
    let one = "drained:\n  - {\"hall\": \"2\", \"rack\": \"r8\"}\n";
    assert_eq!(fixture.text(), format!("{ONE}{one}"));
    assert_eq!(fixture.run(&["undrain", "hall=2", "rack=r8"]).code, 0);
    assert_eq!(fixture.text(), ONE);
}

#[test]
fn concurrent_drains_all_take_effect() {
    let fixture = Fixture::new("drains");
    assert_eq!(fixture.run(&["apply", &fixture.file("one.yaml", ONE)]).code, 0);
    std::thread::scope(|scope| {
        for i in 0..4 {
            let fixture = &fixture;
            scope.spawn(move || assert_eq!(fixture.run(&["drain", &format!("rack=r{i}")]).code, 0));
        }
    });
    let text = fixture.text();
    assert!((0..4).all(|i| text.contains(&format!("- {{\"rack\": \"r{i}\"}}"))), "{text}");
}

#[rstest]
#[case::faults(&["check", "FAULTY"], 2)]
#[case::no_file(&["check", "/nowhere.yaml"], 2)]
#[case::nothing_applied(&["get"], 6)]
#[case::no_history(&["history"], 6)]
#[case::nothing_to_drain(&["drain", "a=b"], 6)]
#[case::wrong_use(&["drain"], 1)]
#[case::bad_label(&["drain", "rack"], 1)]
#[case::silent_instance(&["status", "--instance", "127.0.0.1:1"], 4)]
#[case::silent_explain(&["explain", "--instance", "127.0.0.1:1", "x"], 4)]
#[case::help(&["--help"], 0)]
#[case::completion(&["--bpaf-complete-style-bash"], 0)]
fn exit_code_depends_on_the_failure(#[case] args: &[&str], #[case] code: i32) {
    let fixture = Fixture::new(&format!("code-{}-{code}", args.join("-").replace('/', "-")));
    let faulty = fixture.file("faulty.yaml", "pools: 7\n");
    let args: Vec<&str> = args.iter().map(|a| if *a == "FAULTY" { &faulty } else { *a }).collect();
    let output = fixture.run(&args);
    assert_eq!(output.code, code, "{output:?}");
}

#[rstest]
#[case::atlas("atlas/fleet.yaml")]
#[case::dokaz("dokaz/fleet.yaml")]
#[case::quickstart("quickstart.yaml")]
#[case::overhead("overhead.yaml")]
fn the_example_configurations_are_valid(#[case] name: &str) {
    let file = format!("{}/../../examples/config/{name}", env!("CARGO_MANIFEST_DIR"));
    let output = Fixture::new(&name.replace('/', "-")).run(&["check", &file]);
    assert_eq!(output.code, 0, "{}", output.err);
}

#[test]
fn an_outage_changes_nothing_and_is_reported() {
    let fixture = Fixture::new("outage");
    let file = fixture.file("one.yaml", ONE);
    fixture.platform.set(Faults { outage: true, ..Faults::default() });
    let output = fixture.run(&["apply", &file]);
    assert_eq!(output.code, 4, "{output:?}");
    fixture.platform.set(Faults::default());
    assert_eq!(fixture.run(&["get"]).code, 6);
}

#[test]
fn every_exit_code_is_listed_in_the_help() {
    let fixture = Fixture::new("help");
    let help = fixture.run(&["--help"]).out;
    let listed = help.lines().filter_map(|l| l.trim().split_once(' ')?.0.parse::<i32>().ok());
    assert_eq!(listed.collect::<Vec<_>>(), (0..=7).collect::<Vec<_>>(), "{help}");
}
