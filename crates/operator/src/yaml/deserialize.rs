//! Repeated deserialization of a tree; each pass repairs the error that ended the last.

use std::cell::RefCell;

use serde::de::DeserializeOwned;

use crate::yaml::LocatedFault;
use crate::yaml::node::{DeserializeError, NodeDeserializer, join};
use crate::yaml::tree::{Node, Tree};

/// Maximum number of passes; each replaces one missing or rejected value.
const MAX_PASSES: usize = 1_000;

/// Deserializes a tree; the value is `None` only if no placeholder fits the type.
///
/// With `unset`, fields without a value take their defaults and are recorded there.
pub fn deserialize<T: DeserializeOwned>(
    tree: &Tree,
    unset: Option<&RefCell<Vec<LocatedFault>>>,
) -> (Option<T>, Vec<LocatedFault>) {
    let mut tree = tree.clone();
    let mut repaired = Vec::new();
    for _ in 0..MAX_PASSES {
        let faults = RefCell::new(Vec::new());
        if let Some(unset) = unset {
            unset.borrow_mut().clear();
        }
        let root = NodeDeserializer { tree: &tree, path: String::new(), faults: &faults, unset };
        let result = T::deserialize(root);
        let mut list = faults.into_inner();
        match result {
            Ok(value) => {
                list.append(&mut repaired);
                return (Some(value), list);
            }
            Err(DeserializeError::Missing { path, field })
                if set_absent(&mut tree, &path, field) =>
            {
                let text = "it has no value; write one".to_owned();
                let path = join(&path, field);
                repaired.push(LocatedFault { line: tree.line_of(&path), path, text });
            }
            Err(DeserializeError::Missing { path, field })
                if add_field(&mut tree, &path, field) =>
            {
                let text = format!("the field `{field}` is missing; add it");
                let line = tree.line_of(&path);
                repaired.push(LocatedFault { line, path: join(&path, field), text });
            }
            Err(DeserializeError::Text { path, reason }) if replace_text(&mut tree, &path) => {
                repaired.push(LocatedFault { line: tree.line_of(&path), path, text: reason });
            }
            Err(error) => {
                list.append(&mut repaired);
                if list.is_empty() {
                    let text = error.to_string();
                    list.push(LocatedFault { line: tree.line, path: String::new(), text });
                }
                return (None, list);
            }
        }
    }
    (None, repaired)
}

/// Replaces a rejected text by a placeholder.
fn replace_text(tree: &mut Tree, path: &str) -> bool {
    let Some(current) = node_at(tree, path) else { return false };
    let new = !matches!(current.node, Node::Absent);
    current.node = Node::Absent;
    new
}

fn node_at<'a>(tree: &'a mut Tree, path: &str) -> Option<&'a mut Tree> {
    let mut current = tree;
    for segment in path.split(['.', '[']).filter(|s| !s.is_empty()) {
        let next = match &mut current.node {
            Node::List(list) => segment
                .strip_suffix(']')
                .and_then(|i| i.parse().ok())
                .and_then(|i: usize| list.get_mut(i)),
            Node::Map(map) => map.iter_mut().find(|(key, ..)| key == segment).map(|(.., t)| t),
            _ => None,
        };
        current = next?;
    }
    Some(current)
}

/// Replaces the value of a field that has none, and no default either, by a placeholder.
fn set_absent(tree: &mut Tree, path: &str, field: &str) -> bool {
    let Some(Node::Map(map)) = node_at(tree, path).map(|found| &mut found.node) else {
        return false;
    };
    let empty = map.iter_mut().find(|(key, ..)| key == field);
    empty.is_some_and(|(.., value)| {
        value.node = Node::Absent;
        true
    })
}

/// Adds a placeholder for a missing field.
fn add_field(tree: &mut Tree, path: &str, field: &str) -> bool {
    let Some(current) = node_at(tree, path) else { return false };
    let line = current.line;
    if !matches!(current.node, Node::Map(_)) {
        current.node = Node::Map(Vec::new());
    }
    let Node::Map(map) = &mut current.node else { return false };
    map.push((field.to_owned(), line, Tree { line, node: Node::Absent }));
    true
}
