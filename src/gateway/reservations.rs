//! Memory reservations on engines for a prompt that one engine cannot hold.
//!
//! A reservation expires within seconds unless it is renewed, so that memory does not
//! stay reserved when the answer was lost or the instance failed. A thread renews the
//! reservations while the request runs and its engine accepts connections, and
//! releases them at the end of the request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_core::edge::fleet::Target;
use mimosapass_core::edge::outcomes::Outcome;
use mimosapass_core::edge::schedule::Grant;
use mimosapass_core::ids::TargetId;
use mimosapass_platform::{header, reservation};
use mimosapass_target::http::{Connection, ReadError, post};

use super::prepared::NotStarted;
use super::state::Gateway;

/// Unused memory has to be free again within four seconds.
const TTL: Duration = Duration::from_secs(3);
/// Allows two failed renewals before a reservation expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);
/// Engines answer these calls within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Attempts to release; after them the reservation is left to expire.
const RELEASE_ATTEMPTS: u32 = 3;
/// Status of a target that is not the expected one.
pub const MISDIRECTED: u16 = 421;
/// Stack size of the thread that renews.
const STACK_BYTES: usize = 128 * 1024;

/// Reservations of one request; dropping them releases the memory.
#[derive(Debug, Default)]
pub struct Reservations {
    /// Identifier that all of them share; empty when there are none.
    pub id: String,
    /// Set when one of the engines has restarted, which ends the prompt's memory there.
    lost: Arc<AtomicBool>,
    #[expect(dead_code, reason = "dropping it stops the renewals")]
    stop_renewals: Option<Sender<()>>,
}

/// An engine and the number of tokens reserved there.
type EngineTokens = (Arc<Target>, u64);

impl Reservations {
    /// Reserves memory on the helpers of a granted placement.
    ///
    /// # Errors
    ///
    /// Fails when one engine refuses or does not answer; the reservations made so far are
    /// released.
    pub fn reserve(gateway: &Arc<Gateway>, grant: &Grant) -> Result<Self, NotStarted> {
        let helpers = grant.placement.helpers.iter().filter(|h| h.kept_tokens > 0);
        let engines: Vec<EngineTokens> =
            helpers.map(|h| (Arc::clone(&h.target), h.kept_tokens)).collect();
        if engines.is_empty() {
            return Ok(Self::default());
        }
        let id = format!("{}-{:x}-{}", gateway.name, gateway.boot, grant.id);
        for (done, (engine, tokens)) in engines.iter().enumerate() {
            let addr = engine.addr;
            let result = call(gateway, &id, engine, &reservation::reserve_body(&id, *tokens, TTL));
            if result != Ok(200) {
                log::info!(
                    ticket = id, addr:% = addr, tokens, result:? = result;
                    "reservation: refused by an engine."
                );
                // The engine may have reserved the memory although the call failed.
                release_later(gateway, &id, &engines[..=done]);
                if result.is_err() {
                    gateway.record_outcome(&engine.id, Outcome::Silent, Instant::now());
                }
                return Err(NotStarted {
                    engine: Some(TargetId::clone(&engine.id)),
                    error: format!("{addr} did not reserve memory for {tokens} tokens: {result:?}"),
                });
            }
        }
        log::info!(ticket = id, engines = engines.len(); "reservation: made on all engines.");
        let (stop_renewals, stopped) = channel();
        let renewed = id.clone();
        let answering = Arc::clone(&grant.placement.target);
        let lost = Arc::new(AtomicBool::new(false));
        let gateway = Arc::clone(gateway);
        let is_lost = Arc::clone(&lost);
        let renewal = move || {
            let mut next = Instant::now() + RENEW_INTERVAL;
            let left = |next: Instant| next.saturating_duration_since(Instant::now());
            while let Err(RecvTimeoutError::Timeout) = stopped.recv_timeout(left(next)) {
                next += RENEW_INTERVAL;
                // Engines with reservations detect the failure of the answering engine at
                // once, this instance only after the limit on its silence. Without this
                // check it would renew until then.
                if let Err(e) = Connection::open(answering.addr, CALL_TIMEOUT) {
                    log::warn!(
                        ticket = renewed, addr:% = answering.addr;
                        "reservation: not renewed, the answering engine is unreachable: {e}."
                    );
                    continue;
                }
                // The answering engine holds no reservation; the call shows whether it is the same.
                let answer =
                    call(&gateway, &renewed, &answering, &reservation::release_body(&renewed));
                if answer == Ok(MISDIRECTED) || !renew(&gateway, &renewed, &engines) {
                    log::warn!(ticket = renewed; "reservation: given up, an engine has restarted.");
                    is_lost.store(true, Ordering::SeqCst);
                    break;
                }
            }
            release(&gateway, &renewed, &engines);
        };
        let builder = thread::Builder::new().name("ticket".to_owned()).stack_size(STACK_BYTES);
        builder.spawn(renewal).map_err(|e| format!("cannot start the renewal thread: {e}"))?;
        Ok(Self { id, lost, stop_renewals: Some(stop_renewals) })
    }

    /// Returns whether an engine has restarted, so that the request cannot be answered.
    pub fn is_lost(&self) -> bool {
        self.lost.load(Ordering::SeqCst)
    }
}

/// Renews the reservations on all engines at once: one that is silent must not delay the others.
///
/// Returns whether all of them are still the same engines, as far as they answered.
fn renew(gateway: &Gateway, id: &str, engines: &[EngineTokens]) -> bool {
    let restarted = AtomicBool::new(false);
    thread::scope(|scope| {
        for engine in engines {
            let builder = thread::Builder::new().name("renew".to_owned()).stack_size(STACK_BYTES);
            let restarted = &restarted;
            let renewal = move || {
                if renew_one(gateway, id, engine) == Ok(MISDIRECTED) {
                    restarted.store(true, Ordering::SeqCst);
                }
            };
            if let Err(e) = builder.spawn_scoped(scope, renewal) {
                log::error!(ticket = id; "reservation: cannot start a thread for a renewal: {e}.");
            }
        }
    });
    !restarted.into_inner()
}

fn renew_one(gateway: &Gateway, id: &str, (engine, tokens): &EngineTokens) -> Result<u16, String> {
    let result = call(gateway, id, engine, &reservation::reserve_body(id, *tokens, TTL));
    if result != Ok(200) {
        log::warn!(
            ticket = id, addr:% = engine.addr, result:? = result;
            "reservation: renewal failed."
        );
    }
    result
}

/// Releases reservations on a thread of their own: silent engines must not delay the request.
fn release_later(gateway: &Arc<Gateway>, id: &str, engines: &[EngineTokens]) {
    let (gateway, ticket, engines) = (Arc::clone(gateway), id.to_owned(), engines.to_vec());
    let builder = thread::Builder::new().name("ticket".to_owned()).stack_size(STACK_BYTES);
    if let Err(e) = builder.spawn(move || release(&gateway, &ticket, &engines)) {
        log::error!(ticket = id; "reservation: left to expire, cannot start a thread: {e}.");
    }
}

fn release(gateway: &Gateway, id: &str, engines: &[EngineTokens]) {
    for (engine, _) in engines {
        let body = reservation::release_body(id);
        let released = (0..RELEASE_ATTEMPTS).any(|_| call(gateway, id, engine, &body).is_ok());
        if !released {
            log::warn!(
                ticket = id, addr:% = engine.addr;
                "reservation: release unanswered {RELEASE_ATTEMPTS} times, left to expire."
            );
        }
    }
}

/// Sends a request for the reservation `id`; returns the status of the response.
fn call(gateway: &Gateway, id: &str, engine: &Target, body: &[u8]) -> Result<u16, String> {
    let end = Instant::now() + CALL_TIMEOUT;
    let mut connection = Connection::open(engine.addr, CALL_TIMEOUT).map_err(|e| e.to_string())?;
    let headers = [(header::EXPECTED_TARGET, &*engine.id)];
    let response = post(&mut connection, reservation::PATH, &headers, body, end);
    let response = response.map_err(|e| {
        if let ReadError::Malformed(defect) = e {
            gateway.record_malformed(id, &engine.id, defect);
        }
        e.to_string()
    })?;
    gateway.read_notices(engine, &response);
    gateway.read_limit(engine, &response, None);
    Ok(response.status)
}
