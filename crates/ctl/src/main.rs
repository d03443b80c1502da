//! Operator tool of mimosapass.
//!
//! Operators steer only by the configuration: this tool checks it, puts it in
//! force by compare-and-swap, and shows what the fleet makes of it.

mod change;
mod cli;
mod fail;
mod fleet;
mod table;
mod versions;

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;

use mimosapass_keyvalue::kv::KvClient;
use mimosapass_keyvalue::members::MembersClient;

use crate::cli::{Command, selector};
use crate::fail::Fail;

fn main() -> ExitCode {
    env_logger::init();
    match run(cli::command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fail) => {
            eprintln!("{fail}");
            ExitCode::from(fail.code())
        }
    }
}

fn run(command: Command) -> Result<(), Fail> {
    let kv = |platform: SocketAddr| KvClient::new(&platform.to_string());
    let list = |platform: SocketAddr| MembersClient::new(&platform.to_string());
    match command {
        Command::Check { file } => {
            let document = change::read(&file)?;
            let (name, size) = (file.display(), document.text.len());
            show(&format!("{name}: no faults, {size} bytes\n"));
            Ok(())
        }
        Command::Diff { platform, file } => change::diff(&kv(platform), &file),
        Command::Apply { platform, author, base, file } => {
            change::apply(&kv(platform), &file, base, &author)
        }
        Command::Get { platform, version } => versions::get(&kv(platform), version),
        Command::History { platform, last } => versions::history(&kv(platform), last),
        Command::Status { instances, json } => fleet::status(&instances.0, json),
        Command::Explain { instances, request } => fleet::explain(&instances.0, &request),
        Command::Drain { platform, author, labels } => {
            let by = selector(labels);
            change::edit(&kv(platform), &list(platform), change::drain, &by, &author)
        }
        Command::Undrain { platform, author, labels } => {
            let by = selector(labels);
            change::edit(&kv(platform), &list(platform), change::undrain, &by, &author)
        }
    }
}

/// Prints a text; a reader that went away, such as `head`, is no failure.
fn show(text: &str) {
    let mut output = std::io::stdout().lock();
    output.write_all(text.as_bytes()).and_then(|()| output.flush()).unwrap_or_default();
}
