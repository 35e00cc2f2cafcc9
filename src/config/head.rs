//! The head: the current version of each section, and the last changes.
//!
//! It is the only value that changes: texts are stored under their hashes, and a chunk of old changes is
//! always the same.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest as _, Sha256};

use crate::clock::Millis;

use super::section::Name;

/// How many changes are moved from the head to a chunk at once.
const CHUNK_CHANGES: u64 = 32;

/// The longest text that the head holds inline, in bytes.
const INLINE_MAX_BYTES: usize = 256;

/// The number of changes in the head at which the oldest chunk is moved out.
const HEAD_CHANGES_MAX: usize = 2 * CHUNK_CHANGES as usize;

/// The SHA-256 of a section's text, as 43 characters of URL-safe base64.
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct Hash([u8; 32]);

impl Hash {
    /// The hash of `text`.
    pub fn of(text: &str) -> Self {
        Self(Sha256::digest(text).into())
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&URL_SAFE_NO_PAD.encode(self.0))
    }
}

impl FromStr for Hash {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bytes = URL_SAFE_NO_PAD.decode(text).ok();
        let bytes = bytes.and_then(|bytes| bytes.try_into().ok());
        bytes.map(Self).ok_or("a hash is 43 characters of URL-safe base64")
    }
}

/// The head's entry for one section.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reference {
    /// The hash of the section's text; `None` once the section is removed.
    pub hash: Option<Hash>,
    /// The section's own version, counted from 1.
    pub version: u64,
    /// The version of the whole document that the section's last change made.
    #[serde(rename = "changed")]
    pub document_version: u64,
    /// The operator who changed the section last.
    pub who: String,
    /// The time of the section's last change, since the Unix epoch.
    #[serde(rename = "at_unix_ms")]
    pub changed_at: Millis,
    /// The text itself if it is short, so that many small sections don't take a read each.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub inline: Option<Arc<str>>,
}

/// One accepted change: an entry of the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The version of the whole document that the change made.
    pub version: u64,
    /// The change's random id, drawn by the operator's tool.
    pub id: String,
    /// The section that was changed.
    pub section: Name,
    /// The section's own version that the change made.
    pub section_version: u64,
    /// The hash of the new text; `None` for a removal.
    pub hash: Option<Hash>,
    /// The operator who made the change.
    pub who: String,
    /// The time of the change, since the Unix epoch.
    #[serde(rename = "at_unix_ms")]
    pub changed_at: Millis,
    /// The operator's reason.
    pub why: String,
}

/// The value in the store that defines the accepted configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The version of the whole document. Each change adds one.
    pub version: u64,
    /// Every section, including removed ones, so that their versions never decrease.
    pub sections: BTreeMap<Name, Reference>,
    /// The last changes, oldest first.
    pub changes: VecDeque<Change>,
}

impl Head {
    /// The sections that are not removed.
    pub fn present(&self) -> impl Iterator<Item = (&Name, &Reference)> {
        self.sections.iter().filter(|(_, reference)| reference.hash.is_some())
    }

    /// A section's own version; 0 for one that never existed.
    pub fn version_of(&self, name: &Name) -> u64 {
        self.sections.get(name).map_or(0, |reference| reference.version)
    }

    /// The change with this id, if the head still holds it.
    pub fn find_change(&self, id: &str) -> Option<&Change> {
        self.changes.iter().find(|change| change.id == id)
    }

    /// Adds a change to `text`, or a removal.
    ///
    /// Call [`take_chunk`](Self::take_chunk) and store the chunk before, so that the head stays small.
    pub fn accept(&mut self, change: Change, text: Option<&str>) {
        self.version = change.version;
        let reference = Reference {
            hash: change.hash,
            version: change.section_version,
            document_version: change.version,
            who: change.who.clone(),
            changed_at: change.changed_at,
            inline: text.filter(|text| text.len() <= INLINE_MAX_BYTES).map(Arc::from),
        };
        self.sections.insert(change.section.clone(), reference);
        self.changes.push_back(change);
    }

    /// Removes the oldest changes if there are enough to store them as a chunk.
    pub fn take_chunk(&mut self) -> Option<Chunk> {
        if self.changes.len() < HEAD_CHANGES_MAX {
            return None;
        }
        let number = Chunk::number_of(self.changes.front()?.version);
        let mut changes = Vec::new();
        while self.changes.front().is_some_and(|change| Chunk::number_of(change.version) == number)
        {
            changes.extend(self.changes.pop_front());
        }
        Some(Chunk { number, changes })
    }
}

/// Changes that were moved out of the head. A chunk of a given number always holds the same changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Chunk {
    /// The number of the chunk, from 0.
    pub number: u64,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}

impl Chunk {
    /// The number of the chunk for the change that made `version` of the document.
    pub const fn number_of(version: u64) -> u64 {
        version.saturating_sub(1) / CHUNK_CHANGES
    }
}

/// A digest of all references, to check that an update led to the same state as at its sender.
pub fn digest(sections: &BTreeMap<Name, Reference>) -> Hash {
    let mut hasher = Sha256::new();
    for (name, reference) in sections {
        let hash = reference.hash.map(|hash| hash.to_string()).unwrap_or_default();
        hasher.update(format!(
            "{name} {} {} {hash}\n",
            reference.version, reference.document_version
        ));
    }
    Hash(hasher.finalize().into())
}

/// The keys of the configuration in the store, below an installation's prefix.
pub mod key {
    use super::Hash;

    /// The key of the head.
    pub fn head(prefix: &str) -> String {
        format!("{prefix}/config/head")
    }

    /// The key of a section's text.
    pub fn section(prefix: &str, hash: Hash) -> String {
        format!("{prefix}/config/section/{hash}")
    }

    /// The key of a chunk of changes.
    pub fn chunk(prefix: &str, number: u64) -> String {
        format!("{prefix}/config/changes/{number:08}")
    }
}
