//! Starts the threads of an instance and runs it until a signal stops it.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{channel, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

use mimosapass_caller::server::Server;
use mimosapass_instance::link::{INBOX_LENGTH, Identity, Links};
use mimosapass_operator::pages::{self, Sources};
use mimosapass_operator::yaml::Loaded;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::background::records::{self, Records};
use crate::background::{config_watch, listing, memory, orders, peers, poll, reclaim, spawn};
use crate::node::Node;
use crate::request::{dispatch, queue};
use crate::settings::{self, Settings};
use crate::settings_file::{SettingsFile, log_invalid, log_unset};
use crate::status::status;
use crate::stop::stop;
use crate::timer::Timer;

/// Serves until SIGINT or SIGTERM.
///
/// # Errors
///
/// Fails when an address cannot be bound or a thread cannot be started.
pub fn run(settings: Settings, file: &Path) -> io::Result<()> {
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM])?;
    let timer = Timer::start()?;
    let (incoming, inbox) = sync_channel(INBOX_LENGTH);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let boot = now.as_millis() as u64;
    let identity = Identity { name: settings.name.clone(), zone: settings.zone.clone(), boot };
    let links = Links::start(&identity, settings.listen.peers, incoming)?;
    let (reclaims, reclaim_inbox) = channel();
    let (records, record_inbox) = Records::new();
    let node = Arc::new(Node::new(settings, timer, links, reclaims, records, boot));
    let start = |name: &str, run: fn(&Arc<Node>)| {
        let node = Arc::clone(&node);
        spawn(name, move || run(&node))
    };
    start("beat", peers::send_heartbeats)?;
    start("configure", config_watch::run)?;
    start("listing", listing::run)?;
    start("orders", orders::run)?;
    start("poll", poll::run)?;
    start("renew", memory::renew)?;
    start("sweep", memory::sweep)?;
    start("turns", queue::run)?;
    let listening = Arc::clone(&node);
    spawn("listen", move || peers::receive(&listening, &inbox))?;
    let reclaiming = Arc::clone(&node);
    spawn("reclaim", move || reclaim::run(&reclaiming, &reclaim_inbox))?;
    let settling = Arc::clone(&node);
    spawn("records", move || records::run(&settling, &record_inbox))?;
    let server = serve_callers(&node)?;
    let operators = pages::start(node.settings.listen.operators, sources(&node))?;
    log::info!(
        "serve: listening for callers on {} and for operators on {operators}.",
        server.addr()
    );
    let applying = Arc::clone(&node);
    let apply = move |path: &Path, text: &str| reload(&applying, path, text);
    let settings_file = SettingsFile::follow(file, Box::new(apply))?;
    let is_stop = |signal: i32| {
        // A file that changed without a signal bounds the stop too.
        settings_file.reload();
        signal != SIGHUP
    };
    if signals.forever().any(is_stop) {
        stop(&node, &server, &mut signals);
        node.traces.shutdown();
    }
    Ok(())
}

/// Puts the text of the settings file in force: the times of a shutdown at once, all others at the
/// next start.
fn reload(node: &Node, path: &Path, text: &str) {
    let new = match settings::parse(text, path) {
        Ok(Loaded { value, unset }) => {
            log_unset(&unset);
            value
        }
        Err(faults) => return log_invalid(&faults),
    };
    let before = std::mem::replace(&mut node.state().stop, new.stop);
    if before != new.stop {
        log::info!("settings: the times of a shutdown changed and are in force: {:?}.", new.stop);
    }
    if node.settings != (Settings { stop: node.settings.stop, ..new }) {
        log::info!("settings: others changed too and are in force from the next start.");
    }
}

fn serve_callers(node: &Arc<Node>) -> io::Result<Server> {
    let serving = Arc::clone(node);
    Server::start(
        node.settings.listen.callers,
        node.settings.limits,
        Arc::new(move |exchange| dispatch::handle(&serving, exchange)),
    )
}

fn sources(node: &Arc<Node>) -> Sources {
    let (for_ready, for_status, for_explain) =
        (Arc::clone(node), Arc::clone(node), Arc::clone(node));
    Sources {
        ready: Arc::new(move || for_ready.ready()),
        status: Arc::new(move || status(&for_status)),
        explain: Arc::new(move |id| {
            for_explain.explanations.find(id).and_then(|e| serde_json::to_string(&e).ok())
        }),
        registry: node.metrics.registry.clone(),
    }
}
