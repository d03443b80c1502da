//! Operator configuration as a YAML text.

use std::time::Duration;

use mimosapass_core::config::Config;
use xxhash_rust::xxh3::xxh3_64;

use crate::yaml;
pub use crate::yaml::Faults;

/// Longest configuration text, in bytes.
pub const LONGEST: usize = 1_900_000;
/// Time within which a change is in force wherever a path exists.
pub const IN_FORCE: Duration = Duration::from_secs(14);

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
pub fn read(text: &str) -> Result<Document, Faults> {
    if text.len() > LONGEST {
        let text = format!("the text is over {LONGEST} bytes; use labels instead of lists");
        return Err(Faults::whole(text));
    }
    let config: Config = yaml::read(text, Config::check)?;
    Ok(Document { text: text.to_owned(), digest: xxh3_64(text.as_bytes()), config })
}
