//! Configuration document: YAML text, digest and parsed configuration.

use std::time::Duration;

use mimosapass_core::config::Config;
use xxhash_rust::xxh3::xxh3_64;

use crate::yaml;
pub use crate::yaml::Faults;

/// Maximum length of a configuration text.
pub const MAX_BYTES: usize = 1_900_000;
/// Time within which a change takes effect on every reachable instance.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(14);

/// A validated configuration with its source text.
#[derive(Clone, Debug)]
pub struct Document {
    /// The text exactly as the operator wrote it.
    pub text: String,
    /// XXH3 digest of the text.
    pub digest: u64,
    /// The parsed configuration.
    pub config: Config,
}

/// Parses and validates a configuration text.
///
/// # Errors
///
/// Lists every fault found in the text.
pub fn parse(text: &str) -> Result<Document, Faults> {
    if text.len() > MAX_BYTES {
        let text =
            format!("the configuration exceeds {MAX_BYTES} bytes; use labels instead of lists");
        return Err(Faults::single(text));
    }
    let config: Config = yaml::parse(text, Config::check)?;
    Ok(Document { text: text.to_owned(), digest: xxh3_64(text.as_bytes()), config })
}
