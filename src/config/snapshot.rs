//! One version of the configuration, and the news that lead from one to another.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::settings::Fault;

use super::Document;
use super::head::{Change, Hash, Reference, digest};
use super::section::{self, Body, Name};

/// The most changes that a snapshot remembers.
const CHANGES_MAX: usize = 64;

/// A whole configuration as it is or was in force.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The version; 0 before any configuration is known.
    pub version: u64,
    /// All sections together.
    pub document: Arc<Document>,
    /// What is known of each section, removed ones too.
    pub sections: BTreeMap<Name, Reference>,
    /// The last changes, oldest first.
    pub changes: Vec<Change>,
    values: BTreeMap<Name, Arc<Value>>,
}

/// A section's text with what was read from it.
#[derive(Debug)]
struct Value {
    text: Arc<str>,
    body: Body,
}

/// One section in the news.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Part {
    /// Which.
    pub name: Name,
    /// Its version and hash.
    pub reference: Reference,
    /// Its text, unless the reference carries it or it was removed.
    pub text: Option<Arc<str>>,
}

/// What has changed since a base, for those who have that base or a later version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Update {
    /// The version that it leads to.
    pub version: u64,
    /// The lowest version that it leads from; 0 for a whole state.
    pub base: u64,
    /// The digest of all sections at `version`.
    pub digest: Hash,
    /// The sections whose last change came after `base`.
    pub parts: Vec<Part>,
    /// The last changes after `base`, oldest first; longer ago ones may be missing.
    pub changes: Vec<Change>,
}

/// Why an update was not taken. The old version stays in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It leads from a later version than the one held.
    Gap {
        /// The version to ask for the news since.
        held: u64,
    },
    /// A text is missing or is not the one that its hash names.
    Damaged(Name),
    /// The sections don't add up to the state that the update claims.
    Mismatch,
    /// The document breaks a rule of this version of the program.
    Invalid(Vec<Fault>),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { held } => write!(f, "news are missing; ask for those since {held}"),
            Self::Damaged(name) => {
                write!(f, "the text of {name} does not match its hash; apply that section again")
            }
            Self::Mismatch => {
                f.write_str("the sections don't match the digest; ask another source")
            }
            Self::Invalid(faults) => {
                let faults = faults.iter().map(ToString::to_string).collect::<Vec<_>>();
                write!(f, "invalid: {}; update this VM's program", faults.join(" / "))
            }
        }
    }
}

impl std::error::Error for Refusal {}

impl Default for Snapshot {
    fn default() -> Self {
        Self::of_document(Document::default())
    }
}

impl Snapshot {
    /// A document without a store behind it, as version 0.
    pub fn of_document(document: Document) -> Self {
        Self {
            version: 0,
            document: Arc::new(document),
            sections: BTreeMap::new(),
            changes: Vec::new(),
            values: BTreeMap::new(),
        }
    }

    /// The text of a section.
    pub fn text(&self, name: &Name) -> Option<&Arc<str>> {
        self.values.get(name).map(|value| &value.text)
    }

    /// The text that has this hash in the section named.
    pub(super) fn text_with(&self, name: &Name, hash: Hash) -> Option<&Arc<str>> {
        let held = self.sections.get(name)?.hash?;
        self.text(name).filter(|_| held == hash)
    }

    /// The news since `base`. From 0, the whole state.
    pub fn since(&self, base: u64) -> Update {
        let base = base.min(self.version);
        let parts = self.sections.iter().filter(|(_, reference)| reference.document_version > base);
        let parts = parts.map(|(name, reference)| Part {
            name: name.clone(),
            reference: reference.clone(),
            text: self.text(name).filter(|_| reference.inline.is_none()).cloned(),
        });
        let changes = self.changes.iter().filter(|change| change.version > base);
        Update {
            version: self.version,
            base,
            digest: digest(&self.sections),
            parts: parts.collect(),
            changes: changes.cloned().collect(),
        }
    }

    /// The state that `update` leads to from here, checked whole.
    pub fn apply(&self, update: Update) -> Result<Self, Refusal> {
        if update.base > self.version {
            return Err(Refusal::Gap { held: self.version });
        }
        let (mut sections, mut values) = match update.base {
            0 => (BTreeMap::new(), BTreeMap::new()),
            _ => (self.sections.clone(), self.values.clone()),
        };
        for part in update.parts {
            let Part { name, reference, text } = part;
            match self.value(&name, &reference, text)? {
                Some(value) => drop(values.insert(name.clone(), value)),
                None => drop(values.remove(&name)),
            }
            sections.insert(name, reference);
        }
        if digest(&sections) != update.digest {
            return Err(Refusal::Mismatch);
        }
        let bodies = values.iter().map(|(name, value)| (name, &value.body));
        let document = Arc::new(section::merge(bodies).map_err(Refusal::Invalid)?);
        let changes = self.changes_with(update.changes);
        Ok(Self { version: update.version, document, sections, changes, values })
    }

    fn changes_with(&self, news: Vec<Change>) -> Vec<Change> {
        let oldest = news.first().map_or(u64::MAX, |change| change.version);
        let known = self.changes.iter().filter(|change| change.version < oldest);
        let mut changes = known.cloned().chain(news).collect::<Vec<_>>();
        let surplus = changes.len().saturating_sub(CHANGES_MAX);
        changes.drain(..surplus);
        changes
    }

    fn value(
        &self,
        name: &Name,
        reference: &Reference,
        text: Option<Arc<str>>,
    ) -> Result<Option<Arc<Value>>, Refusal> {
        let Some(hash) = reference.hash else { return Ok(None) };
        if self.text_with(name, hash).is_some() {
            return Ok(self.values.get(name).cloned());
        }
        let text = text.or_else(|| reference.inline.clone());
        let text = text.filter(|text| Hash::of(text) == hash);
        let text = text.ok_or_else(|| Refusal::Damaged(name.clone()))?;
        let body = Body::parse(name, &text).map_err(Refusal::Invalid)?;
        Ok(Some(Arc::new(Value { text, body })))
    }
}
