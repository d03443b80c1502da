//! Command line of the operator tool.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::{Bpaf, Parser};

/// Exit codes and environment variables, shown below each help text.
const FOOTER: &str = "Exit codes:
  0  success
  1  wrong usage, or another failure, which the message describes
  2  the file has faults; each is listed with its line
  3  another change was applied first; both are shown, nothing was changed
  4  the platform or an instance did not answer; nothing was changed
  5  the answer was lost; check with `get` before retrying
  6  the request or configuration does not exist
  7  `diff` found differences

MIMOSAPASS_PLATFORM and MIMOSAPASS_INSTANCE can be set instead of --platform and
--instance. `mimosactl --bpaf-complete-style-bash` (or -zsh, -fish, -elvish)
prints shell completion.";

/// Operator tool of mimosapass: configuration, state and routing.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, footer(FOOTER))]
pub enum Command {
    /// Validates a configuration and lists every fault.
    ///
    ///
    /// Example: mimosactl check fleet.yaml
    #[bpaf(command)]
    Check {
        /// Configuration, a YAML file.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows what `apply` would change.
    ///
    ///
    /// Example: mimosactl diff --platform 127.0.0.1:7000 fleet.yaml
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        platform: SocketAddr,
        /// Configuration, a YAML file.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Applies a configuration, unless another change was applied first.
    ///
    ///
    /// Example: mimosactl apply --platform 127.0.0.1:7000 --base 7 fleet.yaml
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        platform: SocketAddr,
        #[bpaf(external)]
        author: String,
        /// Version that the change is based on; the current one if absent.
        #[bpaf(long, argument("VERSION"))]
        base: Option<u64>,
        /// Configuration, a YAML file.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints a configuration; its version and author go to standard error.
    ///
    ///
    /// Example: mimosactl get --platform 127.0.0.1:7000 > fleet.yaml
    #[bpaf(command)]
    Get {
        #[bpaf(external)]
        platform: SocketAddr,
        /// Version; the current one if absent.
        #[bpaf(long, argument("VERSION"))]
        version: Option<u64>,
    },
    /// Lists the versions and their authors, newest first.
    ///
    ///
    /// Example: mimosactl history --platform 127.0.0.1:7000 --last 5
    #[bpaf(command)]
    History {
        #[bpaf(external)]
        platform: SocketAddr,
        /// Number of versions to list.
        #[bpaf(long, argument("COUNT"), fallback(10), display_fallback)]
        last: u64,
    },
    /// Shows instances and targets as reported by the given instances.
    ///
    ///
    /// Example: mimosactl status --instance 127.0.0.1:8082,127.0.0.2:8082
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        instances: Addresses,
        /// Print JSON with one element per instance.
        #[bpaf(long)]
        json: bool,
    },
    /// Explains how a request was routed.
    ///
    ///
    /// Example: mimosactl explain --instance 127.0.0.1:8082 order-17
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        instances: Addresses,
        /// Identifier of the request.
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
    /// Drains targets with these labels by a configuration change; they get no new work.
    ///
    ///
    /// Example: mimosactl drain --platform 127.0.0.1:7000 rack=r7 zone=charguia
    #[bpaf(command)]
    Drain {
        #[bpaf(external)]
        platform: SocketAddr,
        #[bpaf(external)]
        author: String,
        #[bpaf(external)]
        labels: Vec<Label>,
    },
    /// Reverts a `drain` with the same labels.
    ///
    ///
    /// Example: mimosactl undrain --platform 127.0.0.1:7000 rack=r7 zone=charguia
    #[bpaf(command)]
    Undrain {
        #[bpaf(external)]
        platform: SocketAddr,
        #[bpaf(external)]
        author: String,
        #[bpaf(external)]
        labels: Vec<Label>,
    },
}

fn platform() -> impl Parser<SocketAddr> {
    bpaf::long("platform")
        .env("MIMOSAPASS_PLATFORM")
        .help("Address of the platform, IP:port")
        .argument::<SocketAddr>("ADDR")
}

fn author() -> impl Parser<String> {
    bpaf::long("author")
        .env("USER")
        .help("Author shown in the history")
        .argument::<String>("NAME")
        .fallback("operator".to_owned())
}

fn instances() -> impl Parser<Addresses> {
    bpaf::long("instance")
        .env("MIMOSAPASS_INSTANCE")
        .help("Operator addresses of instances, IP:port, separated by commas")
        .argument::<Addresses>("ADDRS")
}

fn labels() -> impl Parser<Vec<Label>> {
    bpaf::positional::<Label>("NAME=VALUE")
        .help("Labels, all of which a target must have")
        .some("give one or more labels, such as zone=charguia")
}

/// Addresses of instances.
#[derive(Clone, Debug)]
pub struct Addresses(pub Vec<SocketAddr>);

impl FromStr for Addresses {
    type Err = std::net::AddrParseError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.split(',').map(|addr| addr.trim().parse()).collect::<Result<_, _>>().map(Self)
    }
}

/// One label of a selector.
#[derive(Clone, Debug)]
pub struct Label(String, String);

impl FromStr for Label {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (name, value) = s.split_once('=').ok_or("write NAME=VALUE")?;
        if name.is_empty() {
            Err("the name is empty".to_owned())
        } else {
            Ok(Self(name.to_owned(), value.to_owned()))
        }
    }
}

/// Returns the selector that requires all labels.
pub fn selector(labels: Vec<Label>) -> BTreeMap<String, String> {
    labels.into_iter().map(|Label(name, value)| (name, value)).collect()
}
