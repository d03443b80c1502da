//! Delegation of placements to the schedulers of the zone, on both sides.
//!
//! `mimosapass_core::edge::remote` and `clients` hold the requests; here they are
//! encoded, decoded and handed to the threads that wait.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mimosapass_core::edge::clients::Reply;
use mimosapass_core::edge::history::Kind;
use mimosapass_core::edge::learning::Outlay;
use mimosapass_core::edge::load::RequestNumber;
use mimosapass_core::edge::outcomes::Outcome;
use mimosapass_core::edge::placement::{Helper, Placement};
use mimosapass_core::edge::remote::Outgoing;
use mimosapass_core::edge::route_table::{RouteTable, ServiceId};
use mimosapass_core::edge::schedule::{Grant, Refusal, Requirements};
use mimosapass_core::edge::wait::QueueEntry;
use mimosapass_core::ids::{InstanceId, TargetId, WorkspaceId};
use mimosapass_instance::datagram::Datagram;
use mimosapass_instance::delegation::{self as wire, AttemptOutcome, MAX_MESSAGES, Observation};

use super::gossip::{ago, from_due_ms, ms, to_due_ms};
use super::state::{Gateway, State};

/// Most outcomes, and most costs of requests, that wait to be reported to a scheduler.
const MAX_OUTCOMES: usize = 64;

/// What this instance observed of targets and has not reported yet.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    outcomes: Vec<(TargetId, Outcome)>,
    /// Shortest gap between events, by target.
    gaps: BTreeMap<TargetId, Duration>,
    outlays: Vec<Outlay>,
}

impl Observations {
    /// Adds the outcome of an attempt; the oldest ones are kept when there are too many.
    pub fn add_outcome(&mut self, target: &TargetId, outcome: Outcome) {
        if self.outcomes.len() < MAX_OUTCOMES {
            self.outcomes.push((TargetId::clone(target), outcome));
        }
    }

    /// Adds what a request has cost; the oldest ones are kept when there are too many.
    pub fn add_outlay(&mut self, outlay: Outlay) {
        if self.outlays.len() < MAX_OUTCOMES {
            self.outlays.push(outlay);
        }
    }

    fn take_outlays(&mut self) -> Vec<wire::CostReport> {
        self.outlays.drain(..).map(|outlay| encode_outlay(&outlay)).collect()
    }

    /// Adds a gap between two events of a target.
    pub fn add_gap(&mut self, target: &TargetId, gap: Duration) {
        let shortest = self.gaps.entry(TargetId::clone(target)).or_insert(gap);
        *shortest = gap.min(*shortest);
    }

    fn take(&mut self) -> Vec<Observation> {
        let outcomes = self.outcomes.drain(..).map(|(target, outcome)| Observation {
            target: target.to_string(),
            outcome: encode_outcome(outcome).into(),
            gap_us: 0,
        });
        let mut all: Vec<Observation> = outcomes.collect();
        all.extend(std::mem::take(&mut self.gaps).into_iter().map(|(target, gap)| Observation {
            target: target.to_string(),
            outcome: AttemptOutcome::None.into(),
            gap_us: us(gap).max(1),
        }));
        all
    }
}

fn encode_outcome(outcome: Outcome) -> AttemptOutcome {
    match outcome {
        Outcome::Answered => AttemptOutcome::Answered,
        Outcome::Failed => AttemptOutcome::Failed,
        Outcome::Silent => AttemptOutcome::Silent,
        Outcome::Refused => AttemptOutcome::Refused,
    }
}

fn decode_outcome(outcome: AttemptOutcome) -> Option<Outcome> {
    match outcome {
        AttemptOutcome::None => None,
        AttemptOutcome::Answered => Some(Outcome::Answered),
        AttemptOutcome::Failed => Some(Outcome::Failed),
        AttemptOutcome::Silent => Some(Outcome::Silent),
        AttemptOutcome::Refused => Some(Outcome::Refused),
    }
}

fn us(time: Duration) -> u64 {
    time.as_micros().min(u128::from(u64::MAX)) as u64
}

fn encode_ask(
    id: RequestNumber,
    requirements: &Requirements,
    closed: &[String],
    now: Instant,
) -> wire::Ask {
    let entry = &requirements.entry;
    wire::Ask {
        id,
        service: requirements.service.to_string(),
        prompt_tokens: requirements.prompt,
        answer_tokens: requirements.answer,
        gap_ms: ms(requirements.max_gap),
        long: requirements.long,
        whole: requirements.whole,
        route: requirements.kind.route.to_string(),
        workspace: requirements
            .kind
            .workspace
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        stated_tokens: requirements.stated.unwrap_or_default(),
        max_tokens: requirements.max_answer,
        waited_ms: ms(now.saturating_duration_since(entry.arrived)),
        due_in_ms: to_due_ms(entry.due, now),
        expires_in_ms: ms(entry.expires.saturating_duration_since(now)),
        value: entry.value,
        work_us: us(entry.work),
        min_work_us: us(entry.min_work),
        priority: u32::from(entry.priority),
        avoid: requirements.avoid.iter().map(ToString::to_string).chain(closed.to_vec()).collect(),
    }
}

fn decode_ask(ask: wire::Ask, table: &RouteTable, now: Instant) -> (RequestNumber, Requirements) {
    let service = ServiceId::from(ask.service.as_str());
    let requirements = Requirements {
        engine: table.engine(&service),
        service,
        prompt: ask.prompt_tokens,
        answer: ask.answer_tokens,
        max_gap: Duration::from_millis(u64::from(ask.gap_ms)),
        long: ask.long,
        whole: ask.whole,
        kind: decode_kind(&ask.route, &ask.workspace),
        stated: Some(ask.stated_tokens).filter(|tokens| *tokens > 0),
        max_answer: ask.max_tokens,
        call_time: Duration::from_micros(ask.work_us),
        entry: QueueEntry {
            arrived: ago(ask.waited_ms, now),
            due: from_due_ms(ask.due_in_ms, now),
            expires: now + Duration::from_millis(u64::from(ask.expires_in_ms)),
            value: ask.value,
            work: Duration::from_micros(ask.work_us),
            min_work: Duration::from_micros(ask.min_work_us),
            priority: ask.priority.min(u32::from(u8::MAX)) as u8,
        },
        avoid: ask.avoid.into_iter().map(TargetId::from).collect(),
    };
    (ask.id, requirements)
}

fn decode_kind(route: &str, workspace: &str) -> Kind {
    let workspace = Some(workspace).filter(|name| !name.is_empty()).map(WorkspaceId::from);
    Kind { route: route.into(), workspace }
}

fn encode_outlay(outlay: &Outlay) -> wire::CostReport {
    let Outlay { target, kind, cost, stated } = outlay;
    wire::CostReport {
        target: target.to_string(),
        route: kind.route.to_string(),
        workspace: kind.workspace.as_ref().map(ToString::to_string).unwrap_or_default(),
        cost: *cost,
        stated: stated.unwrap_or_default(),
    }
}

fn decode_outlay(report: &wire::CostReport) -> Outlay {
    Outlay {
        target: TargetId::from(report.target.as_str()),
        kind: decode_kind(&report.route, &report.workspace),
        cost: report.cost,
        stated: Some(report.stated).filter(|stated| *stated > 0.0),
    }
}

fn encode_reply(id: RequestNumber, reply: Reply) -> wire::Reply {
    let empty = wire::Reply { id, ..wire::Reply::default() };
    match reply {
        Reply::Queued => empty,
        // A pause of a target for this instance says nothing of the client.
        Reply::Refused(Refusal::Late | Refusal::Paused(_)) => wire::Reply { late: true, ..empty },
        Reply::Refused(Refusal::Limited(left)) => {
            wire::Reply { limited_ms: ms(left).max(1), ..empty }
        }
        Reply::Refused(Refusal::Pressure(pressure)) => {
            wire::Reply { shed: true, pressure, ..empty }
        }
        Reply::Refused(Refusal::Price(price)) => wire::Reply { shed: true, price, ..empty },
        Reply::Granted(Grant { placement, .. }) => {
            let first = wire::PlacedTarget { id: placement.target.id.to_string(), kept_tokens: 0 };
            let helpers = placement.helpers.iter().map(|helper| wire::PlacedTarget {
                id: helper.target.id.to_string(),
                kept_tokens: helper.kept_tokens,
            });
            wire::Reply {
                targets: std::iter::once(first).chain(helpers).collect(),
                memory_tokens: placement.memory_tokens,
                first_event_ms: ms(placement.first_event),
                interference: placement.interference,
                ..empty
            }
        }
    }
}

impl State {
    /// Returns the grant of a reply; the target that cannot be used if there is one.
    fn decode_grant(&self, reply: &wire::Reply, now: Instant) -> Result<Grant, TargetId> {
        let serving = |id: &str| {
            let fleet = &self.scheduler.fleet;
            let known = fleet.get(id).filter(|t| fleet.accepts(&t.id));
            let known = known.filter(|t| self.scheduler.pauses.admits(&t.id, now));
            known.cloned().ok_or_else(|| TargetId::from(id))
        };
        let mut targets = reply.targets.iter();
        let first = targets.next().map_or("", |t| t.id.as_str());
        let helper = |t: &wire::PlacedTarget| {
            Ok(Helper { target: serving(&t.id)?, kept_tokens: t.kept_tokens })
        };
        let placement = Placement {
            target: serving(first)?,
            helpers: targets.map(helper).collect::<Result<_, TargetId>>()?,
            memory_tokens: reply.memory_tokens,
            first_event: Duration::from_millis(u64::from(reply.first_event_ms)),
            loss: 0.0,
            interference: reply.interference,
        };
        Ok(Grant { placement, id: reply.id, at: now })
    }

    /// Applies what a client of this scheduler sent.
    pub fn apply_client(&mut self, gateway: &Gateway, datagram: &mut Datagram, now: Instant) {
        let client = InstanceId::from(datagram.from.as_str());
        let table = gateway.route_table();
        for observation in std::mem::take(&mut datagram.observations) {
            self.apply_observation(&table, &observation, now);
        }
        for report in std::mem::take(&mut datagram.costs) {
            self.record_outlay(&table, &decode_outlay(&report), now);
        }
        for id in std::mem::take(&mut datagram.started) {
            self.clients.first_event(&mut self.scheduler, &client, id, now);
        }
        for id in std::mem::take(&mut datagram.ended) {
            self.clients.end(&mut self.scheduler, &client, id);
        }
        for ask in std::mem::take(&mut datagram.asks) {
            let (id, requirements) = decode_ask(ask, &table, now);
            let number = gateway.next_number();
            self.clients.ask(&mut self.scheduler, &client, id, requirements, number);
        }
        if let Some(held) = datagram.held.take() {
            self.clients.retain(&mut self.scheduler, &client, &held.ids);
        }
    }

    fn apply_observation(&mut self, table: &RouteTable, observed: &Observation, now: Instant) {
        let target = TargetId::from(observed.target.as_str());
        if let Some(outcome) = decode_outcome(observed.outcome()) {
            self.record_outcome(&target, outcome, now);
        }
        if let (1.., Some(engine)) = (observed.gap_us, self.engine_at(table, &target)) {
            let gap = Duration::from_micros(observed.gap_us);
            self.scheduler.record_gap(&target, &engine, gap, now);
        }
    }

    /// Records what a request has cost at a target that is known.
    pub fn record_outlay(&mut self, table: &RouteTable, outlay: &Outlay, now: Instant) {
        if self.scheduler.fleet.get(&outlay.target).is_some() {
            let is_engine = self.engine_at(table, &outlay.target).is_some();
            self.scheduler.record_outlay(outlay, is_engine, now);
        }
    }

    /// Applies the answer of a scheduler to a request of this instance.
    pub fn apply_reply(&mut self, scheduler: &InstanceId, reply: &wire::Reply, now: Instant) {
        let id = reply.id;
        let Some(requirements) = self.remote.waiting(id, scheduler) else {
            if !reply.targets.is_empty() {
                self.remote.decline(id, scheduler);
            }
            return;
        };
        if reply.late || reply.shed || reply.limited_ms > 0 {
            let refusal = match reply {
                wire::Reply { late: true, .. } => Refusal::Late,
                wire::Reply { shed: true, price, .. } if *price > 0.0 => Refusal::Price(*price),
                wire::Reply { shed: true, pressure, .. } => Refusal::Pressure(*pressure),
                wire::Reply { limited_ms, .. } => {
                    Refusal::Limited(Duration::from_millis(u64::from(*limited_ms)))
                }
            };
            if let Some(slot) = self.grant_slots.get(&id) {
                slot.refuse(refusal);
            }
        } else if reply.targets.is_empty() {
            self.remote.queued(id, scheduler);
        } else {
            let mut requirements = requirements.clone();
            match self.decode_grant(reply, now) {
                Ok(grant) => {
                    self.remote.granted(&grant);
                    // The scheduler counts it against the limits of targets.
                    for id in grant.targets() {
                        self.scheduler.pauses.record_request(&id, now);
                    }
                    if let Some(slot) = self.grant_slots.remove(&id) {
                        slot.put(grant);
                    }
                }
                Err(target) => {
                    log::info!(
                        request = id, target_id = &*target, scheduler = &**scheduler;
                        "queue: granted a target that this instance cannot use, asking again."
                    );
                    requirements.avoid.push(target);
                    self.remote.ask_again(id, requirements, now);
                }
            }
        }
    }

    /// Builds the answers to clients: copies of `base` with the names of their receivers.
    pub fn reply_datagrams(&mut self, base: &Datagram) -> Vec<(InstanceId, Datagram)> {
        let mut datagrams = Vec::new();
        for (client, replies) in self.clients.take_replies() {
            let replies: Vec<wire::Reply> =
                replies.into_iter().map(|(id, reply)| encode_reply(id, reply)).collect();
            for part in replies.chunks(MAX_MESSAGES) {
                let datagram = Datagram { replies: part.to_vec(), ..base.clone() };
                datagrams.push((InstanceId::clone(&client), datagram));
            }
        }
        datagrams
    }

    /// Builds what is sent to schedulers: copies of `base` with the names of their receivers.
    ///
    /// With `confirm` each of them is told of all requests that it has to count.
    pub fn request_datagrams(
        &mut self,
        gateway: &Gateway,
        base: &Datagram,
        confirm: bool,
        now: Instant,
    ) -> Vec<(InstanceId, Datagram)> {
        let mut outgoing = self.remote.take_outgoing(now);
        if confirm {
            for scheduler in self.remote.to_confirm(now) {
                outgoing.entry(scheduler).or_default();
            }
        }
        let observer = self.scheduler_to_ask(gateway, now);
        let closed: Vec<String> =
            self.scheduler.pauses.closed(now).map(ToString::to_string).collect();
        let mut datagrams = Vec::new();
        for (scheduler, changes) in outgoing {
            let held = confirm.then(|| wire::Held { ids: self.remote.held_by(&scheduler) });
            let (observations, costs) = if observer.as_ref() == Some(&scheduler) {
                (self.observations.take(), self.observations.take_outlays())
            } else {
                (Vec::new(), Vec::new())
            };
            let base = &Datagram { costs, ..base.clone() };
            for datagram in split_outgoing(changes, held, &observations, base, |id, r| {
                encode_ask(id, r, &closed, now)
            }) {
                datagrams.push((InstanceId::clone(&scheduler), datagram));
            }
        }
        datagrams
    }
}

/// Splits what a scheduler is sent into datagrams; the first one has what must stay together.
fn split_outgoing(
    changes: Outgoing,
    held: Option<wire::Held>,
    observations: &[Observation],
    base: &Datagram,
    encode: impl Fn(RequestNumber, &Requirements) -> wire::Ask,
) -> Vec<Datagram> {
    let asks: Vec<wire::Ask> = changes.asks.iter().map(|(id, r)| encode(*id, r)).collect();
    let rest = Datagram { costs: Vec::new(), ..base.clone() };
    let first = Datagram { started: changes.started, ended: changes.ended, held, ..base.clone() };
    let parts = asks.len().max(observations.len()).div_ceil(MAX_MESSAGES).max(1);
    let (mut asks, mut observations) =
        (asks.chunks(MAX_MESSAGES), observations.chunks(MAX_MESSAGES));
    let part = |index: usize| {
        let start = if index == 0 { &first } else { &rest };
        Datagram {
            asks: asks.next().unwrap_or_default().to_vec(),
            observations: observations.next().unwrap_or_default().to_vec(),
            ..start.clone()
        }
    };
    (0..parts).map(part).collect()
}
