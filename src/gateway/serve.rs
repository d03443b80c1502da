//! Starts the parts of a gateway and stops them in order.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::server::{Limits, Server};
use mimosapass_instance::datagram::DatagramSocket;
use mimosapass_instance::link::{Identity, Links};
use prometheus::TextEncoder;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::settings::{self, Settings};
use super::state::{Gateway, STOP_LAST, STOP_NOTICE};
use super::{flow, follow, gossip, member, mirror};

/// Stack of a part's thread, in bytes.
const STACK: usize = 512 * 1024;
/// Time for which an idle kept connection is left open after the notice.
const LINGER: Duration = Duration::from_secs(1);
/// Time between two looks at whether all requests have ended.
const LOOK: Duration = Duration::from_millis(50);
/// Time that a caller's connection may stay silent; longer than any that the
/// operator states, so that a connection is not closed on a caller that uses it.
const IDLE: Duration = Duration::from_mins(2);
/// Longest body, in bytes.
const BODY: usize = 4 * 1024 * 1024;
/// Part of the machine's memory that bodies of requests may take.
const BODIES: usize = 4;

/// Serves until a signal asks to stop.
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
    log::info!(name, zone, boot; "gateway: started.");
    part(&gateway, "follow", follow::run)?;
    part(&gateway, "member", member::run)?;
    let telling = Arc::clone(&socket);
    part(&gateway, "tell", move |g| gossip::tell(g, &telling))?;
    part(&gateway, "hear", move |g| gossip::hear(g, &socket))?;
    let (incoming, inbox) = channel();
    let links = Links::start(&identity(&gateway), gateway.settings.listen.peers, incoming)?;
    let asking = links.clone();
    part(&gateway, "ask", move |g| mirror::ask(g, &asking))?;
    part(&gateway, "answer", move |g| mirror::answer(g, &links, &inbox))?;
    let server = serve_callers(&gateway)?;
    let ready = serve_ready(&gateway)?;
    let metrics = serve_metrics(&gateway)?;
    for signal in signals.forever() {
        if signal == SIGHUP {
            reload(file);
            continue;
        }
        stop(&gateway, &server);
        break;
    }
    drop((ready, metrics));
    Ok(())
}

/// Reads the settings again and tells what is wrong with them; those that the
/// process runs with stay in force until its next start.
fn reload(file: &Path) {
    match settings::load(file) {
        Ok(_) => log::info!("gateway: settings are sound, they hold from the next start on."),
        Err(faults) => log::error!("gateway: settings are faulty, the old ones hold: {faults}"),
    }
}

fn identity(gateway: &Gateway) -> Identity {
    Identity {
        name: gateway.name.to_string(),
        zone: gateway.settings.zone.clone(),
        boot: gateway.boot,
    }
}

fn part(
    gateway: &Arc<Gateway>,
    name: &str,
    run: impl FnOnce(&Arc<Gateway>) + Send + 'static,
) -> io::Result<()> {
    let gateway = Arc::clone(gateway);
    let builder = thread::Builder::new().name(name.to_owned()).stack_size(STACK);
    builder.spawn(move || run(&gateway)).map(drop)
}

fn serve_callers(gateway: &Arc<Gateway>) -> io::Result<Server> {
    let serving = Arc::clone(gateway);
    let limits = Limits {
        body_bytes: BODY,
        bodies_bytes: gateway.settings.memory_mb * 1024 * 1024 / BODIES,
        idle_timeout: IDLE,
        ..Limits::default()
    };
    Server::start(
        gateway.settings.listen.callers,
        limits,
        Arc::new(move |exchange| flow::handle(&serving, exchange)),
    )
}

fn serve_ready(gateway: &Arc<Gateway>) -> io::Result<Server> {
    let asked = Arc::clone(gateway);
    Server::start(
        gateway.settings.listen.ready,
        Limits::default(),
        Arc::new(move |exchange| match asked.ready() {
            Ok(()) => tell(exchange, 200, "ready\n"),
            Err(why) => tell(exchange, 503, why),
        }),
    )
}

fn serve_metrics(gateway: &Arc<Gateway>) -> io::Result<Server> {
    let registry = gateway.metrics.registry.clone();
    Server::start(
        gateway.settings.listen.metrics,
        Limits::default(),
        Arc::new(move |exchange| match TextEncoder::new().encode_to_string(&registry.gather()) {
            Ok(text) => tell(exchange, 200, &text),
            Err(e) => tell(exchange, 500, &e.to_string()),
        }),
    )
}

fn tell(exchange: &mut Exchange<'_>, status: u16, text: &str) {
    let headers = [("content-type", "text/plain".to_owned())];
    if let Err(e) = exchange.respond(status, &headers, text.as_bytes()) {
        log::debug!("gateway: a page was not taken: {e}.");
    }
}

/// Stops without cutting a request, as long as the time for it lasts.
fn stop(gateway: &Gateway, server: &Server) {
    let begun = Instant::now();
    log::info!(open = server.active_requests(); "gateway: stopping.");
    gateway.stop();
    server.disable_keep_alive();
    thread::sleep(STOP_NOTICE);
    server.stop(LINGER);
    let limit = begun + gateway.settings.stop_limit.saturating_sub(STOP_LAST);
    while !server.drained() && Instant::now() < limit {
        thread::sleep(LOOK);
    }
    if !server.drained() {
        log::warn!(open = server.active_requests(); "gateway: requests are made to end.");
        gateway.end();
        server.abort_incomplete();
        thread::sleep(STOP_LAST / 2);
    }
    log::info!("gateway: stopped.");
}
