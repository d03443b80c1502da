//! HTTP status pages of an instance: liveness, readiness, metrics, status and routing.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::server::{Limits, Server};
use prometheus::{Registry, TextEncoder};

/// Limits of requests, which have no body, and come from operators and the balancer.
const LIMITS: Limits = Limits {
    head_bytes: 8 * 1024,
    body_bytes: 8 * 1024,
    bodies_bytes: 256 * 1024,
    connections: 1024,
    head_timeout: Duration::from_secs(5),
    body_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_mins(1),
    write_timeout: Duration::from_secs(5),
};
const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";

/// Returns the routing record of a request as JSON, if there is one.
pub type Explain = Arc<dyn Fn(&str) -> Option<String> + Send + Sync>;

/// Data shown on the pages; closures run on every request of a page.
#[derive(Clone)]
pub struct Sources {
    /// Whether the instance accepts requests; the error says why not.
    pub ready: Arc<dyn Fn() -> Result<(), String> + Send + Sync>,
    /// State of the instance, its peers and targets, as JSON.
    pub status: Arc<dyn Fn() -> String + Send + Sync>,
    /// How a request was routed, as JSON.
    pub explain: Explain,
    /// Registry of the exported metrics.
    pub registry: Registry,
}

impl std::fmt::Debug for Sources {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Sources").finish_non_exhaustive()
    }
}

/// Serves the pages in background threads and returns the bound address.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn start(addr: SocketAddr, sources: Sources) -> io::Result<SocketAddr> {
    let handler = move |exchange: &mut Exchange<'_>| {
        let (status, kind, body) = respond(&exchange.head.method, &exchange.head.path, &sources);
        let headers = [("content-type", kind.to_owned())];
        if let Err(e) = exchange.respond(status, &headers, body.as_bytes()) {
            log::debug!("pages: a response could not be sent: {e}.");
        }
    };
    Server::start(addr, LIMITS, Arc::new(handler)).map(|server| server.addr())
}

/// Returns the status, the content type and the body of a page.
fn respond(method: &str, path: &str, sources: &Sources) -> (u16, &'static str, String) {
    match (method, path) {
        ("GET", "/livez") => (200, TEXT, "live\n".to_owned()),
        ("GET", "/readyz") => match (sources.ready)() {
            Ok(()) => (200, TEXT, "ready\n".to_owned()),
            Err(reason) => (503, TEXT, format!("not ready: {reason}\n")),
        },
        ("GET", "/metrics") => {
            match TextEncoder::new().encode_to_string(&sources.registry.gather()) {
                Ok(text) => (200, TEXT, text),
                Err(e) => (500, TEXT, e.to_string()),
            }
        }
        ("GET", "/status") => (200, JSON, (sources.status)()),
        ("GET", other) => explain(other, sources),
        _ => (405, TEXT, "only GET is supported\n".to_owned()),
    }
}

fn explain(path: &str, sources: &Sources) -> (u16, &'static str, String) {
    let found = path.strip_prefix("/explain/").and_then(|id| (sources.explain)(id));
    match found {
        Some(json) => (200, JSON, json),
        None => (404, TEXT, "not found\n".to_owned()),
    }
}
