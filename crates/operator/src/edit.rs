//! Changes a configuration text in one place and keeps the rest as written.

use std::fmt;

use mimosapass_core::config::Config;
use mimosapass_core::labels::Selector;

use crate::document::{Document, Faults, parse};
use crate::yaml::{Node, Tree};

/// Field that the edits change.
const FIELD: &str = "drained";

/// Why a text was not changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EditError {
    /// The selector stands there already, or does not stand there.
    NoChange(&'static str),
    /// The text before or after the change has faults.
    Invalid(Faults),
    /// The field is written in a way that cannot be changed line by line.
    UnsupportedForm,
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoChange(text) => f.write_str(text),
            Self::Invalid(faults) => write!(f, "{faults}"),
            Self::UnsupportedForm => {
                write!(f, "write `{FIELD}` as a list, one selector in each line, and apply that")
            }
        }
    }
}

impl std::error::Error for EditError {}

/// Adds a selector of targets that get no new work.
///
/// # Errors
///
/// Fails when it stands there already or the text cannot be changed.
pub fn drain(text: &str, selector: &Selector) -> Result<Document, EditError> {
    let mut wanted = config(text)?;
    if wanted.drained.contains(selector) {
        return Err(EditError::NoChange("it is drained already"));
    }
    wanted.drained.push(selector.clone());
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    let item = |indent: usize| format!("{}- {}", " ".repeat(indent), flow(selector));
    match place(text)? {
        Place::Absent => lines.extend([format!("{FIELD}:"), item(2)]),
        Place::Empty(line) => {
            lines.splice(line..=line, [format!("{FIELD}:"), item(2)]);
        }
        Place::List { items, .. } => {
            let last = items.last().ok_or(EditError::UnsupportedForm)?;
            lines.insert(last.end, item(last.indent));
        }
    }
    confirmed(&lines, &wanted)
}

/// Removes a selector of targets that get no new work.
///
/// # Errors
///
/// Fails when it does not stand there or the text cannot be changed.
pub fn undrain(text: &str, selector: &Selector) -> Result<Document, EditError> {
    let mut wanted = config(text)?;
    let Some(index) = wanted.drained.iter().position(|s| s == selector) else {
        return Err(EditError::NoChange("it is not drained"));
    };
    wanted.drained.remove(index);
    let Place::List { key, items } = place(text)? else { return Err(EditError::UnsupportedForm) };
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    lines.drain(items[index].start..items[index].end);
    if items.len() == 1 {
        lines.remove(key);
    }
    confirmed(&lines, &wanted)
}

fn config(text: &str) -> Result<Config, EditError> {
    parse(text).map(|d| d.config).map_err(EditError::Invalid)
}

/// Takes the new text only if it means just what was wanted.
fn confirmed(lines: &[String], wanted: &Config) -> Result<Document, EditError> {
    let document = parse(&(lines.join("\n") + "\n")).map_err(EditError::Invalid)?;
    if document.config == *wanted { Ok(document) } else { Err(EditError::UnsupportedForm) }
}

fn flow(selector: &Selector) -> String {
    let quoted = |text: &String| serde_json::to_string(text).unwrap_or_default();
    let terms: Vec<String> = selector
        .iter()
        .map(|(name, value)| format!("{}: {}", quoted(name), quoted(value)))
        .collect();
    format!("{{{}}}", terms.join(", "))
}

/// Lines of one item, from 0; the end is excluded.
#[derive(Debug)]
struct Item {
    start: usize,
    end: usize,
    indent: usize,
}

/// Where the field stands, in lines from 0.
#[derive(Debug)]
enum Place {
    Absent,
    Empty(usize),
    List { key: usize, items: Vec<Item> },
}

fn place(text: &str) -> Result<Place, EditError> {
    let broken = |fault| EditError::Invalid(Faults { file: String::new(), list: vec![fault] });
    let tree = Tree::parse(text).map_err(broken)?;
    let Node::Map(map) = &tree.node else { return Err(EditError::UnsupportedForm) };
    let Some((_, line, value)) = map.iter().find(|(key, ..)| key == FIELD) else {
        return Ok(Place::Absent);
    };
    let (key, lines): (usize, Vec<&str>) = (line - 1, text.lines().collect());
    let list = match &value.node {
        Node::List(list) if !list.is_empty() => list,
        _ if value.line == *line => return Ok(Place::Empty(key)),
        _ => return Err(EditError::UnsupportedForm),
    };
    let items = list.iter().map(|tree| item(&lines, tree.line - 1)).collect::<Option<_>>();
    items.map(|items| Place::List { key, items }).ok_or(EditError::UnsupportedForm)
}

/// Returns the lines of an item that begins with its own dash.
fn item(lines: &[&str], start: usize) -> Option<Item> {
    let indent = |line: &str| line.len() - line.trim_start().len();
    let first = lines.get(start)?;
    let at = indent(first);
    first.trim_start().strip_prefix('-')?;
    let inner = |line: &&&str| !line.trim().is_empty() && indent(line) > at;
    let more = lines[start + 1..].iter().take_while(inner).count();
    Some(Item { start, end: start + 1 + more, indent: at })
}
