//! Trace context is forwarded, and each hop has a span.

use std::io::Read;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex, RwLock};

use mimosapass_caller::server::{Limits, Server};
use rstest::rstest;

use crate::common::{CONFIG, Fleet, agent, post, unique_ip, wait_until};

const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";
const SPAN_ID: &str = "b7ad6b7169203331";
/// Maximum number of concurrent calls of one instance to a service.
const MAX_CALLS: usize = 64;

/// An instance with captured output, and a service that reports received headers.
struct Traced {
    _fleet: Fleet,
    _service: Server,
    child: Child,
    received: Receiver<Option<String>>,
    /// Held exclusively by a test to delay the service's responses.
    gate: Arc<RwLock<()>>,
    ip: Ipv4Addr,
}

impl Traced {
    fn new(extra: &str) -> Self {
        let fleet = Fleet::new(&[]);
        fleet.apply(CONFIG);
        let (sender, received) = channel();
        let sender = Mutex::new(sender);
        let gate = Arc::new(RwLock::new(()));
        let service_gate = Arc::clone(&gate);
        let local = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let service = Server::start(
            local,
            Limits::default(),
            Arc::new(move |exchange| {
                let trace = exchange.head.header("traceparent").map(str::to_owned);
                sender.lock().expect("not poisoned").send(trace).expect("wanted");
                drop(service_gate.read().expect("not poisoned"));
                exchange.respond(200, &[], b"").unwrap_or_default();
            }),
        );
        let service = service.expect("service starts");
        let mut members = fleet.members();
        members[0].addr = service.addr().to_string();
        fleet.platform.set_members(members);
        let ip = unique_ip();
        let text = format!(
            "name: traced\nzone: zone-a\nplatform: {}\nstop: {{notice_ms: 0}}\nlisten:\n  callers: {ip}:8080\n  peers: {ip}:8081\n  operators: {ip}:8082\n{extra}",
            fleet.platform.addr(),
        );
        let file = std::env::temp_dir().join(format!("mimosapass-trace-{ip}.yaml"));
        std::fs::write(&file, text).expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_mimosapass"))
            .args(["serve", "--config"])
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn();
        let traced = Self {
            _fleet: fleet,
            _service: service,
            child: child.expect("it starts"),
            received,
            gate,
            ip,
        };
        let status = format!("http://{ip}:8082/status");
        wait_until("the instance knows its service", || {
            let page = agent().get(&status).call().ok();
            let text = page.and_then(|mut r| r.body_mut().read_to_string().ok());
            text.is_some_and(|t| t.contains("\"ready\":true") && t.contains("desk-0"))
        });
        std::fs::remove_file(&file).expect("removed");
        traced
    }

    fn call(&self, header: Option<&str>) -> Option<String> {
        let headers: Vec<(&str, &str)> = header.map(|h| ("traceparent", h)).into_iter().collect();
        let url = format!("http://{}:8080/services/lookups/x", self.ip);
        assert_eq!(post(&url, &headers, "").expect("an answer").status, 200);
        self.received.recv().expect("the service was called")
    }

    /// Stops the instance and returns what it exported.
    fn stop(&mut self) -> String {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().expect("kill runs").success());
        let mut text = String::new();
        let output = self.child.stdout.as_mut().expect("piped");
        output.read_to_string(&mut text).expect("readable");
        text
    }
}

impl Drop for Traced {
    fn drop(&mut self) {
        self.child.kill().unwrap_or_default();
        self.child.wait().map(drop).unwrap_or_default();
    }
}

#[rstest]
#[case::off("")]
#[case::stated("trace: off\n")]
fn without_export_the_header_is_forwarded_unchanged(#[case] extra: &str) {
    let mut traced = Traced::new(extra);
    let header = format!("00-{TRACE_ID}-{SPAN_ID}-01");
    assert_eq!(traced.call(Some(&header)), Some(header));
    assert_eq!(traced.call(None), None);
    assert_eq!(traced.stop(), "");
}

#[test]
fn each_hop_has_a_span_with_its_reason() {
    let mut traced = Traced::new("trace: stdout\n");
    let sent = traced.call(Some(&format!("00-{TRACE_ID}-{SPAN_ID}-01"))).expect("a trace");
    let parts: Vec<&str> = sent.split('-').collect();
    assert_eq!((parts[0], parts[1], parts[3]), ("00", TRACE_ID, "01"));
    assert_ne!(parts[2], SPAN_ID);
    let fresh = traced.call(None).expect("a trace of its own");
    assert!(!fresh.contains(TRACE_ID), "{fresh}");
    let output = traced.stop();
    // The exporter prints a block per span.
    let spans: Vec<&str> = output.split("Span #").filter(|s| s.contains(TRACE_ID)).collect();
    let named = |name: &str| spans.iter().find(|s| s.contains(&format!(": {name}\n"))).copied();
    let entry = named("entry").expect("an entry span");
    assert!(entry.contains(SPAN_ID) && entry.contains("lookups"), "{entry}");
    let choice = named("choice").expect("a span of the choice");
    assert!(choice.contains("first attempt"), "{choice}");
    let attempt = named("attempt").expect("an attempt span");
    assert!(attempt.contains(parts[2]) && attempt.contains("desk-0: "), "{attempt}");
}

#[test]
fn a_wait_in_the_queue_has_a_span_with_its_outcome() {
    let mut traced = Traced::new("trace: stdout\n");
    let url = format!("http://{}:8080/services/lookups/x", traced.ip);
    let gate = Arc::clone(&traced.gate);
    let lock = gate.write().expect("not poisoned");
    std::thread::scope(|scope| {
        let send = || post(&url, &[], "").expect("an answer").status;
        let held: Vec<_> = (0..MAX_CALLS).map(|_| scope.spawn(send)).collect();
        (0..MAX_CALLS).for_each(|_| drop(traced.received.recv().expect("the service was called")));
        // The service is at its limit, so this request waits until its deadline.
        let trace = format!("00-{TRACE_ID}-{SPAN_ID}-01");
        let headers = [("traceparent", trace.as_str()), ("mimosapass-deadline-ms", "300")];
        let seen = post(&url, &headers, "").expect("an answer");
        assert!(seen.body.expect("not poisoned").contains("queue_timeout"));
        drop(lock);
        for call in held {
            assert_eq!(call.join().expect("it ends"), 200);
        }
    });
    let output = traced.stop();
    let queue = |s: &&str| s.contains(TRACE_ID) && s.contains(": queue\n");
    let span = output.split("Span #").find(queue).expect("a span of the queue");
    assert!(span.contains("no target had room") && span.contains("queue_timeout"), "{span}");
}
