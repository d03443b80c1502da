//! The way of one request: route, place, send, answer.

use std::time::{Duration, Instant};

use mimosapass_caller::exchange::Exchange;
use mimosapass_core::edge::outcomes::Outcome;
use mimosapass_core::edge::wait::patience;
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::ids::TargetId;
use mimosapass_platform::header;
use mimosapass_target::http::{Connection, Reply};

use super::attempt::{self, Sent};
use super::entry::{self, Request};
use super::metrics::band;
use super::relay::{self, End, Progress};
use super::state::Gateway;
use super::tickets::Tickets;
use super::turn::{self, Grant};

/// Sends that reached no target and are tried again elsewhere, at most.
const MOST_UNSENT: u32 = 4;
/// Part of a caller's patience after which a silent target's work is asked for
/// elsewhere, so that the other one can still answer before the caller leaves.
const SILENCE: f64 = 0.7;
/// Time in which a target of a service answers, in its promises.
const SERVICE_SILENCE: u32 = 2;

/// How a request ended, for its log line.
#[derive(Debug)]
struct Ended {
    outcome: &'static str,
    why: String,
}

/// What is known of a request on its way.
#[derive(Debug, Default)]
struct Way {
    /// Sends that reached a target.
    sends: u32,
    /// Sends that reached none.
    unsent: u32,
    /// Whether the request may have run.
    ran: bool,
    /// Last whole answer of a target.
    kept: Option<(Reply, Vec<u8>)>,
    /// What the caller has of a stream.
    progress: Progress,
    /// Why the last send failed.
    why: String,
    /// Target of the last send.
    target: Option<TargetId>,
}

/// Serves one request; it answers on the exchange.
pub fn handle(gateway: &Gateway, exchange: &mut Exchange<'_>) {
    let arrived = Instant::now();
    let plan = gateway.plan();
    let mut request = match entry::read(&plan, exchange, arrived) {
        Ok(request) => request,
        Err(failure) => {
            let id = exchange.head.header(header::ATTEMPT).unwrap_or_default();
            let kind = failure.kind;
            log::info!(id, version = plan.version, kind:? = kind; "request: refused, {failure}.");
            fail(exchange, &failure);
            return;
        }
    };
    exchange.end_by(request.end);
    let mut way = Way::default();
    gateway.state().repeats.entry(request.need.service.clone()).or_default().request(arrived);
    let ended = serve(gateway, exchange, &mut request, &mut way);
    let pause_ms = way.progress.pause.as_millis() as u64;
    let label = band(request.need.prompt);
    gateway.metrics.outcomes.with_label_values(&[label, ended.outcome]).inc();
    let took_ms = arrived.elapsed().as_millis() as u64;
    let target_id = way.target.as_deref().unwrap_or("none");
    let level = match ended.outcome {
        "served" | "caller_gone" => log::Level::Debug,
        _ => log::Level::Info,
    };
    log::log!(
        level,
        id = request.attempt.as_str(),
        route = &*request.route.name,
        prompt = request.need.prompt,
        sends = way.sends,
        target_id,
        took_ms,
        pause_ms,
        version = plan.version;
        "request: {}, {}.", ended.outcome, ended.why
    );
}

fn serve(
    gateway: &Gateway,
    exchange: &mut Exchange<'_>,
    request: &mut Request,
    way: &mut Way,
) -> Ended {
    loop {
        if way.sends + way.unsent > 0 && !may_repeat(gateway, request, way) {
            return give_up(exchange, way);
        }
        let begun = Instant::now();
        let grant = match turn::wait(gateway, &request.need, || exchange.caller_gone()) {
            Ok(grant) => grant,
            Err(failure) if way.sends > 0 => {
                way.why = format!("{}; then {failure}", way.why);
                return give_up(exchange, way);
            }
            Err(failure) => return refuse(exchange, &failure),
        };
        let label = band(request.need.prompt);
        gateway.metrics.waited.with_label_values(&[label]).observe(begun.elapsed().as_secs_f64());
        let targets = grant.targets();
        way.target = targets.first().cloned();
        log::debug!(
            id = request.attempt.as_str(),
            prompt = request.need.prompt,
            targets = targets.join(","),
            waited_ms = (grant.at - request.need.waiting.since).as_millis() as u64,
            predicted_ms = grant.place.first.as_millis() as u64,
            harm = grant.place.harm;
            "request: placed."
        );
        let ended = step(gateway, exchange, request, way, &grant, &targets);
        gateway.finish(&targets, grant.id, Instant::now());
        if let Some(ended) = ended {
            return ended;
        }
        request.need.avoid.push(TargetId::clone(&grant.place.target.id));
    }
}

/// Sends the request once; `None` when it may be worth another send.
fn step(
    gateway: &Gateway,
    exchange: &mut Exchange<'_>,
    request: &mut Request,
    way: &mut Way,
    grant: &Grant,
    targets: &[TargetId],
) -> Option<Ended> {
    let tickets = match Tickets::reserve(gateway, grant) {
        Ok(tickets) => tickets,
        Err(why) => {
            way.unsent += 1;
            way.why = why;
            return None;
        }
    };
    let silence = silence(request, way);
    let until = silence.map_or(request.end, |silence| Instant::now() + silence);
    match attempt::send(gateway, exchange, request, grant, &tickets, until) {
        Sent::Whole(reply, body) => {
            way.sends += 1;
            way.ran = true;
            if reply.status >= 500 && request.repeatable() {
                way.why = format!("status {}", reply.status);
                way.kept = Some((reply, body));
                return None;
            }
            Some(pass_whole(exchange, &reply, &body))
        }
        Sent::Stream(connection, reply) => {
            way.ran = true;
            stream(gateway, exchange, request, way, grant, targets, connection, &reply)
        }
        Sent::Unsent(why) => {
            way.unsent += 1;
            way.why = why;
            gateway.idle.forget(grant.place.target.addr);
            None
        }
        Sent::NotRun(why) => {
            way.sends += 1;
            way.why = why;
            None
        }
        Sent::Lost(why) => {
            way.sends += 1;
            way.ran = true;
            way.why = why;
            None
        }
        Sent::CallerGone => Some(Ended { outcome: "caller_gone", why: String::new() }),
        Sent::Late => {
            way.ran = true;
            way.why = "its time was over at the target".to_owned();
            Some(late(exchange, way))
        }
    }
}

/// Returns for how long the target may be silent, where another one can be asked.
fn silence(request: &Request, way: &Way) -> Option<Duration> {
    let again = request.repeatable() && way.sends + 1 < request.route.attempts;
    let route = &request.route;
    let time = if route.streaming {
        patience(route.goal, route.gap).mul_f64(SILENCE)
    } else {
        route.goal * SERVICE_SILENCE
    };
    again.then_some(time)
}

fn stream(
    gateway: &Gateway,
    exchange: &mut Exchange<'_>,
    request: &mut Request,
    way: &mut Way,
    grant: &Grant,
    targets: &[TargetId],
    mut connection: Connection,
    reply: &Reply,
) -> Option<Ended> {
    let begun = Instant::now();
    let band = band(request.need.prompt);
    let since = request.need.waiting.since;
    let first = || {
        let now = Instant::now();
        gateway.first_event(&grant.place, grant.id, now);
        gateway.metrics.first.with_label_values(&[band]).observe((now - since).as_secs_f64());
        log::debug!(
            id = request.attempt.as_str(),
            prompt = request.need.prompt,
            parts = targets.len(),
            first_ms = (now - since).as_millis() as u64,
            waited_ms = (grant.at - since).as_millis() as u64,
            targets = targets.join(","),
            predicted_ms = grant.place.first.as_millis() as u64,
            head_ms = (now - begun).as_millis() as u64;
            "request: first event."
        );
    };
    let silence = silence(request, way);
    let progress = &mut way.progress;
    let end = relay::run(exchange, &mut connection, reply, progress, silence, request.end, first);
    let id = &grant.place.target.id;
    way.sends += 1;
    match end {
        End::Complete => {
            exchange.finish();
            gateway.note(id, Outcome::Answered, Instant::now());
            attempt::keep(gateway, connection, reply);
            Some(Ended { outcome: "served", why: format!("{} pieces", progress.pieces) })
        }
        End::CallerGone => Some(Ended { outcome: "caller_gone", why: String::new() }),
        End::Late => {
            way.why = "its time was over in mid-stream".to_owned();
            Some(late(exchange, way))
        }
        End::Cut(why) => {
            connection.abandon();
            gateway.note(id, Outcome::Silent, Instant::now());
            way.why = why.to_owned();
            request.last_event = progress.last_event.clone().or(request.last_event.take());
            None
        }
    }
}

/// Returns whether a request may be sent once more.
fn may_repeat(gateway: &Gateway, request: &Request, way: &mut Way) -> bool {
    if way.unsent >= MOST_UNSENT || way.sends >= request.route.attempts {
        return false;
    }
    if way.ran && !request.repeatable() {
        return false;
    }
    if way.progress.begun && way.progress.last_event.is_none() {
        return false;
    }
    if way.sends == 0 {
        return true;
    }
    let now = Instant::now();
    let mut state = gateway.state();
    let instances = state.instances();
    let repeats = state.repeats.entry(request.need.service.clone()).or_default();
    let allowed = repeats.take(&gateway.settings.repeats, instances, now);
    if !allowed {
        way.why = format!("{}; no repeat is left in the window", way.why);
    }
    allowed
}

fn pass_whole(exchange: &mut Exchange<'_>, reply: &Reply, body: &[u8]) -> Ended {
    let outcome = if reply.status < 500 { "served" } else { "target_failed" };
    let sent = exchange.relay(reply.status, &attempt::relayed(reply), &[], body);
    if attempt::told(sent) {
        Ended { outcome, why: format!("status {}", reply.status) }
    } else {
        Ended { outcome: "caller_gone", why: String::new() }
    }
}

/// Answers with the truest failure that is left.
fn give_up(exchange: &mut Exchange<'_>, way: &mut Way) -> Ended {
    if way.progress.begun {
        // The connection is broken off, so that the stream does not look whole.
        return Ended { outcome: "cut", why: way.why.clone() };
    }
    if let Some((reply, body)) = way.kept.take() {
        return pass_whole(exchange, &reply, &body);
    }
    let kind = if way.ran { Kind::TargetFailed } else { Kind::Refused };
    refuse(exchange, &Failure::new(kind, way.why.clone()))
}

fn late(exchange: &mut Exchange<'_>, way: &Way) -> Ended {
    if way.progress.begun {
        return Ended { outcome: "cut", why: way.why.clone() };
    }
    refuse(exchange, &Failure::new(Kind::RunTimeout, way.why.clone()))
}

fn refuse(exchange: &mut Exchange<'_>, failure: &Failure) -> Ended {
    if failure.kind == Kind::CallerGone {
        return Ended { outcome: "caller_gone", why: String::new() };
    }
    fail(exchange, failure);
    Ended { outcome: failure.kind.row().code, why: failure.to_string() }
}

/// Answers with a failure of the gateway's own.
fn fail(exchange: &mut Exchange<'_>, failure: &Failure) {
    let row = failure.kind.row();
    let mut headers = vec![("content-type", "text/plain".to_owned())];
    if let (true, Some(after)) = (row.not_run, failure.retry_after()) {
        headers.push((header::RETRY_AFTER, header::retry_after(after)));
    }
    if let Err(e) = exchange.answer(row.status, &headers, failure.detail.as_bytes()) {
        log::debug!("request: the caller took no answer: {e}.");
    }
}
