//! The operator tool as a program, against a stand-in of the platform.

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

/// A platform and a directory of one test.
struct Bench {
    platform: Platform,
    dir: PathBuf,
}

impl Bench {
    fn new(name: &str) -> Self {
        let platform = Platform::start(local(0)).expect("platform starts");
        let dir = std::env::temp_dir().join(format!("mimosactl-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory can be made");
        Self { platform, dir }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        std::fs::write(&path, text).expect("written");
        path.display().to_string()
    }

    fn run(&self, args: &[&str]) -> Ran {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mimosactl"));
        command.env("MIMOSAPASS_PLATFORM", self.platform.addr().to_string()).env("USER", "ana");
        Ran::from(&command.args(args).output().expect("it runs"))
    }

    fn text(&self) -> String {
        let ran = self.run(&["get"]);
        assert_eq!(ran.code, 0, "{}", ran.err);
        ran.out
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.dir).unwrap_or_default();
    }
}

#[derive(Debug)]
struct Ran {
    code: i32,
    out: String,
    err: String,
}

impl From<&Output> for Ran {
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
fn a_change_is_applied_once_and_kept_as_written() {
    let bench = Bench::new("apply");
    let file = bench.file("one.yaml", ONE);
    assert_eq!(bench.run(&["apply", &file]).out, "version 1 is accepted\n");
    assert_eq!(bench.text(), ONE);
    assert_eq!(bench.run(&["diff", &file]).code, 0);
    assert_eq!(bench.run(&["apply", &file]).out, "version 1 is this text already\n");
    let two = bench.file("two.yaml", &ONE.replace("1800", "900"));
    let diff = bench.run(&["diff", &two]);
    assert_eq!(diff.code, 7);
    assert!(diff.out.contains("-  - {name: chats, promise_ms: 1800"), "{}", diff.out);
    assert!(diff.out.contains("+  - {name: chats, promise_ms: 900"), "{}", diff.out);
    assert_eq!(bench.run(&["apply", "--author", "ben", &two]).code, 0);
    let history = bench.run(&["history"]).out;
    let authors: Vec<&str> =
        history.lines().skip(1).filter_map(|l| l.split_whitespace().nth(1)).collect();
    assert_eq!(authors, ["ben", "ana"], "{history}");
    assert_eq!(bench.run(&["get", "--version", "1"]).out, ONE);
}

#[test]
fn a_lost_race_shows_both_changes_and_changes_nothing() {
    let bench = Bench::new("lost");
    assert_eq!(bench.run(&["apply", &bench.file("one.yaml", ONE)]).code, 0);
    let theirs = ONE.replace("1800", "900");
    assert_eq!(bench.run(&["apply", &bench.file("two.yaml", &theirs)]).code, 0);
    let mine = bench.file("mine.yaml", &ONE.replace("atlas", "dokaz"));
    let ran = bench.run(&["apply", "--base", "1", &mine]);
    assert_eq!(ran.code, 3, "{}", ran.err);
    for line in [
        "+++ version 2 by ana",
        "+  - {name: chats, promise_ms: 900",
        "+++ this change",
        "+  - name: dokaz",
    ] {
        assert!(ran.err.contains(line), "{}", ran.err);
    }
    assert_eq!(bench.text(), theirs);
}

#[test]
fn of_racing_operators_each_wins_a_version_or_is_told() {
    let bench = Bench::new("race");
    assert_eq!(bench.run(&["apply", &bench.file("base.yaml", ONE)]).code, 0);
    let files: Vec<String> = (0..6)
        .map(|i| bench.file(&format!("{i}.yaml"), &ONE.replace("1800", &format!("{}", 900 + i))))
        .collect();
    let codes: Vec<i32> = std::thread::scope(|scope| {
        let racing: Vec<_> = files
            .iter()
            .map(|f| scope.spawn(|| bench.run(&["apply", "--base", "1", f]).code))
            .collect();
        racing.into_iter().map(|r| r.join().expect("it ends")).collect()
    });
    assert_eq!(codes.iter().filter(|c| **c == 0).count(), 1, "{codes:?}");
    assert!(codes.iter().all(|c| matches!(c, 0 | 3)), "{codes:?}");
    let winner = codes.iter().position(|c| *c == 0).expect("one won");
    assert_eq!(bench.text(), ONE.replace("1800", &format!("{}", 900 + winner)));
}

#[test]
fn a_lost_answer_is_settled_by_reading() {
    let bench = Bench::new("answer");
    assert_eq!(bench.run(&["apply", &bench.file("one.yaml", ONE)]).code, 0);
    bench.platform.set(Faults { lose_writes: 3, ..Faults::default() });
    let two = ONE.replace("1800", "900");
    let ran = bench.run(&["apply", &bench.file("two.yaml", &two)]);
    assert_eq!((ran.code, ran.out.as_str()), (0, "version 2 is accepted\n"), "{}", ran.err);
    assert_eq!(bench.text(), two);
}

#[test]
fn a_drain_is_a_change_that_keeps_the_rest_as_written() {
    let bench = Bench::new("drain");
    let member = |name: &str, rack: &str| Member {
        name: name.to_owned(),
        role: Role::Engine,
        zone: "charguia".to_owned(),
        addr: "127.0.0.1:1".to_owned(),
        labels: [("rack".to_owned(), rack.to_owned())].into(),
        leaving: false,
    };
    bench.platform.set_members(vec![
        member("one", "r7"),
        member("two", "r8"),
        member("three", "r7"),
    ]);
    assert_eq!(bench.run(&["apply", &bench.file("one.yaml", ONE)]).code, 0);
    let ran = bench.run(&["drain", "rack=r7"]);
    assert_eq!(ran.out, "version 2 is accepted\ntargets with these labels now: one, three\n");
    assert_eq!(bench.text(), format!("{ONE}drained:\n  - {{\"rack\": \"r7\"}}\n"));
    assert_eq!(bench.run(&["drain", "rack=r7"]).code, 1);
    assert_eq!(bench.run(&["drain", "rack=r8", "hall=2"]).code, 0);
    assert_eq!(bench.run(&["undrain", "rack=r7"]).code, 0);
    let one = "drained:\n  - {\"hall\": \"2\", \"rack\": \"r8\"}\n";
    assert_eq!(bench.text(), format!("{ONE}{one}"));
    assert_eq!(bench.run(&["undrain", "hall=2", "rack=r8"]).code, 0);
    assert_eq!(bench.text(), ONE);
}

#[test]
fn racing_drains_all_take_effect() {
    let bench = Bench::new("drains");
    assert_eq!(bench.run(&["apply", &bench.file("one.yaml", ONE)]).code, 0);
    std::thread::scope(|scope| {
        for i in 0..4 {
            let bench = &bench;
            scope.spawn(move || assert_eq!(bench.run(&["drain", &format!("rack=r{i}")]).code, 0));
        }
    });
    let text = bench.text();
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
fn exit_codes_have_meanings(#[case] args: &[&str], #[case] code: i32) {
    let bench = Bench::new(&format!("code-{}-{code}", args.join("-").replace('/', "-")));
    let faulty = bench.file("faulty.yaml", "pools: 7\n");
    let args: Vec<&str> = args.iter().map(|a| if *a == "FAULTY" { &faulty } else { *a }).collect();
    let ran = bench.run(&args);
    assert_eq!(ran.code, code, "{ran:?}");
}

#[rstest]
#[case::atlas("atlas/fleet.yaml")]
#[case::dokaz("dokaz/fleet.yaml")]
#[case::quickstart("quickstart.yaml")]
#[case::overhead("overhead.yaml")]
fn the_example_configurations_hold(#[case] name: &str) {
    let file = format!("{}/../../examples/config/{name}", env!("CARGO_MANIFEST_DIR"));
    let ran = Bench::new(&name.replace('/', "-")).run(&["check", &file]);
    assert_eq!(ran.code, 0, "{}", ran.err);
}

#[test]
fn an_outage_changes_nothing_and_says_so() {
    let bench = Bench::new("outage");
    let file = bench.file("one.yaml", ONE);
    bench.platform.set(Faults { outage: true, ..Faults::default() });
    let ran = bench.run(&["apply", &file]);
    assert_eq!(ran.code, 4, "{ran:?}");
    bench.platform.set(Faults::default());
    assert_eq!(bench.run(&["get"]).code, 6);
}

#[test]
fn every_exit_code_stands_in_the_help() {
    let bench = Bench::new("help");
    let help = bench.run(&["--help"]).out;
    let told = help.lines().filter_map(|l| l.trim().split_once(' ')?.0.parse::<i32>().ok());
    assert_eq!(told.collect::<Vec<_>>(), (0..=7).collect::<Vec<_>>(), "{help}");
}
