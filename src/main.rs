//! Server program: one instance or one gateway.
//!
//! All instances run the same program. Each background task, each connection of
//! a caller and each attempt at a target has a thread of its own.

mod allocator;
mod background;
mod cli;
mod explain;
mod gateway;
mod held_bytes;
mod logs;
mod metrics;
mod node;
mod request;
mod serve;
mod settings;
mod settings_file;
mod status;
mod stop;
mod timer;
mod trace;

use std::error::Error;
use std::process::ExitCode;

use mimosapass_operator::yaml::{Faults, Loaded};

use settings_file::log_unset;

/// Exit code for invalid settings.
const INVALID_SETTINGS: u8 = 2;
/// Exit code for any other error at start or run time.
const FAILED: u8 = 1;

fn main() -> ExitCode {
    if !allocator::return_large_buffers() {
        eprintln!("mimosapass: the allocator keeps large buffers, so that more memory is used.");
    }
    let command = cli::command().run();
    if !matches!(command, cli::Command::Gateway { .. }) {
        // Logs go to standard error: the standard output of `serve` may carry trace spans.
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    }
    let result = run(command);
    // A thread of its own writes the lines of the gateway.
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            let invalid = e.is::<Faults>();
            // Each fault starts with file and line, which editors can jump to.
            eprintln!("{}{e}", if invalid { "" } else { "mimosapass: " });
            ExitCode::from(if invalid { INVALID_SETTINGS } else { FAILED })
        }
    }
}

fn run(command: cli::Command) -> Result<(), Box<dyn Error>> {
    match command {
        cli::Command::Serve { config } => {
            let Loaded { value, unset } = settings::load(&config)?;
            log_unset(&unset);
            Ok(serve::run(value, &config)?)
        }
        cli::Command::Gateway { config, first_start, check } => {
            let Loaded { value: mut settings, unset } = gateway::settings::load(&config)?;
            if check {
                println!("{}: no faults", config.display());
                return Ok(());
            }
            logs::start()?;
            log_unset(&unset);
            if let Some(text) = first_start {
                if !matches!(text.as_str(), "true" | "false") {
                    log::warn!(text = text.as_str(); "gateway: --first-start counts as false.");
                }
                settings.first_start = text == "true";
            }
            Ok(gateway::serve::run(settings, &config)?)
        }
        cli::Command::Check { file } => {
            settings::load(&file)?;
            println!("{}: no faults", file.display());
            Ok(())
        }
    }
}
