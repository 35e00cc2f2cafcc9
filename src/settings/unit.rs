//! Adapters that write times as `2s` and sizes as `64KiB`.

use std::fmt;

use bytesize::ByteSize;
use serde::de::{self, Visitor};
use serde::{Deserializer, Serialize, Serializer};
use serde_with::{DeserializeAs, SerializeAs};

use crate::clock::Millis;

/// Reads and writes [`Millis`] as `250ms`, `2s` or `1m`.
#[derive(Debug)]
pub struct Span;

impl SerializeAs<Millis> for Span {
    fn serialize_as<S: Serializer>(value: &Millis, serializer: S) -> Result<S::Ok, S::Error> {
        humantime::format_duration(value.duration()).to_string().serialize(serializer)
    }
}

impl<'de> DeserializeAs<'de, Millis> for Span {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Millis, D::Error> {
        struct Text;
        impl Visitor<'_> for Text {
            type Value = Millis;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a time with its unit, such as 250ms, 2s or 1m")
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<Millis, E> {
                let span = humantime::parse_duration(text);
                span.map(Millis::from)
                    .map_err(|_| E::invalid_value(de::Unexpected::Str(text), &self))
            }
        }
        deserializer.deserialize_str(Text)
    }
}

/// Reads and writes bytes as `64KiB` or `4MiB`; a bare number is a number of bytes.
#[derive(Debug)]
pub struct Size;

impl SerializeAs<u64> for Size {
    fn serialize_as<S: Serializer>(value: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(*value)
    }
}

impl<'de> DeserializeAs<'de, u64> for Size {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        struct Text;
        impl Visitor<'_> for Text {
            type Value = u64;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a size with its unit, such as 64KiB or 4MiB")
            }

            fn visit_u64<E: de::Error>(self, bytes: u64) -> Result<u64, E> {
                Ok(bytes)
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<u64, E> {
                let size = text.parse::<ByteSize>();
                size.map(|size| size.0)
                    .map_err(|_| E::invalid_value(de::Unexpected::Str(text), &self))
            }
        }
        deserializer.deserialize_any(Text)
    }
}
