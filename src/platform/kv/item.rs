//! Items of the store, decoded one by one, so that an unreadable one does not hide the others.

use std::borrow::Cow;
use std::collections::BTreeMap;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::contain;
use crate::event;
use crate::store::{Entry, Error, Index};

/// A key as the store transmits it: written or, among changes, removed.
#[derive(Debug, Deserialize)]
pub(super) struct Item<'a> {
    #[serde(borrow)]
    key: Cow<'a, str>,
    /// The value in base64; none if the key was removed.
    #[serde(borrow, default)]
    value: Option<Cow<'a, str>>,
    /// The revision of the last change.
    #[serde(rename = "rev")]
    revision: Index,
    #[serde(default)]
    removed: bool,
}

/// The key of an item whose other fields may be unreadable.
#[derive(Debug, Deserialize)]
struct KeyOnly<'a> {
    #[serde(borrow)]
    key: Cow<'a, str>,
}

/// One page of a range read.
#[derive(Debug, Deserialize)]
pub(super) struct Page<'a> {
    #[serde(borrow)]
    pub items: Vec<&'a RawValue>,
    pub truncated: bool,
    #[serde(rename = "asOf")]
    pub revision: Index,
}

/// The response to a watch.
#[derive(Debug, Deserialize)]
pub(super) struct Changes<'a> {
    #[serde(borrow)]
    pub events: Vec<&'a RawValue>,
    /// The revision up to which `events` lists all changes.
    #[serde(rename = "asOf")]
    pub revision: Index,
}

/// All entries under a prefix at a revision, by key.
#[derive(Clone, Debug, Default)]
pub(super) struct Snapshot {
    pub revision: Index,
    pub entries: BTreeMap<String, Entry>,
}

impl Snapshot {
    /// Applies an item of a page or a list of changes, and returns its key. An unreadable item is logged, and removes
    /// the entry that its key had: what the key holds now is not known.
    pub fn apply(&mut self, raw: &RawValue) -> Option<String> {
        match decode(raw) {
            Ok(Change::Put(entry)) => {
                let key = entry.key.clone();
                self.entries.insert(key.clone(), entry);
                Some(key)
            }
            Ok(Change::Removed(key)) => {
                self.entries.remove(&key);
                Some(key)
            }
            Err(reason) => {
                let key = contain::json::<KeyOnly<'_>>(raw.get().as_bytes()).ok();
                let key = key.map(|item| item.key.into_owned());
                let shown = key.as_deref().unwrap_or("?");
                event!(warn, "item-unreadable", key = shown, reason = reason);
                if let Some(key) = &key {
                    self.entries.remove(key);
                }
                key
            }
        }
    }
}

/// What an item says of its key.
#[derive(Debug)]
enum Change {
    Put(Entry),
    Removed(String),
}

/// The error says why the item is unreadable.
fn decode(raw: &RawValue) -> Result<Change, Error> {
    let unreadable = |error: serde_json::Error| Error::Unreadable(error.to_string());
    let item = contain::json::<Item<'_>>(raw.get().as_bytes()).map_err(unreadable)?;
    if item.removed {
        return Ok(Change::Removed(item.key.into_owned()));
    }
    Entry::try_from(item).map(Change::Put)
}

impl TryFrom<Item<'_>> for Entry {
    type Error = Error;

    fn try_from(item: Item<'_>) -> Result<Self, Error> {
        let text = item.value.ok_or_else(|| Error::Unreadable("no value".to_owned()))?;
        let value = STANDARD.decode(text.as_bytes());
        let value = value.map_err(|error| Error::Unreadable(error.to_string()))?;
        Ok(Self { key: item.key.into_owned(), value, index: item.revision })
    }
}
