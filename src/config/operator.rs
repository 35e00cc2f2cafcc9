//! What operators do with the configuration: read it, change one section, read its history.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use smol::Timer;

use crate::audit;
use crate::clock::{Clock, Millis};
use crate::settings::Fault;
use crate::store::{self, Condition, Index, Store};

use super::fetch;
use super::head::{Change, Chunk, Hash, Head, Reference, key};
use super::section::{self, Body, Name, TEXT_MAX_BYTES};

pub use super::fetch::Error;

/// The longest pause between two attempts to move the head.
const PAUSE_MAX: Millis = Millis(200);

/// How often a head that lags behind the base is read again before that counts as a conflict.
const LAGS_MAX: u32 = 20;

/// The largest document, in bytes; a VM that starts anew takes it from a peer in one frame.
const DOCUMENT_MAX_BYTES: usize = 8 << 20;

/// The longest name of an operator, in bytes.
const WHO_MAX_BYTES: usize = 128;

/// The longest reason, in bytes.
const WHY_MAX_BYTES: usize = 512;

/// Where the configuration is kept.
#[derive(Clone, Copy, Debug)]
pub struct Location<'a> {
    /// The store.
    pub store: &'a dyn Store,
    /// What all keys of the installation start with.
    pub prefix: &'a str,
}

/// A section as it was accepted last.
#[derive(Clone, Debug, PartialEq)]
pub struct Section {
    /// Its name.
    pub name: Name,
    /// Its version, and who changed it last.
    pub reference: Reference,
    /// Its text.
    pub text: Arc<str>,
}

/// A change to ask for.
#[derive(Clone, Copy, Debug)]
pub struct Edit<'a> {
    /// The section.
    pub section: &'a Name,
    /// The section's own version that the change starts from; 0 for one that is new.
    pub base: u64,
    /// The whole new YAML text; `None` to remove the section.
    pub text: Option<&'a str>,
    /// Who asks.
    pub who: &'a str,
    /// Why.
    pub why: &'a str,
}

/// Why a change was not accepted, or may not have been.
#[derive(Clone, Debug, PartialEq)]
pub enum Rejection {
    /// The document would be invalid. Nothing was changed.
    Invalid(Vec<Fault>),
    /// The section has moved on from the base. Nothing was changed.
    Conflict {
        /// The section.
        section: Name,
        /// The version that was named as the base.
        base: u64,
        /// What the section is at now; `None` if it never was.
        current: Option<Box<Reference>>,
    },
    /// The configuration could not be read or written. Nothing was changed.
    Failed(Error),
    /// The outcome could not be learnt in time.
    Unknown {
        /// The id to look for in the history.
        change: String,
        /// What went wrong last.
        last: Error,
    },
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(faults) => {
                let faults = faults.iter().map(ToString::to_string).collect::<Vec<_>>();
                f.write_str(&faults.join("\n"))
            }
            Self::Conflict { section, base, current: None } => write!(
                f,
                "conflict: section {section} does not exist, so it can't be at version {base}; \
                 use --base 0 to create it"
            ),
            Self::Conflict { section, base, current: Some(now) } => write!(
                f,
                "conflict: section {section} was changed to version {} by {} at {}, your base is \
                 {base}; get it, redo your change on it and apply with --base {}",
                now.version,
                now.who,
                audit::rfc3339(now.changed_at),
                now.version,
            ),
            Self::Failed(error) => write!(f, "nothing was changed: {error}"),
            Self::Unknown { change, last } => write!(
                f,
                "the outcome is unknown: {last}; look for change {change} in the history before \
                 trying again"
            ),
        }
    }
}

impl std::error::Error for Rejection {}

impl From<Error> for Rejection {
    fn from(error: Error) -> Self {
        Self::Failed(error)
    }
}

/// Reads the sections that are there, or only the one named, with the version of the whole.
pub async fn get(
    location: Location<'_>,
    only: Option<&Name>,
) -> Result<(u64, Vec<Section>), Error> {
    let (head, _) = read_head(location).await?;
    let mut sections = Vec::new();
    for (name, reference) in &head.sections {
        if only.is_some_and(|only| only != name) {
            continue;
        }
        let text = fetch::text(location.store, location.prefix, name, reference).await?;
        let Some(text) = text else { continue };
        sections.push(Section { name: name.clone(), reference: reference.clone(), text });
    }
    Ok((head.version, sections))
}

/// Reads up to `most` accepted changes, the newest first, of all sections or of the one named.
pub async fn history(
    location: Location<'_>,
    only: Option<&Name>,
    most: usize,
) -> Result<Vec<Change>, Error> {
    let (head, _) = read_head(location).await?;
    let wanted = |change: &Change| only.is_none_or(|only| *only == change.section);
    let mut oldest = head.changes.front().map_or(0, |change| change.version);
    let mut found = head.changes.into_iter().rev().filter(wanted).collect::<Vec<_>>();
    while found.len() < most && oldest > 1 {
        let Some(chunk) = read_chunk(location, Chunk::number_of(oldest - 1)).await? else { break };
        oldest = chunk.changes.first().map_or(0, |change| change.version);
        found.extend(chunk.changes.into_iter().rev().filter(wanted));
    }
    found.truncate(most);
    Ok(found)
}

/// Asks for a change and stays at it for up to `patience`. Gives the accepted change.
///
/// The section's text is written first, the head last, so a change is in force whole or not at all.
pub async fn apply(
    location: Location<'_>,
    edit: Edit<'_>,
    patience: Millis,
) -> Result<Change, Rejection> {
    check_notes(&edit)?;
    let body = edit.text.map(|text| Body::parse(edit.section, text)).transpose();
    let body = body.map_err(Rejection::Invalid)?;
    let id = draw_id();
    let mut attempt = Attempt {
        location,
        edit,
        body,
        id,
        tried: Vec::new(),
        lags: 0,
        text_written: false,
        bodies: BTreeMap::new(),
    };
    let clock = Clock::start();
    loop {
        let last = match attempt.once().await {
            Ok(Some(change)) => return Ok(change),
            Ok(None) => None,
            Err(Rejection::Failed(Error::Store(error))) if is_passing(&error) => Some(error),
            Err(rejection) => return Err(rejection),
        };
        if clock.now() >= patience {
            return Err(attempt.give_up(last));
        }
        let pause = Millis(fastrand::u64(0..=PAUSE_MAX.0));
        Timer::after(pause.duration()).await;
    }
}

/// Whether another try may help: all but a call that the store will always refuse.
const fn is_passing(error: &store::Error) -> bool {
    !matches!(error, store::Error::Refused { status: 400..429, .. })
}

struct Attempt<'a> {
    location: Location<'a>,
    edit: Edit<'a>,
    body: Option<Body>,
    id: String,
    /// Versions that were written for this change without an answer.
    tried: Vec<u64>,
    lags: u32,
    text_written: bool,
    bodies: BTreeMap<(Name, Option<Hash>), (Body, usize)>,
}

impl Attempt<'_> {
    /// One try to move the head. `None` if it moved under our hands or may have been written.
    async fn once(&mut self) -> Result<Option<Change>, Rejection> {
        let (mut head, index) = read_head(self.location).await?;
        if let Some(change) = self.settled(&head).await? {
            return Ok(Some(change));
        }
        if self.is_behind(&head) {
            return Ok(None);
        }
        self.check_base(&head)?;
        self.check_merged(&head).await?;
        self.write_text().await?;
        if let Some(chunk) = head.take_due() {
            self.write_chunk(&chunk).await?;
        }
        let change = self.change(&head);
        head.accept(change.clone(), self.edit.text);
        self.move_head(&head, index, change).await
    }

    /// Finds this change among the accepted ones, in the head or in what left it.
    async fn settled(&self, head: &Head) -> Result<Option<Change>, Error> {
        if let Some(change) = head.find(&self.id) {
            return Ok(Some(change.clone()));
        }
        let oldest = head.changes.front().map_or(0, |change| change.version);
        for &version in self.tried.iter().filter(|&&version| version < oldest) {
            let chunk = read_chunk(self.location, Chunk::number_of(version)).await?;
            let mut changes = chunk.into_iter().flat_map(|chunk| chunk.changes);
            if let Some(change) = changes.find(|change| change.id == self.id) {
                return Ok(Some(change));
            }
        }
        Ok(None)
    }

    /// Whether the head read is older than the base, as from a store that answers late.
    fn is_behind(&mut self, head: &Head) -> bool {
        let behind = head.version_of(self.edit.section) < self.edit.base;
        self.lags += u32::from(behind);
        behind && self.lags < LAGS_MAX
    }

    fn check_base(&self, head: &Head) -> Result<(), Rejection> {
        let Edit { section, base, text, .. } = self.edit;
        let present = head.present().any(|(name, _)| name == section);
        if text.is_none() && !present {
            let remedy = "there is no such section to remove; see config get for those there are";
            return Err(Rejection::Invalid(vec![Fault::new("section", section, remedy)]));
        }
        if head.version_of(section) == base {
            return Ok(());
        }
        let current = head.sections.get(section).cloned().map(Box::new);
        Err(Rejection::Conflict { section: section.clone(), base, current })
    }

    async fn check_merged(&mut self, head: &Head) -> Result<(), Rejection> {
        let Location { store, prefix } = self.location;
        let others = head.present().filter(|(name, _)| *name != self.edit.section);
        let others = others.collect::<Vec<_>>();
        let is_there = |(name, hash): &(Name, Option<Hash>)| {
            head.sections.get(name).is_some_and(|reference| reference.hash == *hash)
        };
        self.bodies.retain(|key, _| is_there(key));
        for (name, reference) in others {
            let key = (name.clone(), reference.hash);
            if self.bodies.contains_key(&key) {
                continue;
            }
            let text = fetch::text(store, prefix, name, reference).await?.unwrap_or_default();
            let body = Body::parse(name, &text).map_err(Rejection::Invalid)?;
            self.bodies.insert(key, (body, text.len()));
        }
        let others = self.bodies.iter().map(|((name, _), (body, _))| (name, body));
        let own = self.body.iter().map(|body| (self.edit.section, body));
        section::merge(others.chain(own)).map_err(Rejection::Invalid)?;
        self.check_size()
    }

    fn check_size(&self) -> Result<(), Rejection> {
        let others = self.bodies.values().map(|(_, bytes)| bytes).sum::<usize>();
        let bytes = others + self.edit.text.map_or(0, str::len);
        if bytes <= DOCUMENT_MAX_BYTES {
            return Ok(());
        }
        let remedy = format!("keep all sections together within {DOCUMENT_MAX_BYTES} bytes");
        Err(Rejection::Invalid(vec![Fault::new("document", format!("{bytes} bytes"), remedy)]))
    }

    async fn write_text(&mut self) -> Result<(), Error> {
        if let (Some(text), false) = (self.edit.text, self.text_written) {
            let key = key::section(self.location.prefix, Hash::of(text));
            self.location.store.put(&key, text.into(), Condition::Always).await?;
        }
        self.text_written = true;
        Ok(())
    }

    async fn write_chunk(&self, chunk: &Chunk) -> Result<(), Error> {
        let key = key::chunk(self.location.prefix, chunk.number);
        self.location.store.put(&key, json(chunk), Condition::Always).await?;
        Ok(())
    }

    fn change(&self, head: &Head) -> Change {
        let Edit { section, base, text, who, why } = self.edit;
        Change {
            version: head.version + 1,
            id: self.id.clone(),
            section: section.clone(),
            section_version: base + 1,
            hash: text.map(Hash::of),
            who: who.to_owned(),
            changed_at: Millis::since_epoch(),
            why: why.to_owned(),
        }
    }

    async fn move_head(
        &mut self,
        head: &Head,
        index: Option<Index>,
        change: Change,
    ) -> Result<Option<Change>, Rejection> {
        let value = json(head);
        if value.len() > TEXT_MAX_BYTES {
            let remedy = "there are too many sections; put some of them together";
            let size = format!("{} bytes", value.len());
            return Err(Rejection::Invalid(vec![Fault::new("head", size, remedy)]));
        }
        let key = key::head(self.location.prefix);
        let condition = index.map_or(Condition::Absent, Condition::Unchanged);
        match self.location.store.put(&key, value, condition).await {
            Ok(true) => Ok(Some(change)),
            Ok(false) => Ok(None),
            Err(error) => {
                if error.may_have_written() {
                    self.tried.push(change.version);
                }
                Err(Error::Store(error).into())
            }
        }
    }

    fn give_up(self, last: Option<store::Error>) -> Rejection {
        let last = last.unwrap_or_else(|| {
            store::Error::Unreachable("the head kept moving or lagging".to_owned())
        });
        if self.tried.is_empty() {
            return Rejection::Failed(Error::Store(last));
        }
        Rejection::Unknown { change: self.id, last: Error::Store(last) }
    }
}

fn check_notes(edit: &Edit<'_>) -> Result<(), Rejection> {
    let notes = [("who", edit.who, WHO_MAX_BYTES), ("why", edit.why, WHY_MAX_BYTES)];
    let unfit = |note: &str, most| note.trim().is_empty() || note.len() > most;
    let faults = notes.into_iter().filter(|(_, note, most)| unfit(note, *most));
    let faults = faults.map(|(field, note, most)| {
        let remedy = format!("give 1 to {most} bytes; the audit trail keeps it");
        Fault::new(field, format!("{note:?}"), remedy)
    });
    let faults = faults.collect::<Vec<_>>();
    if faults.is_empty() { Ok(()) } else { Err(Rejection::Invalid(faults)) }
}

async fn read_head(location: Location<'_>) -> Result<(Head, Option<Index>), Error> {
    let entry = location.store.get(&key::head(location.prefix)).await?;
    let head = fetch::parse_head(entry.as_ref())?;
    Ok((head, entry.map(|entry| entry.index)))
}

async fn read_chunk(location: Location<'_>, number: u64) -> Result<Option<Chunk>, Error> {
    let key = key::chunk(location.prefix, number);
    let entry = location.store.get(&key).await?;
    entry.map(|entry| fetch::parse(&key, &entry.value)).transpose()
}

fn json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("the head and its changes have string keys only")
}

fn draw_id() -> String {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).expect("the system's random source must be readable");
    format!("{:032x}", u128::from_be_bytes(bytes))
}
