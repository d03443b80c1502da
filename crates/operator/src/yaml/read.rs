//! Rounds of reading a tree into a type; each mends what stopped the one before.

use std::cell::RefCell;

use serde::de::DeserializeOwned;

use crate::yaml::LocatedFault;
use crate::yaml::node::{At, Stop, join};
use crate::yaml::tree::{Node, Tree};

/// Rounds of reading; each adds one missing field.
const ROUNDS: usize = 1_000;

/// Reads a tree; the value is `None` only when no placeholder fits the type.
pub fn read<T: DeserializeOwned>(tree: &Tree) -> (Option<T>, Vec<LocatedFault>) {
    let mut tree = tree.clone();
    let mut missing = Vec::new();
    for _ in 0..ROUNDS {
        let found = RefCell::new(Vec::new());
        let at = At { tree: &tree, path: String::new(), found: &found };
        let result = T::deserialize(at);
        let mut list = found.into_inner();
        match result {
            Ok(value) => {
                list.append(&mut missing);
                return (Some(value), list);
            }
            Err(Stop::Missing { path, field }) if add(&mut tree, &path, field) => {
                let text = format!("the field `{field}` is missing; add it");
                let line = tree.line_of(&path);
                missing.push(LocatedFault { line, path: join(&path, field), text });
            }
            Err(Stop::Text { path, why }) if replace(&mut tree, &path) => {
                missing.push(LocatedFault { line: tree.line_of(&path), path, text: why });
            }
            Err(stop) => {
                list.append(&mut missing);
                if list.is_empty() {
                    let text = stop.to_string();
                    list.push(LocatedFault { line: tree.line, path: String::new(), text });
                }
                return (None, list);
            }
        }
    }
    (None, missing)
}

/// Puts a placeholder in the place of a text that its type refused.
fn replace(tree: &mut Tree, path: &str) -> bool {
    let Some(here) = at(tree, path) else { return false };
    let new = !matches!(here.node, Node::Absent);
    here.node = Node::Absent;
    new
}

fn at<'a>(tree: &'a mut Tree, path: &str) -> Option<&'a mut Tree> {
    let mut here = tree;
    for step in path.split(['.', '[']).filter(|s| !s.is_empty()) {
        let next = match &mut here.node {
            Node::List(list) => step
                .strip_suffix(']')
                .and_then(|i| i.parse().ok())
                .and_then(|i: usize| list.get_mut(i)),
            Node::Map(map) => map.iter_mut().find(|(key, ..)| key == step).map(|(.., t)| t),
            _ => None,
        };
        here = next?;
    }
    Some(here)
}

/// Puts a placeholder in the place of a missing field.
fn add(tree: &mut Tree, path: &str, field: &str) -> bool {
    let Some(here) = at(tree, path) else { return false };
    let line = here.line;
    if !matches!(here.node, Node::Map(_)) {
        here.node = Node::Map(Vec::new());
    }
    let Node::Map(map) = &mut here.node else { return false };
    map.push((field.to_owned(), line, Tree { line, node: Node::Absent }));
    true
}
