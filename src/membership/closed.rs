//! The closing record of a planned stop: what became of the job of every key that the process accepted.
//!
//! The record lists the keys as 64-bit hashes of their own ids, sorted by window and hash, in chunks that fit
//! the store's limit on a value. The head is written after the chunks, so a record is complete or absent.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use smol::Timer;

use crate::clock::Millis;
use crate::contain;
use crate::event;
use crate::job::{Closing, Incarnation, Key, Mark};
use crate::store::{Error, Store};

/// The most keys in a chunk.
const CHUNK_KEYS: usize = 24_000;

/// The size of a key's record in a chunk: 8 bytes of window, 8 of hash and 1 of mark.
const RECORD_BYTES: usize = 17;

/// How long a closing record is kept. After that the outcome of a resubmitted key is unknown.
const RETENTION: Millis = Millis::from_secs(2 * 60 * 60);

/// The shortest pause after a failed write. Jitter adds up to as much again.
const PAUSE: Millis = Millis(200);

/// What the closing record of a process says about a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lookup {
    /// The process accepted the key; the mark says what became of its job.
    Accepted(Mark),
    /// The process ended without having accepted the key, so it never ran the job and never will.
    NeverAccepted,
    /// The process dropped the key's window before it ended, so what became of the job is unknown.
    Dropped,
    /// There is no closing record: the process is still running, or it ended without writing one.
    NoRecord,
}

/// The head of a closing record, which is written after the chunks.
#[derive(Debug, Deserialize, Serialize)]
struct Head {
    /// The oldest window whose keys are listed.
    oldest: u64,
    /// The first key of each chunk.
    chunks: Vec<Position>,
}

/// The position of a key in the order of the record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
struct Position {
    window: u64,
    hash: u64,
}

impl Position {
    fn of(window: u64, own_id: &str) -> Self {
        let digest = Sha256::digest(own_id);
        let hash = digest[..8].iter().fold(0, |hash, &byte| hash << 8 | u64::from(byte));
        Self { window, hash }
    }
}

/// Writes the closing record, retrying until all of it is written. The caller limits the time.
///
/// The record is bound to a session that nobody renews, so that the store deletes it after `RETENTION`.
pub async fn write(store: &dyn Store, prefix: &str, incarnation: Incarnation, closing: &Closing) {
    let base = format!("{prefix}/closed/{incarnation}");
    let records =
        closing.keys.iter().map(|(window, own_id, mark)| (Position::of(*window, own_id), *mark));
    let mut records = records.collect::<Vec<_>>();
    records.sort_unstable_by_key(|(position, _)| *position);
    let mut session = None;
    let mut chunks = Vec::new();
    for (number, chunk) in records.chunks(CHUNK_KEYS).enumerate() {
        chunks.push(chunk[0].0);
        write_value(store, &mut session, &chunk_key(&base, number), encode(chunk)).await;
    }
    let head = Head { oldest: closing.oldest, chunks };
    let head = serde_json::to_vec(&head).expect("a closing record has string keys only");
    write_value(store, &mut session, &base, head).await;
    event!(info, "closing-record-written", keys = closing.keys.len());
}

async fn write_value(store: &dyn Store, session: &mut Option<String>, key: &str, value: Vec<u8>) {
    let mut failing = false;
    while let Err(error) = try_write(store, session, key, value.clone()).await {
        if !failing {
            event!(warn, "closing-record-failed", key = key, reason = error);
        }
        failing = true;
        let jitter = Millis(fastrand::u64(0..=PAUSE.0));
        Timer::after((PAUSE + jitter).duration()).await;
    }
}

/// Writes one value once. A key held by another session counts as written: an earlier try wrote the same value
/// and lost its session.
async fn try_write(
    store: &dyn Store,
    session: &mut Option<String>,
    key: &str,
    value: Vec<u8>,
) -> Result<(), Error> {
    let id = match session.take() {
        Some(id) => id,
        None => store.open_session(RETENTION).await?,
    };
    let written = store.acquire(key, value, &id).await;
    // Status 500 means that the store has lost the session, so the next try opens another one.
    if !matches!(written, Err(Error::Refused { status: 500, .. })) {
        *session = Some(id);
    }
    written.map(drop)
}

/// Looks `key` up in the closing record of the process that it names.
pub async fn lookup(store: &dyn Store, prefix: &str, key: &Key) -> Result<Lookup, Error> {
    let base = format!("{prefix}/closed/{}", key.prefix.incarnation);
    let Some(head) = store.get(&base).await? else { return Ok(Lookup::NoRecord) };
    let head = contain::json::<Head>(&head.value);
    let head =
        head.map_err(|error| Error::Unreadable(format!("closing record {base}: {error}")))?;
    if key.prefix.window < head.oldest {
        return Ok(Lookup::Dropped);
    }
    let position = Position::of(key.prefix.window, &key.suffix);
    // Equal positions may span two chunks, so the chunk before the first candidate is read too.
    let end = head.chunks.partition_point(|first| *first <= position);
    let start = head.chunks.partition_point(|first| *first < position).saturating_sub(1);
    let mut marks = Vec::new();
    for number in start..end {
        let chunk = store.get(&chunk_key(&base, number)).await?;
        let gone = || Error::Unreadable(format!("chunk {number} of closing record {base} is gone"));
        marks.extend(find(&chunk.ok_or_else(gone)?.value, position)?);
    }
    Ok(from_marks(&marks))
}

/// The result for the marks at one position. If keys of equal hash have different marks, the mark is unknown.
fn from_marks(marks: &[Mark]) -> Lookup {
    match marks {
        [] => Lookup::NeverAccepted,
        [first, rest @ ..] if rest.iter().all(|mark| mark == first) => Lookup::Accepted(*first),
        _ => Lookup::Accepted(Mark::Unknown),
    }
}

fn chunk_key(base: &str, number: usize) -> String {
    format!("{base}/{number:04}")
}

fn encode(records: &[(Position, Mark)]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(records.len() * RECORD_BYTES);
    for (position, mark) in records {
        bytes.extend(position.window.to_be_bytes());
        bytes.extend(position.hash.to_be_bytes());
        bytes.push(match mark {
            Mark::NotRun => 0,
            Mark::Ran => 1,
            Mark::Unknown => 2,
        });
    }
    bytes
}

/// Returns the marks of all keys at a position in a chunk.
fn find(chunk: &[u8], position: Position) -> Result<Vec<Mark>, Error> {
    let mut wanted = position.window.to_be_bytes().to_vec();
    wanted.extend(position.hash.to_be_bytes());
    let (records, rest) = chunk.as_chunks::<RECORD_BYTES>();
    if !rest.is_empty() {
        return Err(Error::Unreadable("a chunk of a closing record is truncated".to_owned()));
    }
    let start = records.partition_point(|record| record[..RECORD_BYTES - 1] < wanted[..]);
    let equal =
        records[start..].iter().take_while(|record| record[..RECORD_BYTES - 1] == wanted[..]);
    Ok(equal.map(|record| mark(record[RECORD_BYTES - 1])).collect())
}

const fn mark(byte: u8) -> Mark {
    match byte {
        0 => Mark::NotRun,
        1 => Mark::Ran,
        _ => Mark::Unknown,
    }
}
