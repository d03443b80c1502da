//! Command line of the server program.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Serving layer for language-model prompts of very different lengths.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub enum Command {
    /// Serves callers until it gets SIGTERM, then completes running requests and exits.
    ///
    ///
    /// Example: mimosapass serve --config instance.yaml
    #[bpaf(command)]
    Serve {
        /// Settings of this instance, a YAML file.
        #[bpaf(long, argument("FILE"))]
        config: PathBuf,
    },
    /// Serves the routes of a platform's operator until it gets SIGTERM.
    ///
    ///
    /// Example: mimosapass gateway --config gateway.yaml
    #[bpaf(command)]
    Gateway {
        /// Settings of this gateway, a YAML file.
        #[bpaf(long, argument("FILE"))]
        config: PathBuf,
        /// `true` if no instance of the fleet ran before; it overrides `repeats.first_start`.
        ///
        ///
        /// Any other text, also none, means false: this instance retries nothing until what
        /// a former process may have sent counts no longer.
        #[bpaf(long, argument("TEXT"), optional)]
        first_start: Option<String>,
        /// Only checks the settings and lists every fault.
        #[bpaf(long)]
        check: bool,
    },
    /// Checks a settings file and lists every fault.
    ///
    ///
    /// Example: mimosapass check instance.yaml
    #[bpaf(command)]
    Check {
        /// Settings of an instance, a YAML file.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}
