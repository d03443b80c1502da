//! Reads one node into a type; a fault is noted and a placeholder given.

use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt;

use serde::de::{Deserializer, Visitor};

use crate::yaml::LocatedFault;
use crate::yaml::access::{Elements, Entries, Variant};
use crate::yaml::tree::{Node, Tree};

/// Stands in for a text that is missing; it is a sound name and a sound address.
const PLACEHOLDER: &str = "127.0.0.1:1";

/// What to write where a type refuses a text; all such types are addresses.
const ADDRESS: &str = "; write an IP address and port, such as 127.0.0.1:7000";
/// Returns the path of a field.
pub fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

/// Why a round of reading ended early.
#[derive(Debug)]
pub enum Stop {
    /// A struct lacks a field that it needs.
    Missing { path: String, field: &'static str },
    /// The type refused a text.
    Text { path: String, why: String },
    /// The type refused a value for a reason of its own.
    Other(String),
}

impl fmt::Display for Stop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing { path, field } => write!(f, "{path}: `{field}` is missing"),
            Self::Text { path, why } => write!(f, "{path}: {why}"),
            Self::Other(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for Stop {}

impl serde::de::Error for Stop {
    fn custom<T: fmt::Display>(msg: T) -> Self {
        Self::Other(msg.to_string())
    }

    fn missing_field(field: &'static str) -> Self {
        Self::Missing { path: String::new(), field }
    }
}
/// A node, where it stands, and the list to which faults are added.
pub struct At<'a> {
    pub tree: &'a Tree,
    pub path: String,
    pub found: &'a RefCell<Vec<LocatedFault>>,
}

impl<'a> At<'a> {
    fn fault(&self, text: String) {
        self.fault_at(self.tree.line, self.path.clone(), text);
    }

    fn fault_at(&self, line: usize, path: String, text: String) {
        self.found.borrow_mut().push(LocatedFault { line, path, text });
    }

    /// Returns a node below this one.
    pub fn inner(&self, tree: &'a Tree, path: String) -> Self {
        Self { tree, path, found: self.found }
    }

    /// Returns the text of a scalar; any other node is a fault.
    fn text(&self, wanted: &str) -> Option<&'a str> {
        match &self.tree.node {
            Node::Scalar { text, .. } => Some(text),
            Node::Absent => None,
            _ => {
                self.fault(format!("{} stands here; write {wanted}", self.tree.kind()));
                None
            }
        }
    }

    /// Returns a number within the bounds; anything else is a fault and 1.
    fn number(&self, least: i128, most: i128) -> i128 {
        let wanted = format!("a whole number from {least} to {most}");
        let Some(text) = self.text(&wanted) else { return 1 };
        match text.replace('_', "").parse::<i128>() {
            Ok(number) if (least..=most).contains(&number) => number,
            _ => {
                self.fault(format!("`{text}` is not right; write {wanted}"));
                1
            }
        }
    }

    fn list(&self) -> &'a [Tree] {
        match &self.tree.node {
            Node::List(list) => list,
            Node::Absent => &[],
            Node::Scalar { text, plain: true } if empty(text) => &[],
            _ => {
                self.fault(format!("{} stands here; write a list", self.tree.kind()));
                &[]
            }
        }
    }

    fn map(&self) -> &'a [(String, usize, Tree)] {
        match &self.tree.node {
            Node::Map(map) => map,
            Node::Absent => &[],
            Node::Scalar { text, plain: true } if empty(text) => &[],
            _ => {
                self.fault(format!("{} stands here; write fields", self.tree.kind()));
                &[]
            }
        }
    }

    fn entries(&self) -> Entries<'a> {
        let mut seen = HashSet::new();
        let mut kept: Vec<(&'a str, &'a Tree)> = Vec::new();
        for (key, line, tree) in self.map() {
            if seen.insert(key) {
                kept.push((key, tree));
            } else {
                let text = format!("`{key}` stands twice; remove one");
                self.fault_at(*line, self.join(key), text);
            }
        }
        Entries {
            at: self.inner(self.tree, self.path.clone()),
            left: kept.into_iter(),
            value: None,
        }
    }

    /// Returns the path of a field of this node.
    pub fn join(&self, key: &str) -> String {
        join(&self.path, key)
    }
}

fn empty(text: &str) -> bool {
    matches!(text, "" | "~" | "null")
}

macro_rules! numbers {
    ($($method:ident $visit:ident $type:ty;)*) => {
        $(fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Stop> {
            let number = self.number(<$type>::MIN.into(), <$type>::MAX.into());
            visitor.$visit(<$type>::try_from(number).unwrap_or(1))
        })*
    };
}

impl<'de> Deserializer<'de> for At<'_> {
    type Error = Stop;

    numbers! {
        deserialize_i8 visit_i8 i8;
        deserialize_i16 visit_i16 i16;
        deserialize_i32 visit_i32 i32;
        deserialize_i64 visit_i64 i64;
        deserialize_u8 visit_u8 u8;
        deserialize_u16 visit_u16 u16;
        deserialize_u32 visit_u32 u32;
        deserialize_u64 visit_u64 u64;
    }

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Stop> {
        match &self.tree.node {
            Node::List(_) => self.deserialize_seq(visitor),
            Node::Map(_) => self.deserialize_map(visitor),
            Node::Scalar { .. } | Node::Absent => self.deserialize_str(visitor),
        }
    }

    fn deserialize_bool<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Stop> {
        let text = self.text("true or false").unwrap_or("false");
        if !matches!(text, "true" | "false") {
            self.fault(format!("`{text}` is not right; write true or false"));
        }
        visitor.visit_bool(text == "true")
    }

    fn deserialize_f64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Stop> {
        let text = self.text("a number").unwrap_or("1");
        let number = text.parse::<f64>().ok().filter(|n| n.is_finite());
        if number.is_none() {
            self.fault(format!("`{text}` is not right; write a number"));
        }
        visitor.visit_f64(number.unwrap_or(1.0))
    }

    fn deserialize_f32<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Stop> {
        self.deserialize_f64(visitor)
    }

    fn deserialize_str<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Stop> {
        let text = self.text("a text");
        visitor.visit_str(text.unwrap_or(PLACEHOLDER)).map_err(|stop: Stop| {
            let why = format!("`{}` is not right: {stop}{ADDRESS}", text.unwrap_or_default());
            Stop::Text { path: self.path, why }
        })
    }

    fn deserialize_string<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Stop> {
        self.deserialize_str(visitor)
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Stop> {
        match &self.tree.node {
            Node::Absent => visitor.visit_none(),
            Node::Scalar { text, plain: true } if empty(text) => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Stop> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Stop> {
        let left = self.list().iter().enumerate();
        visitor.visit_seq(Elements { at: self, left })
    }

    fn deserialize_map<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Stop> {
        visitor.visit_map(self.entries())
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Stop> {
        for (key, line, _) in self.map().iter().filter(|(k, ..)| !fields.contains(&k.as_str())) {
            let text = format!("there is no such field; write one of: {}", fields.join(", "));
            self.fault_at(*line, self.join(key), text);
        }
        let mut entries = self.entries();
        let known: Vec<_> = entries.left.filter(|(key, _)| fields.contains(key)).collect();
        entries.left = known.into_iter();
        visitor.visit_map(entries).map_err(|stop| match stop {
            Stop::Missing { path, field } if path.is_empty() => {
                Stop::Missing { path: self.path.clone(), field }
            }
            other => other,
        })
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Stop> {
        let wanted = variants.join(", ");
        let text = self.text(&format!("one of: {wanted}"));
        let known = variants.iter().find(|v| Some(**v) == text);
        if let (Some(text), None) = (text, known) {
            self.fault(format!("`{text}` is not right; write one of: {wanted}"));
        }
        visitor.visit_enum(Variant(known.or(variants.first()).copied().unwrap_or_default()))
    }

    fn deserialize_ignored_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Stop> {
        visitor.visit_unit()
    }

    serde::forward_to_deserialize_any! {
        i128 u128 char bytes byte_buf unit unit_struct tuple tuple_struct identifier
    }
}
