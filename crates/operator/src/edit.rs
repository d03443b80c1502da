//! Edits the list of drained targets in a configuration text.
//!
//! All other lines, with their comments and layout, are kept as written.

use std::fmt;

use mimosapass_core::config::Config;
use mimosapass_core::labels::Selector;

use crate::document::{Document, Faults, parse};
use crate::yaml::{Node, Tree};

/// Name of the edited field.
const FIELD: &str = "drained";

/// Reason why an edit was rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EditError {
    /// The selector is already in the list, or is not in it.
    NoChange(&'static str),
    /// The text has faults before or after the edit.
    Invalid(Faults),
    /// The field is not a list with one selector per line.
    UnsupportedForm,
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoChange(text) => f.write_str(text),
            Self::Invalid(faults) => write!(f, "{faults}"),
            Self::UnsupportedForm => {
                write!(f, "write `{FIELD}` as a list with one selector per line, then use `apply`")
            }
        }
    }
}

impl std::error::Error for EditError {}

/// Adds a selector to the list of drained targets.
///
/// # Errors
///
/// Fails when the selector is already in the list or the text cannot be edited.
pub fn drain(text: &str, selector: &Selector) -> Result<Document, EditError> {
    let mut expected = parse_config(text)?;
    if expected.drained.contains(selector) {
        return Err(EditError::NoChange("these labels are already drained"));
    }
    expected.drained.push(selector.clone());
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    let item = |indent: usize| format!("{}- {}", " ".repeat(indent), flow_mapping(selector));
    match locate_field(text)? {
        Location::Absent => lines.extend([format!("{FIELD}:"), item(2)]),
        Location::Empty(line) => {
            lines.splice(line..=line, [format!("{FIELD}:"), item(2)]);
        }
        Location::List { items, .. } => {
            let last = items.last().ok_or(EditError::UnsupportedForm)?;
            lines.insert(last.end, item(last.indent));
        }
    }
    verify(&lines, &expected)
}

/// Removes a selector from the list of drained targets.
///
/// # Errors
///
/// Fails when the selector is not in the list or the text cannot be edited.
pub fn undrain(text: &str, selector: &Selector) -> Result<Document, EditError> {
    let mut expected = parse_config(text)?;
    let Some(index) = expected.drained.iter().position(|s| s == selector) else {
        return Err(EditError::NoChange("these labels are not drained"));
    };
    expected.drained.remove(index);
    let Location::List { key, items } = locate_field(text)? else {
        return Err(EditError::UnsupportedForm);
    };
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    lines.drain(items[index].start..items[index].end);
    if items.len() == 1 {
        lines.remove(key);
    }
    verify(&lines, &expected)
}

fn parse_config(text: &str) -> Result<Config, EditError> {
    parse(text).map(|d| d.config).map_err(EditError::Invalid)
}

/// Returns the edited text if it parses to exactly the expected configuration.
fn verify(lines: &[String], expected: &Config) -> Result<Document, EditError> {
    let document = parse(&(lines.join("\n") + "\n")).map_err(EditError::Invalid)?;
    if document.config == *expected { Ok(document) } else { Err(EditError::UnsupportedForm) }
}

fn flow_mapping(selector: &Selector) -> String {
    let quoted = |text: &String| serde_json::to_string(text).unwrap_or_default();
    let terms: Vec<String> = selector
        .iter()
        .map(|(name, value)| format!("{}: {}", quoted(name), quoted(value)))
        .collect();
    format!("{{{}}}", terms.join(", "))
}

/// Zero-based lines of one list item; `end` is exclusive.
#[derive(Debug)]
struct Item {
    start: usize,
    end: usize,
    indent: usize,
}

/// Form and position of the field, in zero-based lines.
#[derive(Debug)]
enum Location {
    Absent,
    Empty(usize),
    List { key: usize, items: Vec<Item> },
}

fn locate_field(text: &str) -> Result<Location, EditError> {
    let invalid = |fault| EditError::Invalid(Faults { file: String::new(), list: vec![fault] });
    let tree = Tree::parse(text).map_err(invalid)?;
    let Node::Map(map) = &tree.node else { return Err(EditError::UnsupportedForm) };
    let Some((_, line, value)) = map.iter().find(|(key, ..)| key == FIELD) else {
        return Ok(Location::Absent);
    };
    let (key, lines): (usize, Vec<&str>) = (line - 1, text.lines().collect());
    let list = match &value.node {
        Node::List(list) if !list.is_empty() => list,
        _ if value.line == *line => return Ok(Location::Empty(key)),
        _ => return Err(EditError::UnsupportedForm),
    };
    let items = list.iter().map(|tree| item(&lines, tree.line - 1)).collect::<Option<_>>();
    items.map(|items| Location::List { key, items }).ok_or(EditError::UnsupportedForm)
}

/// Returns the lines of an item whose first line begins with its dash.
fn item(lines: &[&str], start: usize) -> Option<Item> {
    let indent = |line: &str| line.len() - line.trim_start().len();
    let first = lines.get(start)?;
    let column = indent(first);
    first.trim_start().strip_prefix('-')?;
    let indented = |line: &&&str| !line.trim().is_empty() && indent(line) > column;
    let following = lines[start + 1..].iter().take_while(indented).count();
    Some(Item { start, end: start + 1 + following, indent: column })
}
