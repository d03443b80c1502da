//! Reservations of memory for a prompt that one engine cannot hold.

use std::time::{Duration, Instant};

use mimosapass_standin::target::{Reply, ScriptedTarget};

use super::{Cluster, KEY, config, eventually, start_target};

/// Time after which a reservation expires that is not renewed.
const TTL: Duration = Duration::from_secs(3);
/// Silence of an engine, longer than the timeout of an order.
const SILENCE: Duration = Duration::from_secs(1);
/// A prompt larger than the memory of four engines.
const PROMPT: &str = "x-token-usage: 600000,50\r\n";

/// Starts a gateway and 16 engines, of which several together hold a prompt of [`PROMPT`].
fn start(reply: &Reply) -> (Cluster, Vec<ScriptedTarget>) {
    let targets: Vec<ScriptedTarget> =
        (0..16).map(|i| start_target(&format!("i-{i:02}"), reply.clone())).collect();
    let cluster = Cluster::start(1);
    let mut small_engines = config(4, &[KEY], &["chat"]);
    small_engines["services"][1]["engine"]["kv_capacity"] = 120_000.into();
    small_engines["routes"][0]["goal_ms"] = 3_000.into();
    cluster.configure(&small_engines);
    for target in &targets {
        cluster.register(target, "pool");
    }
    cluster.ready(0);
    cluster.logged(0, &["config: now in force.", "version=4"]);
    (cluster, targets)
}

/// Guards against a request that is cut off since its memory expired on sound engines: renewals
/// were sent one after the other, and waited for each silent engine.
#[test]
fn silent_engines_do_not_delay_the_renewals_of_others() {
    let slow = Reply::Stream { last: 10, pause: Duration::from_millis(500), cut_at: None };
    let (cluster, targets) = start(&slow);
    let renewals = std::thread::scope(|scope| {
        let asking = scope.spawn(|| cluster.ask_with(0, "/chat/1", "id-1", PROMPT));
        cluster.logged(0, &["reservation: made on all engines."]);
        let holders: Vec<&ScriptedTarget> = targets.iter().filter(|t| t.memory().1 > 0).collect();
        let (sound, silent) = holders.split_last().expect("engines that hold memory");
        assert!(silent.len() >= 3, "{} engines hold memory", holders.len());
        for target in silent {
            target.delay_orders(SILENCE);
        }
        let answer = asking.join().expect("an answer");
        assert!(answer.complete, "{answer:?}");
        [sound.reserved_at(), vec![Instant::now()]].concat()
    });
    for pair in renewals.windows(2) {
        let gap = pair[1] - pair[0];
        assert!(gap <= TTL / 2, "a renewal may fail, and two were {gap:?} apart");
    }
}

/// Guards against a large prompt that is refused although other engines have room: the engine
/// that did not answer was chosen again.
#[test]
fn engine_that_does_not_reserve_memory_is_not_asked_again() {
    let (cluster, targets) = start(&Reply::Stream { last: 2, pause: TTL / 100, cut_at: None });
    assert_eq!(cluster.ask_with(0, "/chat/1", "id-1", PROMPT).response.status, 200);
    for target in targets.iter().filter(|t| t.memory().1 > 0).take(3) {
        target.delay_orders(TTL);
    }
    let answer = cluster.ask_with(0, "/chat/1", "id-2", PROMPT);
    assert_eq!(answer.response.status, 200, "{answer:?}");
}

/// Time in which memory is free again that no request uses.
const FREE_TIME: Duration = Duration::from_secs(4);

/// Serves a large prompt whose stream is silent, and restarts the engine that `choose` finds.
fn assert_released_after_restart(choose: fn(&ScriptedTarget) -> bool) {
    let (cluster, targets) = start(&Reply::Hang);
    std::thread::scope(|scope| {
        scope.spawn(|| cluster.ask_with(0, "/chat/1", "id-1", PROMPT));
        cluster.logged(0, &["reservation: made on all engines."]);
        eventually("it runs", || targets.iter().any(|t| !t.requests().is_empty()));
        let engine = targets.iter().find(|t| choose(t)).expect("an engine");
        engine.restart();
        let restarted = Instant::now();
        cluster.logged(0, &["reservation: given up, an engine has restarted."]);
        let took = restarted.elapsed();
        assert!(took < FREE_TIME, "{took:?}");
    });
}

/// Guards against LEAK on days with dark engines: memory was renewed for an engine that had
/// started again, until the store dropped its former start.
#[test]
fn memory_is_not_renewed_for_an_answering_engine_that_restarted() {
    assert_released_after_restart(|target| !target.requests().is_empty());
}

/// Guards against STUCK on the same days: a renewal reserved memory on an engine that had
/// started again, for a request that it does not know.
#[test]
fn memory_is_not_reserved_anew_on_a_helper_that_restarted() {
    assert_released_after_restart(|target| target.memory().1 > 0);
}
