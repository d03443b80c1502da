//! YAML parser that reports every fault of a document, each with its line.
//!
//! With a parser that stops at the first fault, an operator has to run it once
//! per fault. This one parses the text into a tree with line numbers and
//! deserializes the tree; at a fault it continues with a placeholder. The
//! validation of the type itself then runs on the result.

mod access;
mod deserialize;
mod node;
mod tree;

use std::cell::RefCell;
use std::fmt;
use std::path::Path;

use mimosapass_core::config::Fault;
use serde::de::DeserializeOwned;

pub use tree::{Node, Tree};

/// One fault in a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LocatedFault {
    /// Line number, starting at 1.
    pub line: usize,
    /// Path such as `classes[2].select`; empty for the whole document.
    pub path: String,
    /// Description of the fault and of a valid value.
    pub text: String,
}

/// All faults found in a document, sorted by line.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// File name; empty if the text was not read from a file.
    pub file: String,
    /// The faults.
    pub list: Vec<LocatedFault>,
}

impl Faults {
    /// Sets the name of the file in which the faults were found.
    #[must_use]
    pub fn in_file(mut self, file: impl Into<String>) -> Self {
        self.file = file.into();
        self
    }

    /// Returns a list with one fault that concerns the whole document.
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

/// Deserializes a text and validates the value.
///
/// `check` returns the faults that the type alone does not rule out, each with
/// its path. A fault that hides the intended value may cause further faults.
///
/// # Errors
///
/// Lists every fault found in the text.
pub fn parse<T: DeserializeOwned>(
    text: &str,
    check: impl FnOnce(&T) -> Vec<Fault>,
) -> Result<T, Faults> {
    parse_tree(text, check, None)
}

fn parse_tree<T: DeserializeOwned>(
    text: &str,
    check: impl FnOnce(&T) -> Vec<Fault>,
    unset: Option<&RefCell<Vec<LocatedFault>>>,
) -> Result<T, Faults> {
    let tree = Tree::parse(text).map_err(|fault| sorted(vec![fault]))?;
    let (value, mut found) = deserialize::deserialize::<T>(&tree, unset);
    if let Some(value) = &value {
        let checked = check(value).into_iter();
        let new = checked.filter(|f| found.iter().all(|known| known.path != f.path));
        let located: Vec<LocatedFault> = new.map(|f| locate(&tree, f)).collect();
        found.extend(located);
    }
    match value {
        Some(value) if found.is_empty() => Ok(value),
        _ => Err(sorted(found)),
    }
}

/// A value, and the fields that are written without a value and took their defaults.
#[derive(Clone, Debug)]
pub struct Loaded<T> {
    /// The value.
    pub value: T,
    /// The fields, sorted by line.
    pub unset: Faults,
}

/// Reads a file and parses it like [`parse`]; fields without a value take their defaults.
///
/// The faults name the file.
///
/// # Errors
///
/// Lists every fault found in the file, or the failure to read it.
pub fn load<T: DeserializeOwned>(
    path: &Path,
    check: impl FnOnce(&T) -> Vec<Fault>,
) -> Result<Loaded<T>, Faults> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| Faults::single(e.to_string()).in_file(name.as_str()))?;
    parse_settings(&text, check, name)
}

/// As [`load`], with a text that was read from the file `name`.
///
/// # Errors
///
/// Lists every fault found in the text.
pub fn parse_settings<T: DeserializeOwned>(
    text: &str,
    check: impl FnOnce(&T) -> Vec<Fault>,
    name: String,
) -> Result<Loaded<T>, Faults> {
    let unset = RefCell::default();
    match parse_tree(text, check, Some(&unset)) {
        Ok(value) => Ok(Loaded { value, unset: sorted(unset.into_inner()).in_file(name) }),
        Err(faults) => Err(faults.in_file(name)),
    }
}

fn locate(tree: &Tree, fault: Fault) -> LocatedFault {
    LocatedFault { line: tree.line_of(&fault.path), path: fault.path, text: fault.text }
}

fn sorted(mut list: Vec<LocatedFault>) -> Faults {
    list.sort_by_key(|f| f.line);
    list.dedup();
    Faults { file: String::new(), list }
}
