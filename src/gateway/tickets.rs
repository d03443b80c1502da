//! Memory set aside on engines for a prompt that one engine cannot hold.
//!
//! Each reservation lapses soon unless it is renewed, so that one whose answer
//! was lost, or whose instance died, holds memory for seconds only. While the
//! request lives and its engine can be reached a thread renews; then it gives the
//! memory back.

use std::net::SocketAddr;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_core::edge::schedule::Grant;
use mimosapass_platform::order;
use mimosapass_target::http::{Connection, post};

use super::state::Gateway;

/// Life of a reservation without renewal. Memory that no request uses any more
/// has to be back within four seconds.
const HOLD: Duration = Duration::from_secs(3);
/// Time between renewals: two may fail before the memory lapses.
const RENEWAL: Duration = Duration::from_millis(900);
/// Time for one order; an engine answers within milliseconds.
const ORDER: Duration = Duration::from_millis(400);
/// Releases that are tried until one is answered; then the memory lapses.
const RELEASES: u32 = 3;
/// Stack of the thread that renews, in bytes.
const STACK: usize = 128 * 1024;

/// Reservations of one request.
#[derive(Debug, Default)]
pub struct Tickets {
    /// Name under which all of them stand; empty where there are none.
    pub name: String,
    /// Dropping it ends the renewals.
    #[expect(dead_code, reason = "its drop is its use")]
    keeper: Option<Sender<()>>,
}

/// One reservation: where, and how many tokens.
type Held = (SocketAddr, u64);

impl Tickets {
    /// Sets memory aside for the place of a request.
    ///
    /// # Errors
    ///
    /// Says which engine had none; what was set aside elsewhere is given back.
    pub fn reserve(gateway: &Gateway, grant: &Grant) -> Result<Self, String> {
        let helpers = grant.place.helpers.iter().filter(|h| h.kept_tokens > 0);
        let all: Vec<Held> = helpers.map(|h| (h.target.addr, h.kept_tokens)).collect();
        if all.is_empty() {
            return Ok(Self::default());
        }
        let name = format!("{}-{:x}-{}", gateway.name, gateway.boot, grant.id);
        for (done, (addr, tokens)) in all.iter().enumerate() {
            let result = call(*addr, &order::reserve(&name, *tokens, HOLD));
            if result != Ok(200) {
                log::info!(ticket = name, addr:% = addr, tokens, result:? = result; "ticket: no memory.");
                // The one without an answer may have been set aside as well.
                release(&name, &all[..=done]);
                return Err(format!("{addr} set no memory aside: {result:?}"));
            }
        }
        log::info!(ticket = name, engines = all.len(); "ticket: memory is set aside.");
        let (keeper, ended) = channel();
        let kept = name.clone();
        let answering = grant.place.target.addr;
        let keep = move || {
            while let Err(RecvTimeoutError::Timeout) = ended.recv_timeout(RENEWAL) {
                // The engines of the tickets see that the one that answers is gone, and
                // this instance only once its patience is over.
                if let Err(e) = Connection::open(answering, ORDER) {
                    log::warn!(ticket = kept, addr:% = answering; "ticket: not renewed, the answering engine is gone: {e}.");
                    continue;
                }
                renew(&kept, &all);
            }
            release(&kept, &all);
        };
        let builder = thread::Builder::new().name("ticket".to_owned()).stack_size(STACK);
        builder.spawn(keep).map_err(|e| format!("no thread to renew: {e}"))?;
        Ok(Self { name, keeper: Some(keeper) })
    }
}

fn renew(name: &str, all: &[Held]) {
    for (addr, tokens) in all {
        let result = call(*addr, &order::reserve(name, *tokens, HOLD));
        if result != Ok(200) {
            log::warn!(ticket = name, addr:% = addr, result:? = result; "ticket: not renewed.");
        }
    }
}

fn release(name: &str, all: &[Held]) {
    for (addr, _) in all {
        let body = order::release(name);
        let given = (0..RELEASES).any(|_| call(*addr, &body).is_ok());
        if !given {
            log::warn!(ticket = name, addr:% = addr; "ticket: not released, it lapses.");
        }
    }
}

/// Sends an order; returns the status of the answer.
fn call(addr: SocketAddr, body: &[u8]) -> Result<u16, String> {
    let end = Instant::now() + ORDER;
    let mut connection = Connection::open(addr, ORDER).map_err(|e| e.to_string())?;
    post(&mut connection, order::PATH, body, end).map_err(|broken| format!("{broken:?}"))
}
