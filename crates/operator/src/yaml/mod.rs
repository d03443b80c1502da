//! Reads a YAML document as a whole: every fault at once, each with its line.
//!
//! A parser that stops at the first fault makes an operator run it many times.
//! Here the text becomes a tree that knows its lines; reading the tree into a
//! type goes on behind a fault with a placeholder, and the checks of the type
//! itself follow on what was read.

mod access;
mod node;
mod read;
mod tree;

use std::fmt;
use std::path::Path;

use mimosapass_core::config::Fault;
use serde::de::DeserializeOwned;

pub use tree::{Node, Tree};

/// One fault in a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LocatedFault {
    /// Line, from 1.
    pub line: usize,
    /// Where it stands, such as `classes[2].select`; empty for the whole text.
    pub path: String,
    /// What is wrong and what to write instead.
    pub text: String,
}

/// Every fault found in a document, in the order of lines.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Name of the file; empty where the text came from elsewhere.
    pub file: String,
    /// The faults.
    pub list: Vec<LocatedFault>,
}

impl Faults {
    /// States the file in which the faults were found.
    #[must_use]
    pub fn in_file(mut self, file: impl Into<String>) -> Self {
        self.file = file.into();
        self
    }

    /// Builds the list of one fault that concerns the whole text.
    pub fn single(text: impl Into<String>) -> Self {
        let fault = LocatedFault { line: 1, path: String::new(), text: text.into() };
        Self { file: String::new(), list: vec![fault] }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.list.iter().enumerate() {
            f.write_str(if i == 0 { "" } else { "\n" })?;
            if self.file.is_empty() {
                write!(f, "line {}: ", fault.line)?;
            } else {
                write!(f, "{}:{}: ", self.file, fault.line)?;
            }
            let colon = if fault.path.is_empty() { "" } else { ": " };
            write!(f, "{}{colon}{}", fault.path, fault.text)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Reads a text into a type and checks it.
///
/// `check` lists what the type alone cannot forbid, each with its path. Where
/// one fault hides what was meant, a later fault may follow from it.
///
/// # Errors
///
/// Lists every fault that was found.
pub fn parse<T: DeserializeOwned>(
    text: &str,
    check: impl FnOnce(&T) -> Vec<Fault>,
) -> Result<T, Faults> {
    let tree = Tree::parse(text).map_err(|fault| faults(vec![fault]))?;
    let (value, mut found) = read::read::<T>(&tree);
    if let Some(value) = &value {
        let checked = check(value).into_iter();
        let new = checked.filter(|f| found.iter().all(|known| known.path != f.path));
        let located: Vec<LocatedFault> = new.map(|f| locate(&tree, f)).collect();
        found.extend(located);
    }
    match value {
        Some(value) if found.is_empty() => Ok(value),
        _ => Err(faults(found)),
    }
}

/// Reads a file as [`parse`] does; the faults name it.
///
/// # Errors
///
/// Lists every fault that was found, or that the file cannot be read.
pub fn load<T: DeserializeOwned>(
    path: &Path,
    check: impl FnOnce(&T) -> Vec<Fault>,
) -> Result<T, Faults> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| Faults::single(e.to_string()).in_file(name.as_str()))?;
    parse(&text, check).map_err(|faults| faults.in_file(name))
}

fn locate(tree: &Tree, fault: Fault) -> LocatedFault {
    LocatedFault { line: tree.line_of(&fault.path), path: fault.path, text: fault.text }
}

fn faults(mut list: Vec<LocatedFault>) -> Faults {
    list.sort_by_key(|f| f.line);
    list.dedup();
    Faults { file: String::new(), list }
}
