//! The operators' access to the configuration: read it, change one section, read its history.

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

/// The longest pause between two tries to replace the head.
const PAUSE_MAX: Millis = Millis(200);

/// How many reads of a head older than the base it takes to report a conflict.
const LAGGING_READS_MAX: u32 = 20;

/// The largest document, in bytes. A VM that starts gets the whole document from a peer in one frame.
const DOCUMENT_MAX_BYTES: usize = 8 << 20;

/// The longest operator name, in bytes.
const WHO_MAX_BYTES: usize = 128;

/// The longest reason, in bytes.
const WHY_MAX_BYTES: usize = 512;

/// Where the configuration is stored.
#[derive(Clone, Copy, Debug)]
pub struct Location<'a> {
    /// The store.
    pub store: &'a dyn Store,
    /// The prefix of all the installation's keys.
    pub prefix: &'a str,
}

/// A section as last accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Section {
    /// The section's name.
    pub name: Name,
    /// The section's version, and who changed it last.
    pub reference: Reference,
    /// The section's YAML text.
    pub text: Arc<str>,
}

/// A requested change of one section.
#[derive(Clone, Copy, Debug)]
pub struct Edit<'a> {
    /// The name of the section to change.
    pub section: &'a Name,
    /// The section's own version that the change is based on; 0 for a new section.
    pub base: u64,
    /// The whole new YAML text; `None` to remove the section.
    pub text: Option<&'a str>,
    /// The operator who makes the change.
    pub who: &'a str,
    /// The operator's reason.
    pub why: &'a str,
}

/// Why a change was not accepted, or may not have been.
#[derive(Clone, Debug, PartialEq)]
pub enum Rejection {
    /// The document would be invalid. Nothing was changed.
    Invalid(Vec<Fault>),
    /// The section is no longer at the base version. Nothing was changed.
    Conflict {
        /// The name of the section.
        section: Name,
        /// The base version given.
        base: u64,
        /// The section's current version; `None` if it never existed.
        current: Option<Box<Reference>>,
    },
    /// The configuration could not be read or written. Nothing was changed.
    Failed(Error),
    /// Whether the change was accepted could not be determined in time.
    Unknown {
        /// The change's id, to look for in the history.
        change: String,
        /// The last error.
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
            Self::Conflict { section, base, current: Some(current) } => write!(
                f,
                "conflict: section {section} was changed to version {} by {} at {}, your base is \
                 {base}; get it, redo your change on it and apply with --base {}",
                current.version,
                current.who,
                audit::rfc3339(current.changed_at),
                current.version,
            ),
            Self::Failed(error) => write!(f, "nothing was changed: {error}"),
            Self::Unknown { change, last } => write!(
                f,
                "it is unknown whether the change was accepted: {last}; look for change {change} \
                 in the history before trying again"
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

/// Reads the version of the document and its sections, or only the section `only`.
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

/// Reads up to `count_max` accepted changes, newest first, of all sections or only of the section `only`.
pub async fn history(
    location: Location<'_>,
    only: Option<&Name>,
    count_max: usize,
) -> Result<Vec<Change>, Error> {
    let (head, _) = read_head(location).await?;
    let wanted = |change: &Change| only.is_none_or(|only| *only == change.section);
    let mut oldest = head.changes.front().map_or(0, |change| change.version);
    let mut changes = head.changes.into_iter().rev().filter(wanted).collect::<Vec<_>>();
    while changes.len() < count_max && oldest > 1 {
        let Some(chunk) = read_chunk(location, Chunk::number_of(oldest - 1)).await? else { break };
        oldest = chunk.changes.first().map_or(0, |change| change.version);
        changes.extend(chunk.changes.into_iter().rev().filter(wanted));
    }
    changes.truncate(count_max);
    Ok(changes)
}

/// Makes a change, trying for up to `timeout`, and returns it as accepted.
///
/// The section's text is written before the head, so that a change is accepted whole or not at all.
pub async fn apply(
    location: Location<'_>,
    edit: Edit<'_>,
    timeout: Millis,
) -> Result<Change, Rejection> {
    check_who_and_why(&edit)?;
    let body = edit.text.map(|text| Body::parse(edit.section, text)).transpose();
    let body = body.map_err(Rejection::Invalid)?;
    let id = draw_id();
    let mut transaction = Transaction {
        location,
        edit,
        body,
        id,
        unconfirmed: Vec::new(),
        lagging_reads: 0,
        text_written: false,
        bodies: BTreeMap::new(),
    };
    let clock = Clock::start();
    loop {
        let last = match transaction.try_commit().await {
            Ok(Some(change)) => return Ok(change),
            Ok(None) => None,
            Err(Rejection::Failed(Error::Store(error))) if is_transient(&error) => Some(error),
            Err(rejection) => return Err(rejection),
        };
        if clock.now() >= timeout {
            return Err(transaction.timed_out(last));
        }
        let pause = Millis(fastrand::u64(0..=PAUSE_MAX.0));
        Timer::after(pause.duration()).await;
    }
}

/// Whether another try may succeed: true except for calls that the store will always refuse.
const fn is_transient(error: &store::Error) -> bool {
    !matches!(error, store::Error::Refused { status: 400..429, .. })
}

struct Transaction<'a> {
    location: Location<'a>,
    edit: Edit<'a>,
    body: Option<Body>,
    id: String,
    /// The versions of the heads that were sent to the store for this change and may have been written.
    unconfirmed: Vec<u64>,
    lagging_reads: u32,
    text_written: bool,
    /// The parsed body and the text's size of each other section, kept between tries.
    bodies: BTreeMap<(Name, Option<Hash>), (Body, usize)>,
}

impl Transaction<'_> {
    /// Tries once to replace the head. `None` if another operator replaced it first or the store lags.
    async fn try_commit(&mut self) -> Result<Option<Change>, Rejection> {
        let (mut head, index) = read_head(self.location).await?;
        if let Some(change) = self.find_accepted(&head).await? {
            return Ok(Some(change));
        }
        if self.is_lagging(&head) {
            return Ok(None);
        }
        self.check_base(&head)?;
        self.check_merged(&head).await?;
        self.write_text().await?;
        if let Some(chunk) = head.take_chunk() {
            self.write_chunk(&chunk).await?;
        }
        let change = self.change(&head);
        head.accept(change.clone(), self.edit.text);
        self.replace_head(&head, index, change).await
    }

    /// Finds this change among the accepted ones, in the head or in the chunks moved out of it.
    async fn find_accepted(&self, head: &Head) -> Result<Option<Change>, Error> {
        if let Some(change) = head.find_change(&self.id) {
            return Ok(Some(change.clone()));
        }
        let oldest = head.changes.front().map_or(0, |change| change.version);
        for &version in self.unconfirmed.iter().filter(|&&version| version < oldest) {
            let chunk = read_chunk(self.location, Chunk::number_of(version)).await?;
            let mut changes = chunk.into_iter().flat_map(|chunk| chunk.changes);
            if let Some(change) = changes.find(|change| change.id == self.id) {
                return Ok(Some(change));
            }
        }
        Ok(None)
    }

    /// Whether the head that was read is older than the base, as from a store that lags.
    fn is_lagging(&mut self, head: &Head) -> bool {
        let lagging = head.version_of(self.edit.section) < self.edit.base;
        self.lagging_reads += u32::from(lagging);
        lagging && self.lagging_reads < LAGGING_READS_MAX
    }

    fn check_base(&self, head: &Head) -> Result<(), Rejection> {
        let Edit { section, base, text, .. } = self.edit;
        let present = head.present().any(|(name, _)| name == section);
        if text.is_none() && !present {
            let remedy = "there is no such section to remove; list the sections with config get";
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
        let is_current = |(name, hash): &(Name, Option<Hash>)| {
            head.sections.get(name).is_some_and(|reference| reference.hash == *hash)
        };
        self.bodies.retain(|key, _| is_current(key));
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
        let edited = self.body.iter().map(|body| (self.edit.section, body));
        section::merge(others.chain(edited)).map_err(Rejection::Invalid)?;
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

    async fn replace_head(
        &mut self,
        head: &Head,
        index: Option<Index>,
        change: Change,
    ) -> Result<Option<Change>, Rejection> {
        let value = json(head);
        if value.len() > TEXT_MAX_BYTES {
            let remedy = "there are too many sections; merge some of them";
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
                    self.unconfirmed.push(change.version);
                }
                Err(Error::Store(error).into())
            }
        }
    }

    fn timed_out(self, last: Option<store::Error>) -> Rejection {
        let last = last.unwrap_or_else(|| {
            store::Error::Unreachable(
                "the head kept changing or was older than the base".to_owned(),
            )
        });
        if self.unconfirmed.is_empty() {
            return Rejection::Failed(Error::Store(last));
        }
        Rejection::Unknown { change: self.id, last: Error::Store(last) }
    }
}

fn check_who_and_why(edit: &Edit<'_>) -> Result<(), Rejection> {
    let fields = [("who", edit.who, WHO_MAX_BYTES), ("why", edit.why, WHY_MAX_BYTES)];
    let is_invalid = |text: &str, bytes_max| text.trim().is_empty() || text.len() > bytes_max;
    let faults = fields.into_iter().filter(|(_, text, bytes_max)| is_invalid(text, *bytes_max));
    let faults = faults.map(|(field, text, bytes_max)| {
        let remedy = format!("give 1 to {bytes_max} bytes; the audit trail keeps it");
        Fault::new(field, format!("{text:?}"), remedy)
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
