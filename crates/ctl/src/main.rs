//! Operator tool of mimosapass.

mod cli;

use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use mimosapass_operator::document::{self, Document, Faults};
use mimosapass_operator::store::{self, StoreError};
use mimosapass_platform::kv::Kv;

/// Exit code for a failure.
const FAILED: u8 = 1;
/// Exit code for faults in a file.
const FAULTY: u8 = 2;
/// Exit code for a race lost to another operator.
const LOST: u8 = 3;

fn main() -> ExitCode {
    env_logger::init();
    match run(cli::command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("mimosactl: {e}");
            ExitCode::from(code(&*e))
        }
    }
}

fn code(error: &(dyn Error + 'static)) -> u8 {
    if error.is::<Faults>() {
        return FAULTY;
    }
    match error.downcast_ref() {
        Some(StoreError::Faults(_)) => FAULTY,
        Some(StoreError::Lost(_)) => LOST,
        _ => FAILED,
    }
}

fn run(command: cli::Command) -> Result<(), Box<dyn Error>> {
    match command {
        cli::Command::Check { file } => {
            read(&file)?;
            println!("{}: no faults", file.display());
            Ok(())
        }
        cli::Command::Apply { platform, author, base, file } => {
            let document = read(&file)?;
            apply(&Kv::new(&platform.to_string()), &document, base, &author)
        }
        cli::Command::Get { platform } => get(&Kv::new(&platform.to_string())),
        cli::Command::Status { instance } => show(instance, "status"),
        cli::Command::Explain { instance, request } => {
            show(instance, &format!("explain/{request}"))
        }
    }
}

fn read(file: &Path) -> Result<Document, Box<dyn Error>> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(document::read(&text)?)
}

fn apply(
    kv: &Kv,
    document: &Document,
    base: Option<u64>,
    author: &str,
) -> Result<(), Box<dyn Error>> {
    let stored = store::head(kv)?;
    if let Some(base) = base
        && base != stored.record.version
    {
        return Err(StoreError::Lost(stored.record.version).into());
    }
    let token = rand::random();
    let record = store::apply(kv, document, &stored, author, token)?;
    println!("version {} is accepted", record.version);
    Ok(())
}

fn get(kv: &Kv) -> Result<(), Box<dyn Error>> {
    let stored = store::head(kv)?;
    if stored.record.version == 0 {
        return Err("there is no configuration yet; use `apply`".into());
    }
    println!("# version {} by {}", stored.record.version, stored.record.author);
    print!("{}", store::text(kv, &stored.record)?.text);
    Ok(())
}

fn show(instance: SocketAddr, page: &str) -> Result<(), Box<dyn Error>> {
    let mut response = ureq::get(format!("http://{instance}/{page}")).call()?;
    println!("{}", response.body_mut().read_to_string()?);
    Ok(())
}
