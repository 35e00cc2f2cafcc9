//! Idempotency keys. The first part of a key names the only process that may start the key's job.

use std::fmt;
use std::str::FromStr;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Maximum length of a key, in bytes.
const KEY_MAX_BYTES: usize = 256;

/// A random 128-bit id that distinguishes one run of a process from all others, past and future.
///
/// Its text form is 22 characters of URL-safe base64.
#[derive(
    Clone, Copy, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct Incarnation(pub u128);

impl Incarnation {
    /// Generates an incarnation. Panics if the operating system's random source can't be read.
    pub fn random() -> Self {
        let mut bytes = [0; 16];
        getrandom::fill(&mut bytes).expect("the system's random source must be readable");
        Self(u128::from_be_bytes(bytes))
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&URL_SAFE_NO_PAD.encode(self.0.to_be_bytes()))
    }
}

impl fmt::Debug for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Incarnation {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| KeyError::Incarnation)?;
        let bytes = <[u8; 16]>::try_from(bytes).map_err(|_| KeyError::Incarnation)?;
        Ok(Self(u128::from_be_bytes(bytes)))
    }
}

/// The part of a key that a process issues: its incarnation and its current window.
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct Prefix {
    /// Incarnation of the only process that may start jobs under keys with this prefix.
    pub incarnation: Incarnation,
    /// Index of the window of that process's time in which the prefix was issued; see
    /// [`Windows`](super::Windows).
    pub window: u64,
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.incarnation, self.window)
    }
}

impl FromStr for Prefix {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let (incarnation, window) = text.split_once('.').ok_or(KeyError::Shape)?;
        let window = window.parse().map_err(|_| KeyError::Window)?;
        Ok(Self { incarnation: incarnation.parse()?, window })
    }
}

/// An idempotency key: a prefix that a process issued and a suffix that the caller chose.
///
/// Its text form is `<incarnation>.<window>.<suffix>`, at most 256 visible ASCII characters.
#[derive(
    Clone, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct Key {
    /// Names the process that may start the key's job, and the window.
    pub prefix: Prefix,
    /// The caller's id of the job, unique within the prefix.
    pub suffix: String,
}

impl Key {
    /// Whether `text` has the length and the characters of a key: 1 to 256 visible ASCII characters. It may
    /// lack the parts of a key.
    pub fn is_valid_text(text: &str) -> bool {
        !text.is_empty()
            && text.len() <= KEY_MAX_BYTES
            && text.bytes().all(|byte| byte.is_ascii_graphic())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.prefix, self.suffix)
    }
}

impl FromStr for Key {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        if !Self::is_valid_text(text) {
            return Err(KeyError::Text);
        }
        let mut parts = text.splitn(3, '.');
        let incarnation = parts.next().ok_or(KeyError::Shape)?.parse()?;
        let window = parts.next().ok_or(KeyError::Shape)?;
        let window = window.parse().map_err(|_| KeyError::Window)?;
        let suffix = parts.next().filter(|suffix| !suffix.is_empty()).ok_or(KeyError::Shape)?;
        Ok(Self { prefix: Prefix { incarnation, window }, suffix: suffix.to_owned() })
    }
}

/// Why a text is not a valid key, prefix or incarnation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyError {
    /// The text is empty, longer than 256 bytes, or has a character that is not visible ASCII.
    Text,
    /// The text lacks one of the parts, which are separated by dots.
    Shape,
    /// The first part is not an incarnation.
    Incarnation,
    /// The second part is not the index of a window.
    Window,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Text => "a key is 1 to 256 visible ASCII characters; shorten or re-encode it",
            Self::Shape => "a key is <prefix>.<your id>; get a prefix from POST /v1/keys",
            Self::Incarnation => {
                "the key's first part is not an incarnation; get a prefix from POST /v1/keys"
            }
            Self::Window => {
                "the key's second part is not a window; get a prefix from POST /v1/keys"
            }
        })
    }
}

impl std::error::Error for KeyError {}
