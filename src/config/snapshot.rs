//! One version of the configuration, and the updates that lead from one version to another.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::settings::Fault;

use super::Document;
use super::head::{Change, Hash, Reference, digest};
use super::section::{self, Body, Name};

/// The most changes that a snapshot lists.
const CHANGES_MAX: usize = 64;

/// One version of the whole configuration.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The version of the document; 0 before any configuration is known.
    pub version: u64,
    /// All sections merged.
    pub document: Arc<Document>,
    /// The head's entry for each section, including removed ones.
    pub sections: BTreeMap<Name, Reference>,
    /// The last changes up to this version, oldest first.
    pub changes: Vec<Change>,
    /// The text and the body of each section that is not removed.
    values: BTreeMap<Name, Arc<Value>>,
}

/// A section's text with the body parsed from it.
#[derive(Debug)]
struct Value {
    text: Arc<str>,
    body: Body,
}

/// One section in an update.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Part {
    /// The section's name.
    pub name: Name,
    /// The section's version and hash.
    pub reference: Reference,
    /// The section's text; `None` if the reference holds it inline or the section is removed.
    pub text: Option<Arc<str>>,
}

/// What has changed since a base version, for a VM that has the base or a later version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Update {
    /// The version that the update leads to.
    pub version: u64,
    /// The lowest version that the update can be applied to; 0 if it holds the whole document.
    pub base: u64,
    /// The digest of all sections at `version`.
    pub digest: Hash,
    /// The sections that were changed after `base`.
    pub parts: Vec<Part>,
    /// The last changes after `base`, oldest first. Older ones may be missing.
    pub changes: Vec<Change>,
}

/// Why an update was refused. The previous version stays in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The update starts from a later version than the current one.
    Gap {
        /// The current version, to request an update from.
        current: u64,
    },
    /// The text of this section is missing or doesn't match its hash.
    Damaged(Name),
    /// The sections don't match the digest in the update.
    Mismatch,
    /// The document breaks a rule of this version of the program.
    Invalid(Vec<Fault>),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { current } => {
                write!(
                    f,
                    "the update starts after version {current}; request the one from {current}"
                )
            }
            Self::Damaged(name) => {
                write!(
                    f,
                    "the text of section {name} is missing or doesn't match its hash; apply that \
                     section again"
                )
            }
            Self::Mismatch => f.write_str(
                "the sections don't match the update's digest; request it from another source",
            ),
            Self::Invalid(faults) => {
                let faults = faults.iter().map(ToString::to_string).collect::<Vec<_>>();
                write!(
                    f,
                    "invalid in this release: {}; update this VM's program",
                    faults.join(" / ")
                )
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
    /// A document that doesn't come from a store, as version 0.
    pub fn of_document(document: Document) -> Self {
        Self {
            version: 0,
            document: Arc::new(document),
            sections: BTreeMap::new(),
            changes: Vec::new(),
            values: BTreeMap::new(),
        }
    }

    /// The YAML text of a section; `None` if there is no such section.
    pub fn text(&self, name: &Name) -> Option<&Arc<str>> {
        self.values.get(name).map(|value| &value.text)
    }

    /// The text of a section if it has this hash.
    pub(super) fn text_with(&self, name: &Name, hash: Hash) -> Option<&Arc<str>> {
        let current = self.sections.get(name)?.hash?;
        self.text(name).filter(|_| current == hash)
    }

    /// The update from version `base` to this one; from 0 it holds the whole document.
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

    /// Applies `update` to this version, and validates the resulting document.
    pub fn apply(&self, update: Update) -> Result<Self, Refusal> {
        if update.base > self.version {
            return Err(Refusal::Gap { current: self.version });
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

    fn changes_with(&self, new: Vec<Change>) -> Vec<Change> {
        let oldest = new.first().map_or(u64::MAX, |change| change.version);
        let known = self.changes.iter().filter(|change| change.version < oldest);
        let mut changes = known.cloned().chain(new).collect::<Vec<_>>();
        let surplus = changes.len().saturating_sub(CHANGES_MAX);
        changes.drain(..surplus);
        changes
    }

    /// The value that `reference` stands for, reusing the current one if its text is the same.
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
