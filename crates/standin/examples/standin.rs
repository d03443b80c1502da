//! Runs one stand-in as a program: `standin engine|service|platform ADDR`.
//!
//! It prints the bound address on its first line and runs until its standard
//! input ends, so that it ends with the program that started it.

use std::error::Error;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::time::Duration;

use mimosapass_standin::engine::{Engine, Settings};
use mimosapass_standin::platform::Platform;
use mimosapass_standin::service::Service;

fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<String> = std::env::args().collect();
    let [_, kind, addr, rest @ ..] = args.as_slice() else {
        return Err("usage: standin engine|service|platform ADDR [SPEED PACE_MS CAPACITY]".into());
    };
    let addr: SocketAddr = addr.parse()?;
    let bound = match kind.as_str() {
        "engine" => Engine::start(addr, settings(rest)?)?.addr(),
        "service" => Service::start(addr)?.addr(),
        "platform" => Platform::start(addr)?.addr(),
        other => return Err(format!("unknown stand-in `{other}`").into()),
    };
    println!("{bound}");
    io::stdin().read_to_end(&mut Vec::new())?;
    Ok(())
}

fn settings(rest: &[String]) -> Result<Settings, Box<dyn Error>> {
    let mut settings = Settings::default();
    if let [speed, pace, capacity, models @ ..] = rest {
        settings.prefill_rate = speed.parse()?;
        settings.token_interval = Duration::from_millis(pace.parse()?);
        settings.capacity = capacity.parse()?;
        settings.models = models.to_vec();
    }
    settings.boot = u64::from(std::process::id());
    Ok(settings)
}
