//! Deserializer of one node; it records a fault and continues with a placeholder.

use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt;

use mimosapass_core::figure;
use serde::de::{Deserializer, Visitor};

use crate::yaml::LocatedFault;
use crate::yaml::access::{Elements, Entries, Variant};
use crate::yaml::tree::{Node, Tree};

/// Replaces a missing text; it is valid both as a name and as an address.
const PLACEHOLDER: &str = "127.0.0.1:1";

/// Appended when a type rejects a text; all types that do so are addresses.
const ADDRESS_HINT: &str = "; write an IP address and port, such as 127.0.0.1:7000";

/// Returns the path of a field.
pub fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

/// Error that ends one pass of deserialization.
#[derive(Debug)]
pub enum DeserializeError {
    /// A required field of a struct is missing.
    Missing { path: String, field: &'static str },
    /// The type rejected a text.
    Text { path: String, reason: String },
    /// Any other error that the type returned.
    Other(String),
}

impl fmt::Display for DeserializeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing { path, field } => write!(f, "{path}: `{field}` is missing"),
            Self::Text { path, reason } => write!(f, "{path}: {reason}"),
            Self::Other(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for DeserializeError {}

impl serde::de::Error for DeserializeError {
    fn custom<T: fmt::Display>(msg: T) -> Self {
        Self::Other(msg.to_string())
    }

    fn missing_field(field: &'static str) -> Self {
        Self::Missing { path: String::new(), field }
    }
}

/// A node with its path, and the list in which faults are recorded.
pub struct NodeDeserializer<'a> {
    pub tree: &'a Tree,
    pub path: String,
    pub faults: &'a RefCell<Vec<LocatedFault>>,
    /// Where fields without a value are recorded, if they take their defaults.
    pub unset: Option<&'a RefCell<Vec<LocatedFault>>>,
}

impl<'a> NodeDeserializer<'a> {
    fn record(&self, text: String) {
        self.record_at(self.tree.line, self.path.clone(), text);
    }

    fn record_at(&self, line: usize, path: String, text: String) {
        self.faults.borrow_mut().push(LocatedFault { line, path, text });
    }

    /// Returns the deserializer of a child node.
    pub fn child(&self, tree: &'a Tree, path: String) -> Self {
        Self { tree, path, faults: self.faults, unset: self.unset }
    }

    /// Returns the text of a scalar; records a fault for any other node.
    fn text(&self, expected: &str) -> Option<&'a str> {
        match &self.tree.node {
            Node::Scalar { text, .. } => Some(text),
            Node::Absent => None,
            _ => {
                self.record(format!("found {}; write {expected}", self.tree.describe()));
                None
            }
        }
    }

    /// Returns a number within the bounds; otherwise records a fault and returns 1.
    fn number(&self, min: i128, max: i128) -> i128 {
        let expected = format!("a whole number from {min} to {max}");
        let Some(text) = self.text(&expected) else { return 1 };
        let digits = text.replace('_', "");
        // Others write a whole number as 8.0 or 8e0.
        let number = digits.parse().ok().or_else(|| figure::parse_whole(&digits).map(i128::from));
        number.filter(|n| (min..=max).contains(n)).unwrap_or_else(|| {
            self.record(format!("`{text}` is invalid; write {expected}"));
            1
        })
    }

    fn list(&self) -> &'a [Tree] {
        match &self.tree.node {
            Node::List(list) => list,
            Node::Absent => &[],
            Node::Scalar { text, plain: true } if is_null(text) => &[],
            _ => {
                self.record(format!("found {}; write a list", self.tree.describe()));
                &[]
            }
        }
    }

    fn map(&self) -> &'a [(String, usize, Tree)] {
        match &self.tree.node {
            Node::Map(map) => map,
            Node::Absent => &[],
            Node::Scalar { text, plain: true } if is_null(text) => &[],
            _ => {
                self.record(format!("found {}; write fields", self.tree.describe()));
                &[]
            }
        }
    }

    /// Returns whether a field has no value and is to take its default; records that it does.
    fn takes_default(&self, key: &str, field: &Tree) -> bool {
        let Some(unset) = self.unset else { return false };
        let empty = matches!(&field.node, Node::Scalar { text, plain: true } if is_null(text));
        if empty {
            let text = "it has no value and takes its default".to_owned();
            unset.borrow_mut().push(LocatedFault { line: field.line, path: self.join(key), text });
        }
        empty
    }

    fn entries(&self) -> Entries<'a> {
        let mut seen = HashSet::new();
        let mut unique: Vec<(&'a str, &'a Tree)> = Vec::new();
        for (key, line, tree) in self.map() {
            if seen.insert(key) {
                unique.push((key, tree));
            } else {
                let text = format!("`{key}` appears twice; remove one");
                self.record_at(*line, self.join(key), text);
            }
        }
        Entries {
            parent: self.child(self.tree, self.path.clone()),
            remaining: unique.into_iter(),
            value: None,
        }
    }

    /// Returns the path of a field of this node.
    pub fn join(&self, key: &str) -> String {
        join(&self.path, key)
    }
}

fn is_null(text: &str) -> bool {
    matches!(text, "" | "~" | "null")
}

macro_rules! numbers {
    ($($method:ident $visit:ident $type:ty;)*) => {
        $(fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DeserializeError> {
            let number = self.number(<$type>::MIN.into(), <$type>::MAX.into());
            visitor.$visit(<$type>::try_from(number).unwrap_or(1))
        })*
    };
}

impl<'de> Deserializer<'de> for NodeDeserializer<'_> {
    type Error = DeserializeError;

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

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DeserializeError> {
        match &self.tree.node {
            Node::List(_) => self.deserialize_seq(visitor),
            Node::Map(_) => self.deserialize_map(visitor),
            Node::Scalar { .. } | Node::Absent => self.deserialize_str(visitor),
        }
    }

    fn deserialize_bool<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DeserializeError> {
        let text = self.text("true or false").unwrap_or("false");
        if !matches!(text, "true" | "false") {
            self.record(format!("`{text}` is invalid; write true or false"));
        }
        visitor.visit_bool(text == "true")
    }

    fn deserialize_f64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DeserializeError> {
        let text = self.text("a number").unwrap_or("1");
        let number = text.replace('_', "").parse::<f64>().ok().filter(|n| n.is_finite());
        if number.is_none() {
            self.record(format!("`{text}` is invalid; write a number"));
        }
        visitor.visit_f64(number.unwrap_or(1.0))
    }

    fn deserialize_f32<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DeserializeError> {
        self.deserialize_f64(visitor)
    }

    fn deserialize_str<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DeserializeError> {
        let text = self.text("a text");
        visitor.visit_str(text.unwrap_or(PLACEHOLDER)).map_err(|error: DeserializeError| {
            let reason =
                format!("`{}` is invalid: {error}{ADDRESS_HINT}", text.unwrap_or_default());
            DeserializeError::Text { path: self.path, reason }
        })
    }

    fn deserialize_string<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DeserializeError> {
        self.deserialize_str(visitor)
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DeserializeError> {
        match &self.tree.node {
            Node::Absent => visitor.visit_none(),
            Node::Scalar { text, plain: true } if is_null(text) => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, DeserializeError> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DeserializeError> {
        let remaining = self.list().iter().enumerate();
        visitor.visit_seq(Elements { parent: self, remaining })
    }

    fn deserialize_map<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DeserializeError> {
        visitor.visit_map(self.entries())
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, DeserializeError> {
        for (key, line, _) in self.map().iter().filter(|(k, ..)| !fields.contains(&k.as_str())) {
            let text = format!("unknown field; write one of: {}", fields.join(", "));
            self.record_at(*line, self.join(key), text);
        }
        let mut entries = self.entries();
        let known: Vec<_> = entries
            .remaining
            .filter(|(key, tree)| fields.contains(key) && !self.takes_default(key, tree))
            .collect();
        entries.remaining = known.into_iter();
        visitor.visit_map(entries).map_err(|error| match error {
            DeserializeError::Missing { path, field } if path.is_empty() => {
                DeserializeError::Missing { path: self.path.clone(), field }
            }
            other => other,
        })
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, DeserializeError> {
        let expected = variants.join(", ");
        let text = self.text(&format!("one of: {expected}"));
        let known = variants.iter().find(|v| Some(**v) == text);
        if let (Some(text), None) = (text, known) {
            self.record(format!("`{text}` is invalid; write one of: {expected}"));
        }
        visitor.visit_enum(Variant(known.or(variants.first()).copied().unwrap_or_default()))
    }

    fn deserialize_ignored_any<V: Visitor<'de>>(
        self,
        visitor: V,
    ) -> Result<V::Value, DeserializeError> {
        visitor.visit_unit()
    }

    serde::forward_to_deserialize_any! {
        i128 u128 char bytes byte_buf unit unit_struct tuple tuple_struct identifier
    }
}
