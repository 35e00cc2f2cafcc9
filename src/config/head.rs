//! The head: which value each section has now, and the last changes. It alone moves.

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

/// How many changes move out of the head together, into one key of their own.
const CHUNK: u64 = 32;

/// The longest text that the head carries itself, in bytes.
const INLINE_MAX_BYTES: usize = 256;

/// The most changes in the head.
const RING_MAX: usize = 2 * CHUNK as usize;

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

/// What the head says of one section.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reference {
    /// The hash of its text; `None` once it was removed.
    pub hash: Option<Hash>,
    /// The section's own version, from 1.
    pub version: u64,
    /// The version of the whole document that its last change made.
    #[serde(rename = "changed")]
    pub document_version: u64,
    /// Who changed it last.
    pub who: String,
    /// When, since the Unix epoch.
    #[serde(rename = "at_unix_ms")]
    pub changed_at: Millis,
    /// The text itself if it is short, so that hundreds of small sections take no call each.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub inline: Option<Arc<str>>,
}

/// One accepted change: an entry of the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The version of the whole document that it made.
    pub version: u64,
    /// The id drawn by the one who asked for it.
    pub id: String,
    /// The section that it changed.
    pub section: Name,
    /// The section's own version that it made; the one before was the base.
    pub section_version: u64,
    /// The hash of the new text; `None` for a removal.
    pub hash: Option<Hash>,
    /// Who asked for it.
    pub who: String,
    /// When, since the Unix epoch.
    #[serde(rename = "at_unix_ms")]
    pub changed_at: Millis,
    /// Why.
    pub why: String,
}

/// The one value that decides which configuration is accepted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The version of the whole document; each change adds one.
    pub version: u64,
    /// Every section, removed ones too, so that their versions never go back.
    pub sections: BTreeMap<Name, Reference>,
    /// The last changes, oldest first.
    pub changes: VecDeque<Change>,
}

impl Head {
    /// The sections that are there.
    pub fn present(&self) -> impl Iterator<Item = (&Name, &Reference)> {
        self.sections.iter().filter(|(_, reference)| reference.hash.is_some())
    }

    /// A section's own version; 0 for one that never was.
    pub fn version_of(&self, name: &Name) -> u64 {
        self.sections.get(name).map_or(0, |reference| reference.version)
    }

    /// The change with this id, if it is among the last ones.
    pub fn find(&self, id: &str) -> Option<&Change> {
        self.changes.iter().find(|change| change.id == id)
    }

    /// Adds a change to `text`. The oldest chunk must have been moved out when it is due.
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

    /// The oldest changes, once they have to move to a key of their own.
    pub fn take_due(&mut self) -> Option<Chunk> {
        if self.changes.len() < RING_MAX {
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

/// Changes that have left the head, always the same ones for a number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Chunk {
    /// Which.
    pub number: u64,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}

impl Chunk {
    /// The chunk that the change to `version` belongs to.
    pub const fn number_of(version: u64) -> u64 {
        version.saturating_sub(1) / CHUNK
    }
}

/// A digest of all references, to check that a merge of news gave the very same state.
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

/// The keys of the configuration below an installation's prefix.
pub mod key {
    use super::Hash;

    /// Of the head.
    pub fn head(prefix: &str) -> String {
        format!("{prefix}/config/head")
    }

    /// Of a section's text.
    pub fn section(prefix: &str, hash: Hash) -> String {
        format!("{prefix}/config/section/{hash}")
    }

    /// Of a chunk of changes that left the head.
    pub fn chunk(prefix: &str, number: u64) -> String {
        format!("{prefix}/config/changes/{number:08}")
    }
}
