//! Requests in flight, told to peers and heard from them.
//!
//! A change is told within milliseconds, so that instances do not choose the
//! same target at once. The whole is told every second, which repairs what a
//! lost datagram left wrong and serves as a sign of life.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::edge::load::Work;
use mimosapass_core::ids::{InstanceId, TargetId};
use mimosapass_instance::datagram::{self, Datagram, Datagrams, TargetWorks, groups};

use super::state::{Gateway, Peer, State};

/// Time in which changes gather before peers are told. A pass of an engine takes
/// some 45 ms; news that are much younger than that decide as well.
const GATHER: Duration = Duration::from_millis(8);
/// Time between two tellings of the whole.
const WHOLE: Duration = Duration::from_millis(1_000);
/// Silence after which a peer and its requests are forgotten.
const SILENT: Duration = Duration::from_millis(3_500);

/// Tells peers of changes for as long as the process runs.
pub fn tell(gateway: &Arc<Gateway>, socket: &Datagrams) {
    let mut number = 0;
    let mut whole_at = Instant::now();
    loop {
        let mut state = gateway.state();
        while state.changed.is_empty() && Instant::now() < whole_at {
            let left = whole_at.saturating_duration_since(Instant::now());
            let waited = gateway.bell.wait_timeout(state, left);
            state = waited.map_or_else(|e| e.into_inner().0, |(state, _)| state);
        }
        drop(state);
        std::thread::sleep(GATHER);
        let now = Instant::now();
        let whole = now >= whole_at;
        if whole {
            whole_at = now + WHOLE;
        }
        let mut state = gateway.state();
        forget_silent(&mut state, now);
        let peers = addresses(gateway, &state);
        let datagrams = datagrams(gateway, &mut state, whole, now);
        gateway.metrics.peers.set(state.peers.len() as i64);
        drop(state);
        for mut datagram in datagrams {
            number += 1;
            datagram.number = number;
            socket.send(&datagram, &peers);
        }
    }
}

fn forget_silent(state: &mut State, now: Instant) {
    let silent: Vec<InstanceId> = state
        .peers
        .iter()
        .filter(|(_, p)| now.duration_since(p.heard) > SILENT)
        .map(|(name, _)| InstanceId::clone(name))
        .collect();
    for name in silent {
        log::info!(peer = &*name; "peer: silent, its requests are forgotten.");
        state.peers.remove(&name);
        state.load.forget_peer(&name);
    }
}

/// Returns where peers hear this instance.
///
/// Seeds are told too as long as the store has named no peer: all instances use
/// the same port for datagrams.
fn addresses(gateway: &Gateway, state: &State) -> Vec<SocketAddr> {
    let own = gateway.settings.listen.peers;
    let mut all: Vec<SocketAddr> = state.members.values().copied().collect();
    all.extend(state.peers.values().map(|p| p.addr));
    if state.members.is_empty() {
        let seeds = gateway.settings.seeds.iter();
        all.extend(seeds.map(|seed| SocketAddr::new(seed.ip(), own.port())));
    }
    all.sort_unstable();
    all.dedup();
    all.retain(|addr| *addr != own);
    all
}

fn datagrams(gateway: &Gateway, state: &mut State, whole: bool, now: Instant) -> Vec<Datagram> {
    let changed = std::mem::take(&mut state.changed);
    let targets: Vec<TargetId> = if whole {
        let ids = state.load.own_targets();
        ids.chain(changed.iter()).cloned().collect::<std::collections::BTreeSet<_>>()
    } else {
        changed
    }
    .into_iter()
    .collect();
    let works = |target: &TargetId| {
        let works = state.load.own(target).iter().map(|w| wire(w, now)).collect();
        TargetWorks { target: target.to_string(), works }
    };
    let groups = groups(targets.iter().map(works).collect());
    let single = groups.len() == 1;
    let frame = |targets| Datagram {
        version: datagram::VERSION,
        from: gateway.name.to_string(),
        boot: gateway.boot,
        number: 0,
        config: gateway.plan().version,
        cut: state.store.away.is_some(),
        leaving: gateway.stopping(),
        whole: whole && single,
        targets,
        seen: state.store.at,
    };
    groups.into_iter().map(frame).collect()
}

fn wire(work: &Work, now: Instant) -> datagram::Work {
    let ms = |d: Duration| d.as_millis().min(u128::from(u32::MAX)) as u32;
    datagram::Work {
        prompt: work.prompt,
        parts: work.parts,
        part: !work.first,
        answer: work.answer,
        gap_ms: ms(work.gap),
        worth: work.worth as f32,
        sent_ms: ms(now.saturating_duration_since(work.sent)),
        writing_ms: work.writing.map_or(0, |at| ms(now.saturating_duration_since(at)) + 1),
    }
}

fn read(wire: &datagram::Work, now: Instant) -> Work {
    let ago = |ms: u32| now.checked_sub(Duration::from_millis(u64::from(ms))).unwrap_or(now);
    Work {
        prompt: wire.prompt,
        parts: wire.parts.max(1),
        first: !wire.part,
        answer: wire.answer,
        gap: Duration::from_millis(u64::from(wire.gap_ms)),
        worth: f64::from(wire.worth),
        sent: ago(wire.sent_ms),
        writing: wire.writing_ms.checked_sub(1).map(ago),
    }
}

/// Hears peers for as long as the process runs.
pub fn hear(gateway: &Arc<Gateway>, socket: &Datagrams) {
    loop {
        match socket.receive() {
            Ok(Some((datagram, from))) => heard(gateway, datagram, from),
            Ok(None) => {}
            Err(e) => {
                log::warn!("datagram: the socket fails: {e}.");
                std::thread::sleep(SILENT);
            }
        }
    }
}

fn heard(gateway: &Gateway, datagram: Datagram, addr: SocketAddr) {
    if datagram.from == *gateway.name {
        return;
    }
    let now = Instant::now();
    let name = InstanceId::from(datagram.from.as_str());
    let mut state = gateway.state();
    let known = state.peers.get(&name).map(|p| (p.boot, p.number));
    if known.is_some_and(|known| (datagram.boot, datagram.number) <= known) {
        return;
    }
    let restarted = known.is_some_and(|(boot, _)| boot < datagram.boot);
    if known.is_none() {
        log::info!(peer = &*name, addr:% = addr; "peer: heard.");
    }
    if datagram.whole || restarted || datagram.leaving && datagram.targets.is_empty() {
        state.load.forget_peer(&name);
    }
    let peer = Peer {
        addr,
        boot: datagram.boot,
        number: datagram.number,
        heard: now,
        config: datagram.config,
        cut: datagram.cut,
    };
    state.peers.insert(InstanceId::clone(&name), peer);
    for TargetWorks { target, works } in datagram.targets {
        let works = works.iter().map(|w| read(w, now)).collect();
        state.load.replace(&name, &TargetId::from(target), works);
    }
    state.dispatch(gateway, now);
}
