//! Requests that come again, with the same path, caller and body, and crash each target.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use mimosapass_standin::target::{Reply, ScriptedTarget};

use super::{Answer, Cluster, KEY, call, head};

/// Crashes until the request is known, and the sends that may follow.
const MAX_CRASHES: usize = 3 + 3;
/// Header by which targets tell the request that crashes them.
const DEADLY: &str = "x-note: deadly\r\n";
/// Limits on retries that are never reached.
const MANY_RETRIES: &str = "repeats: {first_start: true, ratio: 1, slack: 500, window_ms: 10000}\n";

fn start_target(id: &str) -> ScriptedTarget {
    ScriptedTarget::start(id, |head| {
        if head.header("x-note") == Some("deadly") {
            Reply::Crash
        } else if head.path.starts_with("/chat/") {
            Reply::Stream { last: 4, pause: Duration::from_millis(200), cut_at: None }
        } else {
            Reply::Complete(200, "yes")
        }
    })
}

fn start(gateways: usize, service: &str) -> (Cluster, Vec<ScriptedTarget>) {
    let mut cluster = Cluster::start(0);
    let targets: Vec<_> = (0..16).map(|n| start_target(&format!("i-{n}"))).collect();
    for target in &targets {
        cluster.register(target, service);
    }
    let endpoint = cluster.endpoint.clone();
    for _ in 0..gateways {
        cluster.add_with(&endpoint, &[], MANY_RETRIES);
    }
    for number in 0..gateways {
        cluster.ready(number);
        cluster.knows_targets(number, targets.len());
        cluster.hears_peers(number, gateways);
    }
    (cluster, targets)
}

fn ask(cluster: &Cluster, number: usize, path: &str, body: &str, headers: &str) -> Answer {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let id = format!("id-{}", NEXT.fetch_add(1, Ordering::Relaxed));
    call(cluster.callers(number), &head(path, &id, KEY, headers), body.as_bytes())
}

fn crashed(targets: &[ScriptedTarget]) -> usize {
    targets.iter().filter(|target| target.is_closed()).count()
}

/// Generates a test from the service, the path and headers of the request.
macro_rules! repeated {
    ($($name:ident: $service:literal, $path:literal, $headers:literal;)+) => {
        $(#[test]
        fn $name() {
            let (cluster, targets) = start(3, $service);
            for number in 0..12 {
                let headers = format!("{DEADLY}{}", $headers);
                ask(&cluster, number % 3, $path, "deadly!!", &headers);
                ask(&cluster, number % 3, $path, "question", $headers);
                for target in targets.iter().filter(|target| target.is_closed()) {
                    cluster.store.delete(&format!("servers/{}", target.id));
                }
                std::thread::sleep(Duration::from_millis(200));
            }
            assert!(crashed(&targets) <= MAX_CRASHES, "{} crashed", crashed(&targets));
            let refused = ask(&cluster, 0, $path, "deadly!!", $headers);
            assert_eq!(refused.response.status, 503);
            assert!(refused.response.header("retry-after").is_some());
            for number in 0..3 {
                // The same path and caller.
                let sound = ask(&cluster, number, $path, "question", $headers);
                assert_eq!((sound.response.status, sound.complete), (200, true), "{sound:?}");
            }
        })+
    };
}

repeated! {
    idempotent_call_that_comes_again_crashes_few_targets: "desk", "/look/1", "";
    non_idempotent_call_that_comes_again_crashes_few_targets: "desk", "/book/1", "";
    prompt_of_one_part_that_comes_again_crashes_few_targets:
        "pool", "/chat/1", "x-token-usage: 100,50\r\nx-prefix-hash: 5a:60\r\n";
    prompt_of_popular_parts_that_comes_again_crashes_few_targets:
        "pool", "/chat/1", "x-token-usage: 100,50\r\nx-prefix-hash: 5a:20,5b:60\r\n";
}

/// Guards against sound calls that are refused because they ran beside crashes.
#[test]
fn call_that_is_answered_is_not_refused_after_crashes() {
    let (cluster, targets) = start(1, "desk");
    for target in &targets[..6] {
        assert_eq!(ask(&cluster, 0, "/look/1", "question", "").response.status, 200);
        target.crash();
        std::thread::sleep(Duration::from_millis(150));
    }
    assert_eq!(ask(&cluster, 0, "/look/1", "question", "").response.status, 200);
    assert!(!cluster.log(0).contains("quarantined, it"), "{}", cluster.log(0));
}
