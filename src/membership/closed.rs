//! The closing record of a planned stop: what became of every key that the process accepted.
//!
//! Own ids are kept as 64-bit hashes, sorted by window and hash, in chunks below the store's limit. The
//! chunks are written first and the head last, so a record is there whole or not at all.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use smol::Timer;

use crate::clock::Millis;
use crate::event;
use crate::job::{Closing, Incarnation, Key, Mark};
use crate::store::{Error, Store};

/// How many keys a chunk holds.
const CHUNK_KEYS: usize = 24_000;

/// The bytes of one key in a chunk: window, hash and mark.
const RECORD_BYTES: usize = 17;

/// How long a record is kept. Without one a resubmission is told that its outcome is unknown.
const KEPT: Millis = Millis::from_secs(2 * 60 * 60);

/// The pause after a write that failed, before jitter of as much again.
const PAUSE: Millis = Millis(200);

/// What a closing record says of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// The process accepted the key; holds what became of its job.
    Accepted(Mark),
    /// The process never accepted the key, and it is gone: the job was not run and never will be.
    Never,
    /// The key's window was dropped before the process ended; nothing is known.
    Dropped,
    /// There is no closing record: the process runs still, or ended without one.
    Open,
}

/// The last part that is written.
#[derive(Debug, Deserialize, Serialize)]
struct Head {
    /// The oldest window whose keys are all listed.
    oldest: u64,
    /// The first key of each chunk.
    chunks: Vec<Place>,
}

/// Where a key stands in the order of the record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
struct Place {
    window: u64,
    hash: u64,
}

impl Place {
    fn of(window: u64, own: &str) -> Self {
        let digest = Sha256::digest(own);
        let hash = digest[..8].iter().fold(0, |hash, &byte| hash << 8 | u64::from(byte));
        Self { window, hash }
    }
}

/// Writes the record, again and again until all of it is there. The caller bounds the time.
///
/// It hangs on a session of its own that nobody renews, so that the store clears it away by itself.
pub async fn write(store: &dyn Store, prefix: &str, incarnation: Incarnation, closing: &Closing) {
    let base = format!("{prefix}/closed/{incarnation}");
    let records = closing.keys.iter().map(|(window, own, mark)| (Place::of(*window, own), *mark));
    let mut records = records.collect::<Vec<_>>();
    records.sort_unstable_by_key(|(place, _)| *place);
    let mut session = None;
    let mut chunks = Vec::new();
    for (number, chunk) in records.chunks(CHUNK_KEYS).enumerate() {
        chunks.push(chunk[0].0);
        write_one(store, &mut session, &chunk_key(&base, number), encode(chunk)).await;
    }
    let head = Head { oldest: closing.oldest, chunks };
    let head = serde_json::to_vec(&head).expect("a closing record has string keys only");
    write_one(store, &mut session, &base, head).await;
    event!(info, "closing-record-written", keys = closing.keys.len());
}

async fn write_one(store: &dyn Store, session: &mut Option<String>, key: &str, value: Vec<u8>) {
    let mut failing = false;
    while let Err(error) = try_one(store, session, key, value.clone()).await {
        if !failing {
            event!(warn, "closing-record-failed", key = key, reason = error);
        }
        failing = true;
        let jitter = Millis(fastrand::u64(0..=PAUSE.0));
        Timer::after((PAUSE + jitter).duration()).await;
    }
}

/// A key that another session holds was written by an earlier try, with the same value.
async fn try_one(
    store: &dyn Store,
    session: &mut Option<String>,
    key: &str,
    value: Vec<u8>,
) -> Result<(), Error> {
    let id = match session.take() {
        Some(id) => id,
        None => store.open_session(KEPT).await?,
    };
    let written = store.acquire(key, value, &id).await;
    // A store that has lost the session refuses it for good; any other error may pass.
    if !matches!(written, Err(Error::Refused { status: 500, .. })) {
        *session = Some(id);
    }
    written.map(drop)
}

/// Reads what the closing record of the process that `key` names says of it.
pub async fn look(store: &dyn Store, prefix: &str, key: &Key) -> Result<Fate, Error> {
    let base = format!("{prefix}/closed/{}", key.prefix.incarnation);
    let Some(head) = store.get(&base).await? else { return Ok(Fate::Open) };
    let head = serde_json::from_slice::<Head>(&head.value);
    let head = head.map_err(|error| Error::Unreadable(error.to_string()))?;
    if key.prefix.window < head.oldest {
        return Ok(Fate::Dropped);
    }
    let place = Place::of(key.prefix.window, &key.suffix);
    // Equal places may straddle two chunks, so the one before the first candidate is read too.
    let last = head.chunks.partition_point(|first| *first <= place);
    let first = head.chunks.partition_point(|first| *first < place).saturating_sub(1);
    let mut marks = Vec::new();
    for number in first..last {
        let chunk = store.get(&chunk_key(&base, number)).await?;
        let gone = || Error::Unreadable(format!("chunk {number} of {base} is gone"));
        marks.extend(find(&chunk.ok_or_else(gone)?.value, place)?);
    }
    Ok(fate(&marks))
}

/// Keys whose hashes are equal but whose marks differ can't be told apart.
fn fate(marks: &[Mark]) -> Fate {
    match marks {
        [] => Fate::Never,
        [first, rest @ ..] if rest.iter().all(|mark| mark == first) => Fate::Accepted(*first),
        _ => Fate::Accepted(Mark::Unknown),
    }
}

fn chunk_key(base: &str, number: usize) -> String {
    format!("{base}/{number:04}")
}

fn encode(records: &[(Place, Mark)]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(records.len() * RECORD_BYTES);
    for (place, mark) in records {
        bytes.extend(place.window.to_be_bytes());
        bytes.extend(place.hash.to_be_bytes());
        bytes.push(match mark {
            Mark::NotRun => 0,
            Mark::Ran => 1,
            Mark::Unknown => 2,
        });
    }
    bytes
}

fn find(chunk: &[u8], place: Place) -> Result<Vec<Mark>, Error> {
    let mut wanted = place.window.to_be_bytes().to_vec();
    wanted.extend(place.hash.to_be_bytes());
    let (records, rest) = chunk.as_chunks::<RECORD_BYTES>();
    if !rest.is_empty() {
        return Err(Error::Unreadable("a chunk of a closing record is cut short".to_owned()));
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
