//! Streams: only complete events are relayed, and cut streams are resumed.

use std::time::Duration;

use mimosapass_standin::target::{Reply, ScriptedTarget, Step};

use super::{Cluster, events, start_target};

const PAUSE: Duration = Duration::from_millis(5);

fn cluster(targets: &[&ScriptedTarget]) -> Cluster {
    let cluster = Cluster::start(1);
    for target in targets {
        cluster.register(target, "pool");
    }
    cluster.ready(0);
    cluster
}

fn stream(last: u64, cut_at: Option<u64>) -> Reply {
    Reply::Stream { last, pause: PAUSE, cut_at }
}

const SHORT_PROMPT: &str = "x-token-usage: 100,50\r\n";

#[test]
fn complete_stream_is_relayed() {
    let target = start_target("i-0", stream(5, None));
    let answer = cluster(&[&target]).ask_with(0, "/chat/1", "id-1", SHORT_PROMPT);
    assert_eq!((answer.response.status, answer.complete), (200, true));
    assert_eq!(answer.body, events(1, 5));
    assert_eq!(answer.response.header("x-server-seal"), Some("i-0"));
}

/// The event within which the first target is cut comes complete from the second.
#[test]
fn cut_stream_is_resumed_at_another_target() {
    let replies = |head: &mimosapass_caller::head::Head| match head.header("last-event-id") {
        None => stream(5, Some(3)),
        Some(_) => stream(5, None),
    };
    let (one, two) = (ScriptedTarget::start("i-0", replies), ScriptedTarget::start("i-1", replies));
    let answer = cluster(&[&one, &two]).ask_with(0, "/chat/1", "id-1", SHORT_PROMPT);
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.body, events(1, 5));
    let received = [one.requests(), two.requests()].concat();
    let from: Vec<_> = received.iter().filter_map(|a| a.head.header("last-event-id")).collect();
    assert_eq!((received.len(), from), (2, vec!["2"]));
    assert!(
        one.requests().len() == 1 && two.requests().len() == 1,
        "the same target is not tried again"
    );
}

#[test]
fn unfinished_stream_is_not_terminated_as_complete() {
    let (one, two) =
        (start_target("i-0", stream(5, Some(3))), start_target("i-1", stream(5, Some(3))));
    let answer = cluster(&[&one, &two]).ask_with(0, "/chat/1", "id-1", SHORT_PROMPT);
    assert!(!answer.complete);
    assert_eq!(answer.body, events(1, 2));
}

/// Guards against a fault seen in incident inc-e2c9 of dokaz-zapad: a stream was cut
/// long after its first event, no target was free at that moment, and the gateway gave
/// up although the caller still waited.
#[test]
fn stream_that_is_cut_late_waits_for_a_target() {
    let one = ScriptedTarget::start("i-0", |_| Reply::Stream {
        last: 9,
        pause: PAUSE * 60,
        cut_at: Some(9),
    });
    let two = start_target("i-1", stream(9, None));
    let cluster = cluster(&[&one]);
    let answer = std::thread::scope(|scope| {
        let asking = scope.spawn(|| cluster.ask_with(0, "/chat/1", "id-1", SHORT_PROMPT));
        cluster.logged(0, &["target: avoided.", "target_id=i-0"]);
        // Longer than the interval at which a queued request is checked.
        std::thread::sleep(PAUSE * 80);
        cluster.register(&two, "pool");
        asking.join().expect("an answer")
    });
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.body, events(1, 9));
}

#[test]
fn stream_resumes_after_the_last_event_of_the_caller() {
    let target = start_target("i-0", stream(5, None));
    let headers = format!("{SHORT_PROMPT}last-event-id: 3\r\n");
    let answer = cluster(&[&target]).ask_with(0, "/chat/1", "id-1", &headers);
    assert_eq!(answer.body, events(4, 5));
}

/// A prompt larger than the memory of one engine reserves memory on several.
#[test]
fn unsigned_stream_is_rejected() {
    let forged = Reply::Unsigned("id: 1\ndata: forged\n\n");
    let target = start_target("i-0", forged);
    let answer = cluster(&[&target]).ask_with(0, "/chat/1", "id-1", SHORT_PROMPT);
    assert_eq!(answer.response.status, 502);
    assert!(!answer.body.contains("forged"), "{answer:?}");
}

#[test]
fn no_two_requests_share_a_reservation() {
    let targets: Vec<ScriptedTarget> =
        (0..16).map(|i| start_target(&format!("i-{i:02}"), stream(3, None))).collect();
    let cluster = cluster(&targets.iter().collect::<Vec<_>>());
    for id in ["id-1", "id-2"] {
        let answer = cluster.ask_with(0, "/chat/1", id, "x-token-usage: 600000,50\r\n");
        assert_eq!(answer.response.status, 200);
    }
    let requests = targets.iter().flat_map(ScriptedTarget::requests);
    let helpers = requests.filter_map(|r| r.head.header("x-helpers").map(str::to_owned));
    let reservations: Vec<String> = helpers
        .filter_map(|list| {
            list.split(',').find_map(|h| h.split_once('/').map(|(_, r)| r.to_owned()))
        })
        .collect();
    assert_eq!(reservations.len(), 2, "{reservations:?}");
    assert_ne!(reservations[0], reservations[1]);
}

#[test]
fn memory_for_a_large_prompt_is_reserved_and_released() {
    let targets: Vec<ScriptedTarget> =
        (0..16).map(|i| start_target(&format!("i-{i:02}"), stream(3, None))).collect();
    let cluster = cluster(&targets.iter().collect::<Vec<_>>());
    let answer = cluster.ask_with(0, "/chat/1", "id-1", "x-token-usage: 600000,50\r\n");
    assert_eq!((answer.response.status, answer.body), (200, events(1, 3)));
    let sum = |part: fn((u64, usize, usize)) -> u64| -> u64 {
        targets.iter().map(|t| part(t.memory())).sum()
    };
    assert!(sum(|m| m.1 as u64) >= 1, "memory was reserved");
    super::eventually("all memory is released", || sum(|m| m.0) == 0);
    let helped = targets.iter().flat_map(ScriptedTarget::requests);
    assert!(helped.filter_map(|a| a.head.header("x-helpers").map(str::to_owned)).count() == 1);
}

/// Guards against a fault seen on day mix, seed 523732347347, of atlas-loc: the
/// answering engine became unreachable, and memory reserved for it on other engines was
/// held for another 4.9 seconds.
#[test]
fn reservation_is_not_renewed_for_an_unreachable_engine() {
    let targets: Vec<ScriptedTarget> =
        (0..16).map(|i| start_target(&format!("i-{i:02}"), Reply::Hang)).collect();
    let cluster = cluster(&targets.iter().collect::<Vec<_>>());
    std::thread::scope(|scope| {
        let headers = "x-token-usage: 600000,50\r\n";
        scope.spawn(|| cluster.ask_with(0, "/chat/1", "id-1", headers));
        let receiver = || targets.iter().find(|t| !t.requests().is_empty());
        super::eventually("an engine gets the request", || receiver().is_some());
        receiver().expect("an engine").stop_accepting();
        cluster.logged(0, &["reservation: not renewed, the answering engine is unreachable"]);
    });
}

/// Guards against a fault seen on day mix, seed 578758547734, of atlas-loc: a stream
/// requested on an idle connection 3.4 s after the stop signal was accepted, and cut at
/// the end of the stop.
#[test]
fn stopping_instance_refuses_what_it_might_not_finish() {
    let target = start_target("i-0", stream(2, None));
    let cluster = cluster(&[&target]);
    cluster.signal(0, "-TERM");
    // An answer of that length may take until the time limit.
    let long = "x-token-usage: 100,9000\r\n";
    let request = super::head("/chat/1", "id-1", super::KEY, long);
    super::eventually("a stream is refused as not run", || {
        let answer = super::try_call(cluster.callers(0), &request, b"question");
        answer.is_some_and(|a| a.response.status == 503 && a.body.contains("stopping"))
    });
}

#[test]
fn planned_stop_cuts_no_stream() {
    let target = start_target("i-0", Reply::Stream { last: 30, pause: PAUSE * 10, cut_at: None });
    let cluster = cluster(&[&target]);
    let answer = std::thread::scope(|scope| {
        let asking = scope.spawn(|| cluster.ask_with(0, "/chat/1", "id-1", SHORT_PROMPT));
        super::eventually("the stream runs", || !target.requests().is_empty());
        cluster.signal(0, "-TERM");
        asking.join().expect("an answer")
    });
    assert!(answer.complete);
    assert_eq!(answer.body, events(1, 30));
}

/// Starts a gateway that may not retry, and a target that is silent for longer than a stream
/// or call that may be retried elsewhere waits.
fn cluster_without_retries(reply: Reply, service: &str) -> (Cluster, ScriptedTarget) {
    let mut cluster = Cluster::start(0);
    let target = start_target("i-0", reply);
    cluster.register(&target, service);
    let other = start_target("i-1", stream(3, None));
    cluster.register(&other, service);
    let endpoint = cluster.endpoint.clone();
    let none = "repeats: {first_start: true, ratio: 0, slack: 0, window_ms: 10000}\n";
    cluster.add_with(&endpoint, &[], none);
    cluster.ready(0);
    (cluster, target)
}

/// Guards against a fault seen on day mix, seed 994564832115, of large: a silent stream was
/// given up for a retry that the limits did not allow.
#[test]
fn silent_stream_is_not_cut_when_it_may_not_be_retried() {
    let slow = Reply::Stream { last: 2, pause: Duration::from_secs(2), cut_at: None };
    let (cluster, target) = cluster_without_retries(slow, "pool");
    let answer = cluster.ask_with(0, "/chat/1", "id-1", SHORT_PROMPT);
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.body, events(1, 2));
    assert_eq!(target.requests().len(), 1, "the slow target was used");
}

/// Longer than the 1.68 s after which a silent stream is backed up, and shorter than the 2.4 s
/// for which its caller waits.
const SILENCE: Duration = Duration::from_secs(2);

/// Serves a stream whose first target falls silent for [`SILENCE`] within it, while the second
/// one gives `reply`.
fn silent_beside(silent: Vec<Step>, reply: Reply) -> (super::Answer, usize) {
    let (one, other) = (start_target("i-0", Reply::Steps(silent)), start_target("i-1", reply));
    let cluster = cluster(&[&one]);
    let answer = std::thread::scope(|scope| {
        let asking = scope.spawn(|| cluster.ask_with(0, "/chat/1", "id-1", SHORT_PROMPT));
        super::eventually("the first target has it", || !one.requests().is_empty());
        cluster.register(&other, "pool");
        asking.join().expect("an answer")
    });
    (answer, other.requests().len())
}

/// Steps of a stream of three events with a silence after the second one, in its midst.
fn silent_within_an_event() -> Vec<Step> {
    let text = b"10\r\nid: 3\n";
    vec![
        Step::Head,
        Step::Event(1),
        Step::Event(2),
        Step::Bytes(text),
        Step::Silence(SILENCE),
        Step::Bytes(b"data: e3\n\n\r\n"),
        Step::End,
    ]
}

fn silent_between_events() -> Vec<Step> {
    let (head, silence) = (Step::Head, Step::Silence(SILENCE));
    vec![head, Step::Event(1), silence, Step::Event(2), Step::Event(3), Step::End]
}

fn silent_before_the_first_event() -> Vec<Step> {
    let (head, silence) = (Step::Head, Step::Silence(SILENCE));
    vec![head, silence, Step::Event(1), Step::Event(2), Step::Event(3), Step::End]
}

fn silent_within_the_head() -> Vec<Step> {
    let mut steps = vec![Step::Bytes(b"HTTP/1.1 100 Continue\r\n"), Step::Silence(SILENCE)];
    steps.extend([Step::Bytes(b"\r\n"), Step::Head]);
    steps.extend([Step::Event(1), Step::Event(2), Step::Event(3), Step::End]);
    steps
}

/// Generates tests of streams whose target falls silent for a while and goes on, beside a second
/// target that cannot take over.
macro_rules! silent_targets {
    ($($name:ident: $steps:expr, $reply:expr;)+) => {
        $(
            /// Guards against LOST on dokaz-zapad-grown: a silent run was ended before another
            /// target had taken over.
            #[test]
            fn $name() {
                let (answer, asked) = silent_beside($steps, $reply);
                assert!(answer.complete, "{answer:?}");
                assert_eq!((answer.response.status, answer.body), (200, events(1, 3)));
                assert_eq!(asked, 1, "the second target was asked");
            }
        )+
    };
}

silent_targets! {
    run_silent_between_events_is_not_lost_to_a_refusal:
        silent_between_events(), Reply::NotExecuted(503);
    run_silent_within_an_event_is_not_lost_to_a_refusal:
        silent_within_an_event(), Reply::NotExecuted(503);
    run_silent_before_its_first_event_is_not_lost_to_a_refusal:
        silent_before_the_first_event(), Reply::NotExecuted(503);
    run_silent_within_the_head_is_not_lost_to_a_refusal:
        silent_within_the_head(), Reply::NotExecuted(503);
    silent_run_is_not_lost_to_a_target_that_is_silent_too:
        silent_between_events(), Reply::Hang;
    silent_run_is_not_lost_to_a_target_that_disconnects:
        silent_between_events(), Reply::Disconnect;
    silent_run_is_not_lost_to_an_answer_without_a_signature:
        silent_between_events(), Reply::Unsigned("id: 2\ndata: forged\n\n");
    silent_run_is_not_lost_to_a_failure:
        silent_between_events(), Reply::Complete(500, "no");
}

/// Guards against LOST on dokaz-zapad-grown, with no other target at all.
#[test]
fn silent_run_is_not_lost_for_want_of_another_target() {
    let target = start_target("i-0", Reply::Steps(silent_between_events()));
    let answer = cluster(&[&target]).ask_with(0, "/chat/1", "id-1", SHORT_PROMPT);
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.body, events(1, 3));
}

/// What a silent target has not sent comes from another one as soon as that has it.
#[test]
fn silent_run_is_taken_over_by_a_target_that_answers() {
    let silent = vec![Step::Head, Step::Event(1), Step::Silence(SILENCE * 4), Step::End];
    let other = Reply::Stream { last: 3, pause: PAUSE, cut_at: None };
    let (answer, asked) = silent_beside(silent, other);
    assert!(answer.complete, "{answer:?}");
    assert_eq!((answer.body, asked), (events(1, 3), 1));
}
