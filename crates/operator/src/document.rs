//! Operator configuration as a YAML text.

use std::time::Duration;

use mimosapass_core::config::Config;
use xxhash_rust::xxh3::xxh3_64;

use crate::yaml;
pub use crate::yaml::Faults;

/// Longest configuration text, in bytes.
pub const MAX_BYTES: usize = 1_900_000;
/// Time within which a change is in force wherever a path exists.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(14);

/// A checked configuration with its text.
#[derive(Clone, Debug)]
pub struct Document {
    /// The text as the operator wrote it.
    pub text: String,
    /// Digest of the text.
    pub digest: u64,
    /// The configuration.
    pub config: Config,
}

/// Reads and checks a configuration text.
///
/// # Errors
///
/// Lists every fault that was found.
pub fn parse(text: &str) -> Result<Document, Faults> {
    if text.len() > MAX_BYTES {
        let text = format!("the text is over {MAX_BYTES} bytes; use labels instead of lists");
        return Err(Faults::single(text));
    }
    let config: Config = yaml::parse(text, Config::check)?;
    Ok(Document { text: text.to_owned(), digest: xxh3_64(text.as_bytes()), config })
}
