//! Deserializes whole numbers, which other writers may write as `3.0` or `3e0`.
//!
//! For `deserialize_with` of fields that come from outside.

use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, Error, Unexpected, Visitor};

use crate::figure;

/// Deserializes a whole number in any form.
///
/// # Errors
///
/// Fails for anything else, also for a number that is out of range.
pub fn number<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    let number = deserializer.deserialize_any(Whole)?;
    let out_of_range = || D::Error::invalid_value(Unexpected::Unsigned(number), &Whole);
    T::try_from(number).ok().ok_or_else(out_of_range)
}

/// As [`number`], where the number may be missing.
///
/// # Errors
///
/// As [`number`].
pub fn optional<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    struct Optional<T>(std::marker::PhantomData<T>);

    impl<'de, T: TryFrom<u64>> Visitor<'de> for Optional<T> {
        type Value = Option<T>;

        fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
            formatter.write_str("a whole number or nothing")
        }

        fn visit_none<E: Error>(self) -> Result<Self::Value, E> {
            Ok(None)
        }

        fn visit_unit<E: Error>(self) -> Result<Self::Value, E> {
            Ok(None)
        }

        fn visit_some<D: Deserializer<'de>>(
            self,
            deserializer: D,
        ) -> Result<Self::Value, D::Error> {
            number(deserializer).map(Some)
        }
    }

    deserializer.deserialize_option(Optional(std::marker::PhantomData))
}

/// As [`number`], for a list of them.
///
/// # Errors
///
/// As [`number`].
pub fn list<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u64>, D::Error> {
    #[derive(Deserialize)]
    struct Number(#[serde(deserialize_with = "number")] u64);

    Ok(Vec::<Number>::deserialize(deserializer)?.into_iter().map(|n| n.0).collect())
}

struct Whole;

impl Visitor<'_> for Whole {
    type Value = u64;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a whole number that is not negative")
    }

    fn visit_u64<E: Error>(self, v: u64) -> Result<u64, E> {
        Ok(v)
    }

    fn visit_i64<E: Error>(self, v: i64) -> Result<u64, E> {
        u64::try_from(v).ok().ok_or_else(|| E::invalid_value(Unexpected::Signed(v), &self))
    }

    fn visit_f64<E: Error>(self, v: f64) -> Result<u64, E> {
        figure::whole(v).ok_or_else(|| E::invalid_value(Unexpected::Float(v), &self))
    }
}
