//! The daemon: one instance of mimosapass.
//!
//! Every instance runs the same program. Its parts each have one thread; each
//! connection of a caller has one, and each attempt at a target has one.

mod background;
mod cli;
mod explain;
mod flow;
mod gateway;
mod logs;
mod metrics;
mod node;
mod serve;
mod settings;
mod status;
mod stop;
mod timer;
mod trace;

use std::error::Error;
use std::process::ExitCode;

use mimosapass_operator::yaml::Faults;

/// Exit code for faulty settings.
const FAULTY: u8 = 2;
/// Exit code for a start or a run that failed.
const FAILED: u8 = 1;

fn main() -> ExitCode {
    let command = cli::command().run();
    if !matches!(command, cli::Command::Gateway { .. }) {
        // Its standard output may carry spans of traces.
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    }
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            let faulty = e.is::<Faults>();
            // Faults name file and line, so that editors can follow them.
            eprintln!("{}{e}", if faulty { "" } else { "mimosapass: " });
            ExitCode::from(if faulty { FAULTY } else { FAILED })
        }
    }
}

fn run(command: cli::Command) -> Result<(), Box<dyn Error>> {
    match command {
        cli::Command::Serve { config } => Ok(serve::run(settings::load(&config)?)?),
        cli::Command::Gateway { config, check } => {
            let settings = gateway::settings::load(&config)?;
            if check {
                println!("{}: no faults", config.display());
                return Ok(());
            }
            logs::start()?;
            Ok(gateway::serve::run(settings, &config)?)
        }
        cli::Command::Check { file } => {
            settings::load(&file)?;
            println!("{}: no faults", file.display());
            Ok(())
        }
    }
}
