//! Reads the configuration's head and the texts of its sections from the store.

use std::fmt;
use std::sync::Arc;

use futures_util::stream::{self, StreamExt as _, TryStreamExt as _};

use crate::contain;
use crate::store::{self, Entry, Store};

use super::head::{self, Hash, Head, Reference, key};
use super::section::Name;
use super::snapshot::{Part, Snapshot, Update};

/// How many texts are read concurrently.
const CONCURRENT_READS: usize = 8;

/// Why the configuration can't be read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The call to the store failed.
    Store(store::Error),
    /// The head or a chunk of changes is not valid JSON of the expected form.
    Unreadable {
        /// The key in the store.
        key: String,
        /// The reason.
        why: String,
    },
    /// The text of a section that the head refers to is gone from the store or damaged.
    Missing(Name),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => error.fmt(f),
            Self::Unreadable { key, why } => {
                write!(f, "the value of {key} can't be read: {why}; check the store's prefix")
            }
            Self::Missing(name) => {
                write!(
                    f,
                    "the text of section {name} is gone from the store or damaged; apply that \
                     section again"
                )
            }
        }
    }
}

impl std::error::Error for Error {}

impl From<store::Error> for Error {
    fn from(error: store::Error) -> Self {
        Self::Store(error)
    }
}

/// Parses the head; without an entry the configuration is empty.
pub(super) fn parse_head(entry: Option<&Entry>) -> Result<Head, Error> {
    entry.map_or_else(|| Ok(Head::default()), |entry| parse(&entry.key, &entry.value))
}

/// Parses the JSON value of a key.
pub(super) fn parse<T: serde::de::DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, Error> {
    let unreadable = |error: serde_json::Error| Error::Unreadable {
        key: key.to_owned(),
        why: error.to_string(),
    };
    contain::json(value).map_err(unreadable)
}

/// Reads a section's text and checks it against its hash; `None` for a removed section.
pub(super) async fn text(
    store: &dyn Store,
    prefix: &str,
    name: &Name,
    reference: &Reference,
) -> Result<Option<Arc<str>>, Error> {
    let Some(hash) = reference.hash else { return Ok(None) };
    let text = if let Some(text) = &reference.inline {
        Some(Arc::clone(text))
    } else {
        let entry = store.get(&key::section(prefix, hash)).await?;
        entry.and_then(|entry| String::from_utf8(entry.value).ok()).map(Arc::from)
    };
    let text = text.filter(|text| Hash::of(text) == hash);
    text.map(Some).ok_or_else(|| Error::Missing(name.clone()))
}

/// Builds the update to `head`, reading only the texts that are neither in `known` nor in the head.
pub(super) async fn update(
    store: &dyn Store,
    prefix: &str,
    head: &Head,
    known: &Snapshot,
) -> Result<Update, Error> {
    let parts = head.sections.clone().into_iter().map(|(name, reference)| async move {
        let known_text = reference.hash.and_then(|hash| known.text_with(&name, hash));
        let text = match known_text {
            Some(text) => Some(Arc::clone(text)),
            None => text(store, prefix, &name, &reference).await?,
        };
        Ok::<_, Error>(Part { name, reference, text })
    });
    let parts = stream::iter(parts).buffered(CONCURRENT_READS).try_collect::<Vec<_>>().await?;
    let changes = head.changes.iter().cloned().collect();
    let digest = head::digest(&head.sections);
    Ok(Update { version: head.version, base: 0, digest, parts, changes })
}
