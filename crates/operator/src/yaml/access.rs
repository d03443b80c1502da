//! Serde access to the elements of lists, the entries of maps, and unit variants.

use serde::de::value::{StrDeserializer, StringDeserializer};
use serde::de::{
    DeserializeSeed, EnumAccess, Error as _, IntoDeserializer, MapAccess, SeqAccess, VariantAccess,
    Visitor,
};

use crate::yaml::node::{DeserializeError, NodeDeserializer};
use crate::yaml::tree::Tree;

/// Iterator over the elements of a list.
pub struct Elements<'a> {
    pub parent: NodeDeserializer<'a>,
    pub remaining: std::iter::Enumerate<std::slice::Iter<'a, Tree>>,
}

impl<'de> SeqAccess<'de> for Elements<'_> {
    type Error = DeserializeError;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, DeserializeError> {
        let Some((i, tree)) = self.remaining.next() else { return Ok(None) };
        let element = self.parent.child(tree, format!("{}[{i}]", self.parent.path));
        seed.deserialize(element).map(Some)
    }
}

/// Iterator over the entries of a map.
pub struct Entries<'a> {
    pub parent: NodeDeserializer<'a>,
    pub remaining: std::vec::IntoIter<(&'a str, &'a Tree)>,
    pub value: Option<(&'a str, &'a Tree)>,
}

impl<'de> MapAccess<'de> for Entries<'_> {
    type Error = DeserializeError;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, DeserializeError> {
        self.value = self.remaining.next();
        let Some((key, _)) = self.value else { return Ok(None) };
        let text: StrDeserializer<'_, DeserializeError> = key.into_deserializer();
        seed.deserialize(text).map(Some)
    }

    fn next_value_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<S::Value, DeserializeError> {
        let (key, tree) =
            self.value.take().ok_or_else(|| DeserializeError::custom("value without a key"))?;
        seed.deserialize(self.parent.child(tree, self.parent.join(key)))
    }
}

/// Name of an enum variant without data.
pub struct Variant(pub &'static str);

impl<'de> EnumAccess<'de> for Variant {
    type Error = DeserializeError;
    type Variant = Self;

    fn variant_seed<V: DeserializeSeed<'de>>(
        self,
        seed: V,
    ) -> Result<(V::Value, Self), DeserializeError> {
        let text: StringDeserializer<DeserializeError> = self.0.to_owned().into_deserializer();
        seed.deserialize(text).map(|value| (value, self))
    }
}

impl<'de> VariantAccess<'de> for Variant {
    type Error = DeserializeError;

    fn unit_variant(self) -> Result<(), DeserializeError> {
        Ok(())
    }

    fn newtype_variant_seed<T: DeserializeSeed<'de>>(
        self,
        _seed: T,
    ) -> Result<T::Value, DeserializeError> {
        Err(DeserializeError::custom("only plain names are allowed here"))
    }

    fn tuple_variant<V: Visitor<'de>>(
        self,
        _len: usize,
        _visitor: V,
    ) -> Result<V::Value, DeserializeError> {
        Err(DeserializeError::custom("only plain names are allowed here"))
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        _fields: &'static [&'static str],
        _visitor: V,
    ) -> Result<V::Value, DeserializeError> {
        Err(DeserializeError::custom("only plain names are allowed here"))
    }
}
