//! A small fleet on loopback, a few requests, one killed instance, and a table.
//!
//! Run it with `cargo run --release --example quickstart`. Everything runs in
//! processes of its own: a stand-in of the platform, six engines, one service,
//! and three instances in three availability zones. It ends with code 0 only
//! if every request had the right outcome.

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
use request::{Ask, Seen, Want};

/// Tokens of a short prompt.
const SHORT: usize = 1_000;
/// Tokens of a long prompt.
const LONG: usize = 200_000;

/// Tokens of a prompt that needs two engines.
const GIANT: usize = 500_000;
/// A booking that must not run twice.
const VAN: &str = "van 4 on Friday";

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
    let mut rows = calm(&fleet)?;
    rows.extend(beside(&fleet)?);
    rows.push(Ask::chat("dossier for two engines", GIANT, 16).send(&fleet.instances[0])?);
    rows.extend(killed(&fleet)?);
    table::print(&rows);
    let right = rows.iter().filter(|r| r.right).count();
    println!("{right} of {} outcomes are right, in {:.1?}.", rows.len(), start.elapsed());
    Ok(right == rows.len())
}

/// One request of each kind.
fn calm(fleet: &Fleet) -> Result<Vec<Seen>, Box<dyn Error>> {
    let asks = [
        (0, Ask::chat("short chat", SHORT, 16)),
        (1, Ask::chat("streamed chat", SHORT, 64).streamed()),
        (2, Ask::service("photo check", "photo-checks/parcels/17", "photo of parcel 17")),
        (0, Ask::service("booking", "bookings/vans/4", VAN).id("order-4")),
        (1, Ask::service("same booking again", "bookings/vans/4", VAN).id("order-4")),
        (1, Ask::chat("unknown workspace", SHORT, 16).of("nobody").wants(Want::NotRun(403))),
    ];
    asks.into_iter().map(|(zone, ask)| ask.send(&fleet.instances[zone])).collect()
}

/// Short chats beside a long dossier in one availability zone.
fn beside(fleet: &Fleet) -> Result<Vec<Seen>, Box<dyn Error>> {
    let zone = &fleet.instances[2];
    let long = Ask::chat("long dossier", LONG, 16);
    let failed = |_| "a request died";
    thread::scope(|scope| {
        let dossier = scope.spawn(|| long.send(zone).map_err(|e| e.to_string()));
        let mut rows = Vec::new();
        for name in ["chat beside it, 1", "chat beside it, 2", "chat beside it, 3"] {
            rows.push(Ask::chat(name, SHORT, 16).send(zone)?);
        }
        rows.insert(0, dossier.join().map_err(failed)??);
        Ok(rows)
    })
}

/// Kills an instance in mid-stream; the caller sees that, and tries another.
fn killed(fleet: &Fleet) -> Result<Vec<Seen>, Box<dyn Error>> {
    let cut = Ask::chat("stream, instance killed", SHORT, 400).streamed().wants(Want::Broken);
    let instance = fleet.instances[1].clone();
    let open = cut.open(&instance)?;
    instance.kill()?;
    let first = open.finish();
    let other = &fleet.instances[2];
    let again = Ask::chat("same again elsewhere", SHORT, 400).streamed().send(other)?;
    let booking = Ask::service("booking after it", "bookings/vans/5", "van 5 on Monday");
    Ok(vec![first, again, booking.send(&fleet.instances[0])?])
}
