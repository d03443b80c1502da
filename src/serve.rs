//! Starts the parts of an instance and stops them in order.

use std::io;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::{SystemTime, UNIX_EPOCH};

use mimosapass_caller::server::Server;
use mimosapass_instance::link::{Identity, Links};
use mimosapass_operator::pages::{self, Sources};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::background::records::{self, Records};
use crate::background::{configure, listing, memory, orders, peers, poll, reclaim, spawn};
use crate::flow::{entry, turn};
use crate::node::Node;
use crate::settings::Settings;
use crate::status::status;
use crate::stop::stop;
use crate::timer::Timer;

/// Serves until a signal asks to stop.
///
/// # Errors
///
/// Fails when an address cannot be bound or a thread cannot be started.
pub fn run(settings: Settings) -> io::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let timer = Timer::start()?;
    let (incoming, inbox) = channel();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let boot = now.as_millis() as u64;
    let me = Identity { name: settings.name.clone(), zone: settings.zone.clone(), boot };
    let links = Links::start(&me, settings.listen.peers, incoming)?;
    let (reclaims, reclaim_inbox) = channel();
    let (records, unsettled) = Records::new();
    let node = Arc::new(Node::new(settings, timer, links, reclaims, records, boot));
    let part = |name: &str, run: fn(&Arc<Node>)| {
        let node = Arc::clone(&node);
        spawn(name, move || run(&node))
    };
    part("beat", peers::beat)?;
    part("configure", configure::run)?;
    part("listing", listing::run)?;
    part("orders", orders::run)?;
    part("poll", poll::run)?;
    part("renew", memory::renew)?;
    part("sweep", memory::sweep)?;
    part("turns", turn::run)?;
    let listening = Arc::clone(&node);
    spawn("listen", move || peers::listen(&listening, &inbox))?;
    let reclaiming = Arc::clone(&node);
    spawn("reclaim", move || reclaim::run(&reclaiming, &reclaim_inbox))?;
    let settling = Arc::clone(&node);
    spawn("records", move || records::run(&settling, &unsettled))?;
    let server = serve_callers(&node)?;
    let operators = pages::start(node.settings.listen.operators, sources(&node))?;
    log::info!("serve: callers at {}, operators at {operators}.", server.addr());
    if signals.forever().next().is_some() {
        stop(&node, &server, &mut signals);
        node.traces.shutdown();
    }
    Ok(())
}

fn serve_callers(node: &Arc<Node>) -> io::Result<Server> {
    let serving = Arc::clone(node);
    Server::start(
        node.settings.listen.callers,
        node.settings.limits,
        Arc::new(move |exchange| entry::handle(&serving, exchange)),
    )
}

fn sources(node: &Arc<Node>) -> Sources {
    let (ready, told, explained) = (Arc::clone(node), Arc::clone(node), Arc::clone(node));
    Sources {
        ready: Arc::new(move || ready.ready()),
        status: Arc::new(move || status(&told)),
        explain: Arc::new(move |id| {
            explained.explanations.find(id).and_then(|s| serde_json::to_string(&s).ok())
        }),
        registry: node.metrics.registry.clone(),
    }
}
