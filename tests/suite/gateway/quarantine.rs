//! Parts of prompts that crash the targets that begin to answer them.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use mimosapass_standin::metastore::Endpoint;
use mimosapass_standin::target::{Reply, ScriptedTarget, Step};

use super::{Answer, Cluster, events, start_target};

/// Part under which targets crash.
const DEADLY: &str = "dead";
/// Crashes until the part is known, and the requests that may still reach targets then.
const MAX_CRASHES: usize = 5 + 3;
/// Time between an event and the crash of its target.
const SHORT: Duration = Duration::from_millis(20);
/// Limits on retries that are never reached.
const MANY_RETRIES: &str = "repeats: {first_start: true, ratio: 1, slack: 500, window_ms: 10000}\n";

fn stream() -> Reply {
    Reply::Stream { last: 4, pause: Duration::from_millis(200), cut_at: None }
}

/// Starts a target that crashes under requests with the deadly part.
fn start_engine(id: &str) -> ScriptedTarget {
    ScriptedTarget::start(id, |head| {
        let parts = head.header("x-prefix-hash").unwrap_or_default();
        if parts.contains(&format!("{DEADLY}:")) { Reply::Crash } else { stream() }
    })
}

/// Starts gateways in one zone and engines that crash under the deadly part.
fn start(gateways: usize, engines: usize) -> (Cluster, Vec<ScriptedTarget>) {
    let mut cluster = Cluster::start(0);
    let engines: Vec<_> = (0..engines).map(|n| start_engine(&format!("i-{n}"))).collect();
    for engine in &engines {
        cluster.register(engine, "pool");
    }
    let endpoint = cluster.endpoint.clone();
    for _ in 0..gateways {
        cluster.add_with(&endpoint, &[], MANY_RETRIES);
    }
    for number in 0..gateways {
        cluster.ready(number);
        cluster.knows_targets(number, engines.len());
    }
    (cluster, engines)
}

/// Asks with a prompt of these parts, the last of which is unique.
fn ask(cluster: &Cluster, number: usize, parts: &str) -> Answer {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let id = format!("id-{}", NEXT.fetch_add(1, Ordering::Relaxed));
    let headers = format!("x-token-usage: 100,50\r\nx-prefix-hash: {parts},{id}:60\r\n");
    cluster.ask_with(number, "/chat/1", &id, &headers)
}

fn crashed(engines: &[ScriptedTarget]) -> usize {
    engines.iter().filter(|engine| engine.is_closed()).count()
}

/// Guards against engines that crash one after the other under requests with one part.
#[test]
fn requests_with_a_part_that_crashes_targets_end_few_of_them() {
    let (cluster, engines) = start(3, 16);
    for number in 0..12 {
        let parts = format!("5a:20,c0{number}:10,{DEADLY}:10");
        ask(&cluster, number % 3, &parts);
        for engine in engines.iter().filter(|engine| engine.is_closed()) {
            cluster.store.delete(&format!("servers/{}", engine.id));
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    assert!(crashed(&engines) <= MAX_CRASHES, "{} engines crashed", crashed(&engines));
    for number in 0..3 {
        cluster.knows_targets(number, engines.len() - crashed(&engines));
    }
    let refused = ask(&cluster, 0, &format!("5a:20,{DEADLY}:10"));
    assert_eq!(refused.response.status, 503);
    assert!(refused.body.contains("of the prompt has crashed several targets"), "{refused:?}");
    let after = refused.response.header("retry-after").and_then(|v| v.parse::<f64>().ok());
    assert!(after.is_some_and(|seconds| seconds > 60.0), "{after:?}");
    for number in 0..3 {
        let sound = ask(&cluster, number, "5a:20,c01:10");
        assert_eq!((sound.response.status, sound.complete), (200, true), "{sound:?}");
    }
}

/// Guards against a part that each instance has to learn of by crashes of its own.
#[test]
fn instance_that_has_just_started_knows_quarantined_parts() {
    let (mut cluster, engines) = start(2, 8);
    for _ in 0..4 {
        ask(&cluster, 0, &format!("5a:20,{DEADLY}:10"));
        std::thread::sleep(Duration::from_millis(200));
    }
    cluster.logged(0, &["part: quarantined", "part=dead"]);
    for engine in engines.iter().filter(|engine| engine.is_closed()) {
        cluster.store.delete(&format!("servers/{}", engine.id));
    }
    // The sound part that was beside it is cleared.
    let sound = ask(&cluster, 0, "5a:20");
    let logs = [0, 1].map(|number| cluster.log(number));
    assert_eq!(sound.response.status, 200, "{sound:?}\n{}\n{}", logs[0], logs[1]);
    let endpoint: Endpoint = cluster.endpoint.clone();
    let started = cluster.add(&endpoint, &[]);
    cluster.ready(started).logged(started, &["part: quarantined", "part=dead"]);
    let before = crashed(&engines);
    assert_eq!(ask(&cluster, started, &format!("5b:20,{DEADLY}:10")).response.status, 503);
    assert_eq!(crashed(&engines), before);
}

/// Guards against a part that is cleared by the crash itself: the stream ends with its connection.
#[test]
fn crash_that_ends_an_unframed_stream_clears_no_part() {
    let cluster = Cluster::start(1);
    let head = "HTTP/1.1 200 OK\r\nx-attempt-id: id-ATTEMPT\r\nx-server-seal: s\r\n\r\n";
    let start = |n: usize| {
        ScriptedTarget::start(&format!("i-{n}"), move |request| {
            let id = request.header("x-attempt-id").unwrap_or_default();
            let text = head.replace("id-ATTEMPT", id) + &events(1, 1);
            Reply::Steps(vec![Step::Text(text), Step::Silence(SHORT), Step::Crash])
        })
    };
    let engines: Vec<_> = (0..3).map(start).collect();
    for engine in &engines {
        cluster.register(engine, "pool");
    }
    cluster.ready(0).knows_targets(0, 3);
    for _ in 0..3 {
        ask(&cluster, 0, "5a:20,dead:10");
        std::thread::sleep(Duration::from_millis(150));
    }
    assert_eq!(crashed(&engines), 3);
    cluster.logged(0, &["part: quarantined", "part=dead"]);
}

/// Guards against a quarantine for lost connections: the targets go on.
#[test]
fn lost_connections_accuse_no_part() {
    let cluster = Cluster::start(1);
    let targets: Vec<_> =
        (0..3).map(|n| start_target(&format!("i-{n}"), Reply::Disconnect)).collect();
    for target in &targets {
        cluster.register(target, "pool");
    }
    cluster.ready(0).knows_targets(0, 3);
    assert_ne!(ask(&cluster, 0, "5a:20").response.status, 200);
    assert!(targets.iter().any(|target| !target.requests().is_empty()));
    assert!(!cluster.log(0).contains("target: crashed under"), "{}", cluster.log(0));
}

/// Guards against a refusal of sound requests after crashes of another cause.
#[test]
fn targets_that_crash_by_themselves_quarantine_no_part_that_is_answered() {
    let (cluster, engines) = start(1, 6);
    for engine in &engines[..5] {
        assert_eq!(ask(&cluster, 0, "5a:20").response.status, 200);
        engine.crash();
        std::thread::sleep(Duration::from_millis(150));
    }
    let sound = ask(&cluster, 0, "5a:20");
    assert_eq!((sound.response.status, sound.complete), (200, true));
    assert!(!cluster.log(0).contains("part: quarantined"));
}

/// Guards against a part that crashes engines and is cleared by a service, which has no engine.
#[test]
fn answer_of_a_service_clears_no_part() {
    let (cluster, engines) = start(1, 8);
    let desk = start_target("i-desk", Reply::Complete(200, "yes"));
    cluster.register(&desk, "desk");
    cluster.knows_targets(0, 9);
    for number in 0..4 {
        let headers = format!("x-prefix-hash: {DEADLY}:10,{number}:60\r\n");
        let answer = cluster.ask_with(0, "/look/1", &format!("id-look-{number}"), &headers);
        assert_eq!(answer.response.status, 200);
        ask(&cluster, 0, &format!("{DEADLY}:10"));
        std::thread::sleep(Duration::from_millis(200));
    }
    cluster.logged(0, &["part: quarantined", "part=dead"]);
    assert!(crashed(&engines) <= 4, "{} crashed", crashed(&engines));
}
