//! Where calls go once their costs and the speeds of targets have been seen.

use std::time::Duration;

use mimosapass_standin::target::{Reply, ScriptedTarget, Step};

use super::Cluster;

/// Callers at once, and the calls of each.
const CALLERS: usize = 4;
const CALLS: usize = 16;
const FAST: Duration = Duration::from_millis(20);
const SLOW: Duration = Duration::from_millis(160);

/// Starts a target that answers calls after `time`.
fn start_desk(id: &str, time: Duration) -> ScriptedTarget {
    ScriptedTarget::start(id, move |head| {
        let attempt = head.header("x-attempt-id").unwrap_or_default();
        let text = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-server-seal: s\r\n\
             content-length: 3\r\n\r\nyes"
        );
        Reply::Steps(vec![Step::Silence(time), Step::Text(text)])
    })
}

/// Sends calls of several callers through one gateway; returns the share of the later half that
/// went to the slow one of three targets.
fn slow_share(settings: &str) -> f64 {
    let mut cluster = Cluster::start(0);
    let times = [SLOW, FAST, FAST];
    let targets: Vec<_> =
        times.iter().enumerate().map(|(n, time)| start_desk(&format!("i-{n}"), *time)).collect();
    for target in &targets {
        cluster.register(target, "desk");
    }
    let endpoint = cluster.endpoint.clone();
    cluster.add_with(&endpoint, &[], settings);
    cluster.ready(0).knows_targets(0, targets.len());
    let run = |from: usize, to: usize| {
        std::thread::scope(|scope| {
            for caller in 0..CALLERS {
                let cluster = &cluster;
                scope.spawn(move || {
                    for n in from..to {
                        let answer = cluster.ask(0, "/look/1", &format!("id-{caller}-{n}"));
                        assert_eq!(answer.response.status, 200);
                    }
                });
            }
        });
    };
    run(0, CALLS / 2);
    let before = targets[0].requests().len();
    run(CALLS / 2, CALLS);
    (targets[0].requests().len() - before) as f64 / (CALLERS * CALLS / 2) as f64
}

/// Guards against a server that is eight times as slow as its peers, answers soundly, and gets
/// its share by the number of calls alone.
#[test]
fn slow_server_gets_few_calls_once_its_speed_is_known() {
    let (learned, stated) = (slow_share("costs: learned\n"), slow_share(""));
    assert!(learned <= 0.1, "{learned:.2} of the calls, with stated costs {stated:.2}");
}

/// Guards against a misspelt setting that is taken for the default.
#[test]
fn setting_of_another_word_is_a_fault() {
    let file = std::env::temp_dir().join(format!("mimosapass-costs-{}.yaml", std::process::id()));
    let text = "name: g\nzone: a\nlisten: {callers: 127.0.0.1:1, ready: 127.0.0.1:2, \
                peers: 127.0.0.1:3, metrics: 127.0.0.1:4}\nstore: 127.0.0.1:5\n";
    for line in ["costs: guessed", "pricing: high"] {
        std::fs::write(&file, format!("{text}{line}\n")).expect("written");
        let run = std::process::Command::new(env!("CARGO_BIN_EXE_mimosapass"))
            .args(["gateway", "--config"])
            .arg(&file)
            .output()
            .expect("it runs");
        let message = String::from_utf8_lossy(&run.stderr);
        assert!(!run.status.success() && message.contains("learned"), "{line}: {message}");
    }
    std::fs::remove_file(&file).expect("removed");
}
