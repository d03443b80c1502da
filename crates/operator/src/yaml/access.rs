//! Access to the elements of lists, the entries of maps, and plain choices.

use serde::de::value::{StrDeserializer, StringDeserializer};
use serde::de::{
    DeserializeSeed, EnumAccess, Error as _, IntoDeserializer, MapAccess, SeqAccess, VariantAccess,
    Visitor,
};

use crate::yaml::node::{At, Stop};
use crate::yaml::tree::Tree;

/// Elements of a list.
pub struct Elements<'a> {
    pub at: At<'a>,
    pub left: std::iter::Enumerate<std::slice::Iter<'a, Tree>>,
}

impl<'de> SeqAccess<'de> for Elements<'_> {
    type Error = Stop;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, Stop> {
        let Some((i, tree)) = self.left.next() else { return Ok(None) };
        let at = self.at.inner(tree, format!("{}[{i}]", self.at.path));
        seed.deserialize(at).map(Some)
    }
}

/// Entries of a map.
pub struct Entries<'a> {
    pub at: At<'a>,
    pub left: std::vec::IntoIter<(&'a str, &'a Tree)>,
    pub value: Option<(&'a str, &'a Tree)>,
}

impl<'de> MapAccess<'de> for Entries<'_> {
    type Error = Stop;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, Stop> {
        self.value = self.left.next();
        let Some((key, _)) = self.value else { return Ok(None) };
        let text: StrDeserializer<'_, Stop> = key.into_deserializer();
        seed.deserialize(text).map(Some)
    }

    fn next_value_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<S::Value, Stop> {
        let (key, tree) = self.value.take().ok_or_else(|| Stop::custom("a value without key"))?;
        seed.deserialize(self.at.inner(tree, self.at.join(key)))
    }
}

/// One of the names that a choice allows.
pub struct Variant(pub &'static str);

impl<'de> EnumAccess<'de> for Variant {
    type Error = Stop;
    type Variant = Self;

    fn variant_seed<V: DeserializeSeed<'de>>(self, seed: V) -> Result<(V::Value, Self), Stop> {
        let text: StringDeserializer<Stop> = self.0.to_owned().into_deserializer();
        seed.deserialize(text).map(|value| (value, self))
    }
}

impl<'de> VariantAccess<'de> for Variant {
    type Error = Stop;

    fn unit_variant(self) -> Result<(), Stop> {
        Ok(())
    }

    fn newtype_variant_seed<T: DeserializeSeed<'de>>(self, _seed: T) -> Result<T::Value, Stop> {
        Err(Stop::custom("only plain names are written here"))
    }

    fn tuple_variant<V: Visitor<'de>>(self, _len: usize, _visitor: V) -> Result<V::Value, Stop> {
        Err(Stop::custom("only plain names are written here"))
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        _fields: &'static [&'static str],
        _visitor: V,
    ) -> Result<V::Value, Stop> {
        Err(Stop::custom("only plain names are written here"))
    }
}
