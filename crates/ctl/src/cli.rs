//! Command line of the operator tool.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Operator tool of mimosapass: configuration, state and reasons.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub enum Command {
    /// Checks a configuration and lists every fault.
    ///
    /// Example: mimosactl check fleet.yaml
    #[bpaf(command)]
    Check {
        /// Configuration, a YAML file.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Puts a configuration in force, unless another one came first.
    ///
    /// Example: mimosactl apply --platform 127.0.0.1:7000 fleet.yaml
    #[bpaf(command)]
    Apply {
        /// Address of the platform.
        #[bpaf(long, env("MIMOSAPASS_PLATFORM"), argument("ADDR"))]
        platform: SocketAddr,
        /// Name that the history shows.
        #[bpaf(long, env("USER"), argument("NAME"), fallback("operator".to_owned()))]
        author: String,
        /// Version that the change was made from; the present one if absent.
        #[bpaf(long, argument("VERSION"))]
        base: Option<u64>,
        /// Configuration, a YAML file.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints the configuration in the key-value service.
    ///
    /// Example: mimosactl get --platform 127.0.0.1:7000
    #[bpaf(command)]
    Get {
        /// Address of the platform.
        #[bpaf(long, env("MIMOSAPASS_PLATFORM"), argument("ADDR"))]
        platform: SocketAddr,
    },
    /// Prints what an instance knows of itself, its peers and its targets.
    ///
    /// Example: mimosactl status --instance 127.0.0.1:8082
    #[bpaf(command)]
    Status {
        /// Address of an instance for operators.
        #[bpaf(long, env("MIMOSAPASS_INSTANCE"), argument("ADDR"))]
        instance: SocketAddr,
    },
    /// Tells why a request went where it went.
    ///
    /// Example: mimosactl explain --instance 127.0.0.1:8082 order-17
    #[bpaf(command)]
    Explain {
        /// Address of the instance that took the request.
        #[bpaf(long, env("MIMOSAPASS_INSTANCE"), argument("ADDR"))]
        instance: SocketAddr,
        /// Identifier of the request.
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
}
