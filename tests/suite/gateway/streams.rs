//! Streams: whole events only, and what happens when a target breaks off.

use std::time::Duration;

use mimosapass_standin::target::{Reply, ScriptedTarget};

use super::{Grid, events, runner};

const PAUSE: Duration = Duration::from_millis(5);

fn grid(runners: &[&ScriptedTarget]) -> Grid {
    let grid = Grid::start(1);
    for runner in runners {
        grid.register(runner, "pool");
    }
    grid.ready(0);
    grid
}

fn stream(last: u64, cut_at: Option<u64>) -> Reply {
    Reply::Stream { last, pause: PAUSE, cut_at }
}

const SHORT: &str = "x-token-usage: 100,50\r\n";

#[test]
fn stream_is_passed_on_whole() {
    let target = runner("i-0", stream(5, None));
    let answer = grid(&[&target]).ask_with(0, "/chat/1", "id-1", SHORT);
    assert_eq!((answer.reply.status, answer.whole), (200, true));
    assert_eq!(answer.body, events(1, 5));
    assert_eq!(answer.reply.header("x-server-seal"), Some("i-0"));
}

/// The event in whose middle the first target was cut comes whole from the second.
#[test]
fn stream_that_is_cut_goes_on_at_another_target() {
    let acts = |head: &mimosapass_caller::head::Head| match head.header("last-event-id") {
        None => stream(5, Some(3)),
        Some(_) => stream(5, None),
    };
    let (one, two) = (ScriptedTarget::start("i-0", acts), ScriptedTarget::start("i-1", acts));
    let answer = grid(&[&one, &two]).ask_with(0, "/chat/1", "id-1", SHORT);
    assert!(answer.whole, "{answer:?}");
    assert_eq!(answer.body, events(1, 5));
    let all = [one.requests(), two.requests()].concat();
    let from: Vec<_> = all.iter().filter_map(|a| a.head.header("last-event-id")).collect();
    assert_eq!((all.len(), from), (2, vec!["2"]));
    assert!(one.requests().len() == 1 && two.requests().len() == 1, "not the same target again");
}

#[test]
fn stream_that_is_never_finished_does_not_look_whole() {
    let (one, two) = (runner("i-0", stream(5, Some(3))), runner("i-1", stream(5, Some(3))));
    let answer = grid(&[&one, &two]).ask_with(0, "/chat/1", "id-1", SHORT);
    assert!(!answer.whole);
    assert_eq!(answer.body, events(1, 2));
}

/// Incident inc-e2c9 of dokaz-zapad: a stream that was cut long after its first
/// event found no place at once and was given up, though its caller still waited.
#[test]
fn stream_that_is_cut_late_waits_for_a_place() {
    let one = ScriptedTarget::start("i-0", |_| Reply::Stream {
        last: 9,
        pause: PAUSE * 60,
        cut_at: Some(9),
    });
    let two = runner("i-1", stream(9, None));
    let grid = grid(&[&one]);
    let answer = std::thread::scope(|scope| {
        let asking = scope.spawn(|| grid.ask_with(0, "/chat/1", "id-1", SHORT));
        grid.logged(0, &["target: avoided.", "target_id=i-0"]);
        // Longer than the time between two looks of a request that waits.
        std::thread::sleep(PAUSE * 80);
        grid.register(&two, "pool");
        asking.join().expect("an answer")
    });
    assert!(answer.whole, "{answer:?}");
    assert_eq!(answer.body, events(1, 9));
}

#[test]
fn stream_goes_on_from_the_callers_last_event() {
    let target = runner("i-0", stream(5, None));
    let more = format!("{SHORT}last-event-id: 3\r\n");
    let answer = grid(&[&target]).ask_with(0, "/chat/1", "id-1", &more);
    assert_eq!(answer.body, events(4, 5));
}

/// A prompt larger than one engine's memory is kept by several, and given back.
#[test]
fn memory_for_a_large_prompt_is_set_aside_and_given_back() {
    let runners: Vec<ScriptedTarget> =
        (0..16).map(|i| runner(&format!("i-{i:02}"), stream(3, None))).collect();
    let grid = grid(&runners.iter().collect::<Vec<_>>());
    let answer = grid.ask_with(0, "/chat/1", "id-1", "x-token-usage: 600000,50\r\n");
    assert_eq!((answer.reply.status, answer.body), (200, events(1, 3)));
    let sum = |part: fn((u64, usize, usize)) -> u64| -> u64 {
        runners.iter().map(|r| part(r.memory())).sum()
    };
    assert!(sum(|m| m.1 as u64) >= 1, "memory was set aside");
    super::eventually("all memory is given back", || sum(|m| m.0) == 0);
    let helped = runners.iter().flat_map(ScriptedTarget::requests);
    assert!(helped.filter_map(|a| a.head.header("x-helpers").map(str::to_owned)).count() == 1);
}

/// Day mix with seed 523732347347 of atlas-loc: the engine that answered went dark, and
/// memory for it was kept on others for 4.9 seconds more.
#[test]
fn memory_is_not_kept_for_an_engine_that_is_gone() {
    let runners: Vec<ScriptedTarget> =
        (0..16).map(|i| runner(&format!("i-{i:02}"), Reply::Hang)).collect();
    let grid = grid(&runners.iter().collect::<Vec<_>>());
    std::thread::scope(|scope| {
        let more = "x-token-usage: 600000,50\r\n";
        scope.spawn(|| grid.ask_with(0, "/chat/1", "id-1", more));
        let asked = || runners.iter().find(|r| !r.requests().is_empty());
        super::eventually("an engine is asked", || asked().is_some());
        asked().expect("an engine").stop_accepting();
        grid.logged(0, &["ticket: not renewed, the answering engine is gone"]);
    });
}

/// Day mix with seed 578758547734 of atlas-loc: a stream that came 3.4 s after the
/// signal was taken on a kept connection and cut at the end of the stop.
#[test]
fn stopping_instance_refuses_what_it_might_not_finish() {
    let target = runner("i-0", stream(2, None));
    let grid = grid(&[&target]);
    grid.signal(0, "-TERM");
    let request = super::head("/chat/1", "id-1", super::KEY, SHORT);
    super::eventually("a stream is refused as not run", || {
        let answer = super::try_call(grid.callers(0), &request, b"question");
        answer.is_some_and(|a| a.reply.status == 503 && a.body.contains("stops"))
    });
}

#[test]
fn planned_stop_cuts_no_stream() {
    let target = runner("i-0", Reply::Stream { last: 30, pause: PAUSE * 10, cut_at: None });
    let grid = grid(&[&target]);
    let answer = std::thread::scope(|scope| {
        let asking = scope.spawn(|| grid.ask_with(0, "/chat/1", "id-1", SHORT));
        super::eventually("the stream runs", || !target.requests().is_empty());
        grid.signal(0, "-TERM");
        asking.join().expect("an answer")
    });
    assert!(answer.whole);
    assert_eq!(answer.body, events(1, 30));
}
