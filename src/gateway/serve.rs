//! Starts the threads and servers of a gateway and stops them in order.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::server::{Limits, Server};
use mimosapass_instance::datagram::DatagramSocket;
use mimosapass_instance::link::{INBOX_LENGTH, Identity, Links};
use prometheus::TextEncoder;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::settings::Settings;
use super::state::Gateway;
use super::stop::stop;
use super::{flow, follow, gossip, member, reach, reload, snapshot};
use crate::settings_file::SettingsFile;

/// Stack size of the threads started here.
const STACK_BYTES: usize = 512 * 1024;
/// Idle timeout of a caller's connection. It is longer than any that an operator
/// configures, so that no connection is closed while its caller uses it.
const IDLE_TIMEOUT: Duration = Duration::from_mins(2);
/// Largest accepted body of a request.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Request bodies may use one part in this many of the machine's memory.
const BODIES_DIVISOR: usize = 4;

/// Limits of the addresses for readiness and metrics: their requests have no body, and come
/// from the platform and a few scrapers.
const SERVICE_LIMITS: Limits = Limits {
    head_bytes: 8 * 1024,
    body_bytes: 8 * 1024,
    bodies_bytes: 256 * 1024,
    connections: 1024,
    head_timeout: Duration::from_secs(5),
    body_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_mins(1),
    write_timeout: Duration::from_secs(5),
};

/// Runs the gateway until it receives SIGINT or SIGTERM.
///
/// # Errors
///
/// Fails when an address cannot be bound or a thread cannot be started.
pub fn run(settings: Settings, file: &Path) -> io::Result<()> {
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM])?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let boot = now.as_millis() as u64;
    let socket = Arc::new(DatagramSocket::bind(settings.listen.peers)?);
    let gateway = Arc::new(Gateway::new(settings, boot));
    let (name, zone) = (&*gateway.name, gateway.settings.zone.as_str());
    let Settings { stop_limit, retry_limits, first_start, memory_mb, capacity, .. } =
        gateway.settings;
    log::info!(
        name, zone, boot, first_start, memory_mb, capacity,
        stop_limit_ms = stop_limit.as_millis() as u64,
        retry_ratio = retry_limits.ratio,
        retry_slack = retry_limits.slack,
        retry_window_ms = retry_limits.window.as_millis() as u64;
        "gateway: started."
    );
    spawn(&gateway, "follow", follow::run)?;
    spawn(&gateway, "member", member::run)?;
    spawn(&gateway, "probe", reach::probe)?;
    let sender = Arc::clone(&socket);
    spawn(&gateway, "tell", move |g| gossip::send_updates(g, &sender))?;
    spawn(&gateway, "hear", move |g| gossip::receive_updates(g, &socket))?;
    let (incoming, inbox) = sync_channel(INBOX_LENGTH);
    let links = Links::start(&identity(&gateway), gateway.settings.listen.peers, incoming)?;
    let request_links = links.clone();
    spawn(&gateway, "ask", move |g| snapshot::request_when_behind(g, &request_links))?;
    spawn(&gateway, "answer", move |g| snapshot::serve_and_apply(g, &links, &inbox))?;
    let server = serve_callers(&gateway)?;
    let ready = serve_ready(&gateway)?;
    let metrics = serve_metrics(&gateway)?;
    let applying = Arc::clone(&gateway);
    let apply = move |path: &Path, text: &str| reload::apply(&applying, path, text);
    let settings_file = SettingsFile::follow(file, Box::new(apply))?;
    for signal in signals.forever() {
        // A file that changed without a signal bounds the stop too.
        settings_file.reload();
        if signal != SIGHUP {
            stop(&gateway, &server);
            break;
        }
    }
    drop((ready, metrics));
    Ok(())
}

fn identity(gateway: &Gateway) -> Identity {
    Identity {
        name: gateway.name.to_string(),
        zone: gateway.settings.zone.clone(),
        boot: gateway.boot,
    }
}

fn spawn(
    gateway: &Arc<Gateway>,
    name: &str,
    run: impl FnOnce(&Arc<Gateway>) + Send + 'static,
) -> io::Result<()> {
    let gateway = Arc::clone(gateway);
    let builder = thread::Builder::new().name(name.to_owned()).stack_size(STACK_BYTES);
    builder.spawn(move || run(&gateway)).map(drop)
}

fn serve_callers(gateway: &Arc<Gateway>) -> io::Result<Server> {
    let serving = Arc::clone(gateway);
    let limits = Limits {
        body_bytes: MAX_BODY_BYTES,
        bodies_bytes: gateway.settings.memory_mb * 1024 * 1024 / BODIES_DIVISOR,
        idle_timeout: IDLE_TIMEOUT,
        ..Limits::default()
    };
    Server::start(
        gateway.settings.listen.callers,
        limits,
        Arc::new(move |exchange| flow::handle(&serving, exchange)),
    )
}

fn serve_ready(gateway: &Arc<Gateway>) -> io::Result<Server> {
    let checked = Arc::clone(gateway);
    Server::start(
        gateway.settings.listen.ready,
        SERVICE_LIMITS,
        Arc::new(move |exchange| match checked.check_ready() {
            Ok(()) => respond(exchange, 200, "ready\n"),
            Err(reason) => respond(exchange, 503, reason),
        }),
    )
}

fn serve_metrics(gateway: &Arc<Gateway>) -> io::Result<Server> {
    let registry = gateway.metrics.registry.clone();
    Server::start(
        gateway.settings.listen.metrics,
        SERVICE_LIMITS,
        Arc::new(move |exchange| match TextEncoder::new().encode_to_string(&registry.gather()) {
            Ok(text) => respond(exchange, 200, &text),
            Err(e) => respond(exchange, 500, &e.to_string()),
        }),
    )
}

fn respond(exchange: &mut Exchange<'_>, status: u16, text: &str) {
    let headers = [("content-type", "text/plain".to_owned())];
    if let Err(e) = exchange.respond(status, &headers, text.as_bytes()) {
        log::debug!("gateway: a response on a service port could not be sent: {e}.");
    }
}
