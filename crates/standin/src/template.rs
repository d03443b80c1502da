//! Stand-in for the platform's templates of settings.
//!
//! `{{a}}`, `{{a.b}}` and `{{a.0}}` are values: lists joined by commas, tables as JSON, nothing if
//! there is none. `{{a|json}}` is a value as JSON. A section `{{#a}}..{{/a}}` stands once for each
//! entry, or once for a value; `{{^a}}..{{/a}}` if there is none, or it is false.

use std::collections::BTreeSet;

use serde_json::Value;

/// A piece of a template.
#[derive(Debug)]
enum Piece<'t> {
    Text(&'t str),
    Value(&'t str),
    Section { name: &'t str, inverted: bool, body: Vec<Self> },
}

/// Fills in a template.
///
/// # Panics
///
/// Panics when a section is not closed.
pub fn fill(template: &str, fields: &Value) -> String {
    let mut rest = template;
    let pieces = parse(&mut rest, None);
    let mut text = String::new();
    render(&pieces, &[fields], &Position::default(), &mut text);
    text
}

/// Returns the names of all values and sections of a template.
pub fn placeholders(template: &str) -> BTreeSet<String> {
    fn collect(pieces: &[Piece<'_>], names: &mut BTreeSet<String>) {
        for piece in pieces {
            match piece {
                Piece::Text(_) | Piece::Value("." | "," | "@") => {}
                Piece::Value(name) => {
                    names.insert(name.trim_end_matches("|json").to_owned());
                }
                Piece::Section { name, body, .. } => {
                    names.insert((*name).to_owned());
                    collect(body, names);
                }
            }
        }
    }
    let (mut names, mut rest) = (BTreeSet::new(), template);
    collect(&parse(&mut rest, None), &mut names);
    names
}

fn parse<'t>(rest: &mut &'t str, section: Option<&str>) -> Vec<Piece<'t>> {
    let mut pieces = Vec::new();
    while let Some((text, after)) = rest.split_once("{{") {
        let (name, after) = after.split_once("}}").expect("a placeholder is closed");
        pieces.push(Piece::Text(text));
        *rest = after;
        match name.split_at(1) {
            ("/", end) => {
                assert_eq!(Some(end), section, "another section is closed");
                return pieces;
            }
            (kind @ ("#" | "^"), name) => {
                let body = parse(rest, Some(name));
                pieces.push(Piece::Section { name, inverted: kind == "^", body });
            }
            _ => pieces.push(Piece::Value(name)),
        }
    }
    assert!(section.is_none(), "the section {section:?} is not closed");
    pieces.push(Piece::Text(rest));
    pieces
}

/// Where a section stands among the entries of its list.
#[derive(Clone, Debug, Default)]
struct Position {
    key: String,
    last: bool,
}

fn render(pieces: &[Piece<'_>], scopes: &[&Value], position: &Position, text: &mut String) {
    for piece in pieces {
        match piece {
            Piece::Text(plain) => text.push_str(plain),
            Piece::Value(",") => text.push_str(if position.last { "" } else { "," }),
            Piece::Value("@") => text.push_str(&position.key),
            Piece::Value(name) => text.push_str(&value(name, scopes)),
            Piece::Section { name, inverted, body } => {
                let found = look_up(name, scopes).filter(|v| !matches!(v, Value::Null));
                match (found, inverted) {
                    (None | Some(Value::Bool(false)), true) => {
                        render(body, scopes, position, text);
                    }
                    (None | Some(Value::Bool(false)), false) | (Some(_), true) => {}
                    (Some(found), false) => render_entries(body, scopes, found, text),
                }
            }
        }
    }
}

fn render_entries(body: &[Piece<'_>], scopes: &[&Value], found: &Value, text: &mut String) {
    let entries: Vec<(String, &Value)> = match found {
        Value::Array(list) => list.iter().enumerate().map(|(i, v)| (i.to_string(), v)).collect(),
        Value::Object(map) => map.iter().map(|(key, v)| (key.clone(), v)).collect(),
        one => vec![("0".to_owned(), one)],
    };
    let count = entries.len();
    for (number, (key, entry)) in entries.into_iter().enumerate() {
        let inner = [scopes, &[entry]].concat();
        render(body, &inner, &Position { key, last: number + 1 == count }, text);
    }
}

/// Returns a value by its name; entries of the innermost section go first.
fn look_up<'v>(name: &str, scopes: &[&'v Value]) -> Option<&'v Value> {
    if name == "." {
        return scopes.last().copied();
    }
    scopes.iter().rev().find_map(|scope| {
        name.split('.').try_fold(*scope, |value, part| match value {
            Value::Array(list) => list.get(part.parse::<usize>().ok()?),
            value => value.get(part),
        })
    })
}

fn value(name: &str, scopes: &[&Value]) -> String {
    match name.strip_suffix("|json") {
        Some(name) => look_up(name, scopes).map(Value::to_string).unwrap_or_default(),
        None => look_up(name, scopes).map(plain).unwrap_or_default(),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(list) => list.iter().map(plain).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
