//! Serde adapters for times such as `2s`, sizes such as `64KiB` and servers as `http://IP:PORT`.

use std::fmt;
use std::net::SocketAddr;

use bytesize::ByteSize;
use serde::de::{self, Visitor};
use serde::{Deserializer, Serialize, Serializer};
use serde_with::{DeserializeAs, SerializeAs};

use crate::clock::Millis;

/// Formats a time as settings have it, such as `1m 30s`.
pub fn text(span: Millis) -> String {
    humantime::format_duration(span.duration()).to_string()
}

/// Serializes [`Millis`] as text such as `250ms`, `2s` or `1m`.
#[derive(Debug)]
pub struct Span;

impl Span {
    /// Parses a time with its unit. Returns `None` if `text` isn't one.
    pub fn parse(text: &str) -> Option<Millis> {
        humantime::parse_duration(text).ok().map(Millis::from)
    }
}

impl SerializeAs<Millis> for Span {
    fn serialize_as<S: Serializer>(value: &Millis, serializer: S) -> Result<S::Ok, S::Error> {
        text(*value).serialize(serializer)
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
                Span::parse(text).ok_or_else(|| E::invalid_value(de::Unexpected::Str(text), &self))
            }
        }
        deserializer.deserialize_str(Text)
    }
}

/// Deserializes a size in bytes from text such as `64KiB` or `4MiB`, or from a plain number of bytes.
/// Serializes it as a number of bytes.
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

/// Serializes the address of an HTTP server as `http://192.0.2.1:8500`.
#[derive(Debug)]
pub struct HttpAddress;

impl HttpAddress {
    /// Parses an address. The scheme and a final slash are optional. Returns `None` if `text` isn't one.
    pub fn parse(text: &str) -> Option<SocketAddr> {
        let rest = text.strip_prefix("http://").unwrap_or(text);
        rest.strip_suffix('/').unwrap_or(rest).parse().ok()
    }
}

impl SerializeAs<SocketAddr> for HttpAddress {
    fn serialize_as<S: Serializer>(value: &SocketAddr, serializer: S) -> Result<S::Ok, S::Error> {
        format!("http://{value}").serialize(serializer)
    }
}

impl<'de> DeserializeAs<'de, SocketAddr> for HttpAddress {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<SocketAddr, D::Error> {
        struct Text;
        impl Visitor<'_> for Text {
            type Value = SocketAddr;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a server by its IP address, such as http://192.0.2.1:8500")
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<SocketAddr, E> {
                HttpAddress::parse(text)
                    .ok_or_else(|| E::invalid_value(de::Unexpected::Str(text), &self))
            }
        }
        deserializer.deserialize_str(Text)
    }
}
