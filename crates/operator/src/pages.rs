//! HTTP status pages of an instance: liveness, readiness, metrics, status and routing.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use prometheus::{Registry, TextEncoder};
use rouille::{Request, Response, Server};

/// Worker threads of the HTTP server.
const THREADS: usize = 4;

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

/// Serves the pages in a background thread and returns the bound address.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn start(addr: SocketAddr, sources: Sources) -> io::Result<SocketAddr> {
    let server = Server::new(addr, move |request| respond(request, &sources))
        .map_err(|e| io::Error::other(e.to_string()))?
        .pool_size(THREADS);
    let bound = server.server_addr();
    thread::Builder::new().name("pages".to_owned()).spawn(move || server.run())?;
    Ok(bound)
}

fn respond(request: &Request, sources: &Sources) -> Response {
    let path = request.url();
    match (request.method(), path.as_str()) {
        ("GET", "/livez") => Response::text("live\n"),
        ("GET", "/readyz") => match (sources.ready)() {
            Ok(()) => Response::text("ready\n"),
            Err(reason) => Response::text(format!("not ready: {reason}\n")).with_status_code(503),
        },
        ("GET", "/metrics") => {
            match TextEncoder::new().encode_to_string(&sources.registry.gather()) {
                Ok(text) => Response::text(text),
                Err(e) => Response::text(e.to_string()).with_status_code(500),
            }
        }
        ("GET", "/status") => Response::from_data("application/json", (sources.status)()),
        ("GET", other) => explain(other, sources),
        _ => Response::text("only GET is supported\n").with_status_code(405),
    }
}

fn explain(path: &str, sources: &Sources) -> Response {
    let found = path.strip_prefix("/explain/").and_then(|id| (sources.explain)(id));
    match found {
        Some(json) => Response::from_data("application/json", json),
        None => Response::text("not found\n").with_status_code(404),
    }
}
