//! Targets that stop in the middle of a response's head: no caller gets a success, nor a promise
//! that the request did not run.

use mimosapass_standin::relay::{Admission, Relay};
use mimosapass_standin::target::{Reply, ScriptedTarget, Step};
use rstest::rstest;

use super::{Answer, Cluster, KEY, call, head};
use crate::common::WAIT_TIMEOUT;

/// Number of targets, each of which cuts its responses at another byte.
const TARGETS: usize = 10;
const MANY_RETRIES: &str = "repeats: {first_start: true, ratio: 1, slack: 500, window_ms: 10000}\n";

/// What callers ask for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Asked {
    /// A call that may run once.
    Call,
    /// The same, on a connection to the target that is kept.
    Repeatable,
    Stream,
    /// A stream whose first target breaks off after two events.
    Resumed,
}

fn text(asked: Asked, framing: &str, line_end: &str) -> String {
    let kind =
        if matches!(asked, Asked::Call | Asked::Repeatable) { "plain" } else { "event-stream" };
    let lines = [
        "HTTP/1.1 103 Early Hints",
        "",
        "HTTP/1.1 200 OK",
        "x-attempt-id: id-1",
        "x-server-seal: s",
        &format!("content-type: text/{kind}"),
        framing,
        "",
        "",
    ];
    lines.join(line_end)
}

/// Returns the lengths of prefixes: the last ones, one after the status, and some between.
fn lengths(text: &str) -> Vec<usize> {
    let after_length = text.find("1234").map_or(0, |at| at + 2);
    let last = (1..=4).map(|left| text.len() - left);
    let spread = (0..TARGETS - 6).map(|i| i * text.len() / (TARGETS - 6));
    last.chain([after_length, text.len() / 2]).chain(spread).collect()
}

/// Starts a target that cuts its responses; on a kept connection from the second one on.
fn target(number: usize, asked: Asked, part: String, end: Step) -> ScriptedTarget {
    let count = std::sync::atomic::AtomicUsize::new(0);
    ScriptedTarget::start(&format!("i-{number}"), move |head| {
        let earlier = count.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let resumes = head.header("last-event-id").is_some();
        match asked {
            Asked::Repeatable if earlier == 0 => Reply::Complete(200, "first"),
            Asked::Resumed if !resumes => {
                Reply::Steps(vec![Step::Head, Step::Event(1), Step::Event(2), Step::Close])
            }
            _ => Reply::Steps(vec![Step::Text(part.clone()), end.clone()]),
        }
    })
}

fn assert_sound(asked: Asked, answer: &Answer, log: impl Fn() -> String) {
    let status = answer.response.status;
    if asked == Asked::Resumed && status == 200 {
        assert!(!answer.complete, "a cut stream looks whole: {answer:?}\n{}", log());
        assert!(!answer.body.contains("e3"), "{answer:?}");
        return;
    }
    assert!((500..600).contains(&status), "{answer:?}\n{}", log());
    let first = asked == Asked::Repeatable && answer.body == "first";
    assert!(!first, "{answer:?}");
}

/// Guards against a success with an empty or short body that looks whole.
#[rstest]
fn head_that_ends_in_the_middle_is_no_success(
    #[values(Asked::Call, Asked::Repeatable, Asked::Stream, Asked::Resumed)] asked: Asked,
    #[values("content-length: 1234", "transfer-encoding: chunked", "connection: close")]
    framing: &str,
    #[values("\r\n", "\n")] line_end: &str,
    #[values(Step::Close, Step::Reset)] end: Step,
    #[values(false, true)] over_peer: bool,
) {
    let text = text(asked, framing, line_end);
    let mut cluster = Cluster::start(0);
    let (direct, apart) = (cluster.endpoint.clone(), cluster.store.open_endpoint());
    let service = if matches!(asked, Asked::Call | Asked::Repeatable) { "desk" } else { "pool" };
    let targets: Vec<ScriptedTarget> = lengths(&text)
        .into_iter()
        .enumerate()
        .map(|(number, length)| target(number, asked, text[..length].to_owned(), end.clone()))
        .collect();
    let mut paths = Vec::new();
    for target in &targets {
        if over_peer {
            let path = Relay::start(target.addr).expect("a port");
            path.set_admission(Admission::Refused);
            apart.set_path(target.addr, path.addr());
            paths.push(path);
        }
        cluster.register(target, service);
    }
    cluster.add_with(&apart, &[], MANY_RETRIES);
    if over_peer {
        cluster.add_with(&direct, &[], MANY_RETRIES);
    }
    let last = usize::from(over_peer);
    for number in 0..=last {
        cluster.ready(number);
        cluster.knows_targets(number, targets.len());
    }
    if over_peer {
        cluster.logged(0, &["first datagram received", "gate-1"]);
        cluster.logged(1, &["first datagram received", "gate-0"]);
    }
    let path = match asked {
        Asked::Call => "/book/1",
        Asked::Repeatable => "/look/1",
        Asked::Stream | Asked::Resumed => "/chat/1",
    };
    let received = || targets.iter().map(|t| t.requests().len()).sum::<usize>();
    let log = || (0..=last).map(|n| cluster.log(n)).collect::<Vec<_>>().join("\n\n");
    for number in 0..targets.len() {
        let before = received();
        // Requests that are alike would be taken for one that crashes targets.
        let path = format!("{path}{number}");
        let head = head(&path, "id-1", KEY, "x-token-usage: 100,50\r\nconnection: close\r\n");
        let answer = call(cluster.callers(0), &head, b"question");
        let ran = received() > before;
        if asked == Asked::Repeatable && answer.body == "first" {
            continue;
        }
        assert_sound(asked, &answer, log);
        let promised = matches!(answer.response.status, 429 | 503);
        assert!(!(ran && promised), "it may have run: {answer:?}\n{}", log());
    }
    // The others are avoided for a while, since they have failed.
    let answered = targets.iter().filter(|t| !t.requests().is_empty()).count();
    assert!(answered >= 3, "{answered} of {}\n{}", targets.len(), log());
}

/// As above, for a target that falls silent: the caller has an answer at the time limit.
#[rstest]
fn silence_within_a_head_ends_at_the_time_limit(
    #[values(Asked::Call, Asked::Stream)] asked: Asked,
    #[values("content-length: 1234", "transfer-encoding: chunked", "connection: close")]
    framing: &str,
) {
    let text = text(asked, framing, "\r\n");
    let part = text[..text.len() - 2].to_owned();
    let hung = target(0, asked, part, Step::Silence(WAIT_TIMEOUT));
    let cluster = Cluster::start(1);
    cluster.register(&hung, if asked == Asked::Call { "desk" } else { "pool" });
    cluster.ready(0).knows_targets(0, 1);
    let path = if asked == Asked::Call { "/book/1" } else { "/chat/1" };
    let head = head(path, "id-1", KEY, "x-token-usage: 100,50\r\n")
        .replace("x-deadline-ms: 6000", "x-deadline-ms: 700");
    let answer = call(cluster.callers(0), &head, b"question");
    assert_eq!(answer.response.status, 504, "{answer:?}");
}
