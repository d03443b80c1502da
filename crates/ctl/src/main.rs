//! Operator tool of mimosapass.
//!
//! Operators control the fleet only through its configuration: this tool checks
//! it, applies it by compare-and-swap, and shows the resulting state of the fleet.

mod change;
mod cli;
mod error;
mod fleet;
mod table;
mod versions;

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;

use mimosapass_keyvalue::kv::KvClient;
use mimosapass_keyvalue::members::MembersClient;

use crate::cli::{Command, selector};
use crate::error::CommandError;

fn main() -> ExitCode {
    env_logger::init();
    match run(cli::command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(command: Command) -> Result<(), CommandError> {
    let kv = |platform: SocketAddr| KvClient::new(&platform.to_string());
    let members = |platform: SocketAddr| MembersClient::new(&platform.to_string());
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
            let labels = selector(labels);
            change::edit(&kv(platform), &members(platform), change::drain, &labels, &author)
        }
        Command::Undrain { platform, author, labels } => {
            let labels = selector(labels);
            change::edit(&kv(platform), &members(platform), change::undrain, &labels, &author)
        }
    }
}

/// Prints a text. Write errors are ignored: a reader such as `head` may close the pipe.
fn show(text: &str) {
    let mut output = std::io::stdout().lock();
    output.write_all(text.as_bytes()).and_then(|()| output.flush()).unwrap_or_default();
}
