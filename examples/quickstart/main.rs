//! Sends a few requests to a fleet on loopback and prints their outcomes.
//!
//! Run it with `cargo run --release --example quickstart`. It starts
//! stand-ins of the platform, six engines and one service, and three instances in
//! three availability zones, each as a process. One instance is killed during a
//! stream. The exit code is 0 only if every request had the expected outcome.

mod fleet;
mod process;
mod request;
mod table;

use std::error::Error;
use std::process::ExitCode;
use std::thread;
use std::time::Instant;

use fleet::Fleet;
use process::Processes;
use request::{Expected, Outcome, Request};

/// Tokens of a short prompt.
const SHORT_TOKENS: usize = 1_000;
/// Tokens of a long prompt.
const LONG_TOKENS: usize = 200_000;
/// Tokens of a prompt that needs the memory of two engines.
const GROUP_TOKENS: usize = 500_000;
/// Body of a booking that is sent twice and must run once.
const BOOKING: &str = "van 4 on Friday";

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("quickstart: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<bool, Box<dyn Error>> {
    let processes = Processes::new()?;
    let start = Instant::now();
    let fleet = Fleet::start(processes)?;
    println!("fleet: 3 instances, 6 engines and 1 service are up.");
    let mut rows = send_each_kind(&fleet)?;
    rows.extend(send_beside_long(&fleet)?);
    rows.push(
        Request::chat("dossier for two engines", GROUP_TOKENS, 16).send(&fleet.instances[0])?,
    );
    rows.extend(kill_instance(&fleet)?);
    table::print(&rows);
    let expected = rows.iter().filter(|r| r.as_expected).count();
    println!("{expected} of {} outcomes are right, in {:.1?}.", rows.len(), start.elapsed());
    Ok(expected == rows.len())
}

/// Sends one request of each kind.
fn send_each_kind(fleet: &Fleet) -> Result<Vec<Outcome>, Box<dyn Error>> {
    let requests = [
        (0, Request::chat("short chat", SHORT_TOKENS, 16)),
        (1, Request::chat("streamed chat", SHORT_TOKENS, 64).streamed()),
        (2, Request::service("photo check", "photo-checks/parcels/17", "photo of parcel 17")),
        (0, Request::service("booking", "bookings/vans/4", BOOKING).id("order-4")),
        (1, Request::service("same booking again", "bookings/vans/4", BOOKING).id("order-4")),
        (
            1,
            Request::chat("unknown workspace", SHORT_TOKENS, 16)
                .workspace("nobody")
                .expect(Expected::NotRun(403)),
        ),
    ];
    requests.into_iter().map(|(zone, request)| request.send(&fleet.instances[zone])).collect()
}

/// Sends short chats while one instance serves a long prompt.
fn send_beside_long(fleet: &Fleet) -> Result<Vec<Outcome>, Box<dyn Error>> {
    let instance = &fleet.instances[2];
    let long = Request::chat("long dossier", LONG_TOKENS, 16);
    let panicked = |_| "a request thread panicked";
    thread::scope(|scope| {
        let dossier = scope.spawn(|| long.send(instance).map_err(|e| e.to_string()));
        let mut rows = Vec::new();
        for name in ["chat beside it, 1", "chat beside it, 2", "chat beside it, 3"] {
            rows.push(Request::chat(name, SHORT_TOKENS, 16).send(instance)?);
        }
        rows.insert(0, dossier.join().map_err(panicked)??);
        Ok(rows)
    })
}

/// Kills an instance during a stream and retries the request on another instance.
fn kill_instance(fleet: &Fleet) -> Result<Vec<Outcome>, Box<dyn Error>> {
    let request = Request::chat("stream, instance killed", SHORT_TOKENS, 400)
        .streamed()
        .expect(Expected::CutOff);
    let instance = fleet.instances[1].clone();
    let open = request.open(&instance)?;
    instance.kill()?;
    let cut = open.finish();
    let other = &fleet.instances[2];
    let retried =
        Request::chat("same again elsewhere", SHORT_TOKENS, 400).streamed().send(other)?;
    let booking = Request::service("booking after it", "bookings/vans/5", "van 5 on Monday");
    Ok(vec![cut, retried, booking.send(&fleet.instances[0])?])
}
