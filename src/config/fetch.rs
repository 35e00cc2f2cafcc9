//! Reads the head and the texts of sections from the store.

use std::fmt;
use std::sync::Arc;

use futures_util::stream::{self, StreamExt as _, TryStreamExt as _};

use crate::store::{self, Entry, Store};

use super::head::{self, Hash, Head, Reference, key};
use super::section::Name;
use super::snapshot::{Part, Snapshot, Update};

/// How many texts are read at once.
const READS_AT_ONCE: usize = 8;

/// Why the configuration can't be read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The store gave no answer.
    Store(store::Error),
    /// The head or a chunk of changes can't be read.
    Unreadable {
        /// The key.
        key: String,
        /// What is wrong.
        why: String,
    },
    /// A text that the head names is gone or damaged.
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
                write!(f, "section {name}: its text is gone from the store; apply it again")
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

/// Reads a head out of the store's entry; none stands for an empty configuration.
pub(super) fn parse_head(entry: Option<&Entry>) -> Result<Head, Error> {
    entry.map_or_else(|| Ok(Head::default()), |entry| parse(&entry.key, &entry.value))
}

/// Reads a JSON value.
pub(super) fn parse<T: serde::de::DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, Error> {
    let unreadable = |error: serde_json::Error| Error::Unreadable {
        key: key.to_owned(),
        why: error.to_string(),
    };
    serde_json::from_slice(value).map_err(unreadable)
}

/// Reads one text and checks it against its hash; `None` for a removed section.
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

/// The news that lead from `known` to `head`, reading only the texts that are neither there nor in
/// the head.
pub(super) async fn update(
    store: &dyn Store,
    prefix: &str,
    head: &Head,
    known: &Snapshot,
) -> Result<Update, Error> {
    let parts = head.sections.clone().into_iter().map(|(name, reference)| async move {
        let present = reference.hash.and_then(|hash| known.text_with(&name, hash));
        let text = match present {
            Some(text) => Some(Arc::clone(text)),
            None => text(store, prefix, &name, &reference).await?,
        };
        Ok::<_, Error>(Part { name, reference, text })
    });
    let parts = stream::iter(parts).buffered(READS_AT_ONCE).try_collect::<Vec<_>>().await?;
    let changes = head.changes.iter().cloned().collect();
    let digest = head::digest(&head.sections);
    Ok(Update { version: head.version, base: 0, digest, parts, changes })
}
