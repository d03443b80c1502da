//! Operator configuration as a YAML text.

use std::fmt;
use std::time::Duration;

use mimosapass_core::config::{Config, Fault};
use xxhash_rust::xxh3::xxh3_64;

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

/// Every fault found in a text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            let end = if i == 0 { "" } else { "\n" };
            write!(f, "{end}{}: {}", fault.path, fault.text)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Reads and checks a configuration text.
///
/// # Errors
///
/// Lists every fault that was found.
pub fn read(text: &str) -> Result<Document, Faults> {
    if text.len() > LONGEST {
        let text = format!("the text is over {LONGEST} bytes; use labels instead of lists");
        return Err(Faults(vec![Fault { path: "whole text".to_owned(), text }]));
    }
    let config: Config = serde_saphyr::from_str(text).map_err(|e| {
        let path = e.location().map_or_else(String::new, |l| format!("line {}", l.line()));
        Faults(vec![Fault { path, text: e.to_string() }])
    })?;
    let faults = config.check();
    if faults.is_empty() {
        Ok(Document { text: text.to_owned(), digest: xxh3_64(text.as_bytes()), config })
    } else {
        Err(Faults(faults))
    }
}
