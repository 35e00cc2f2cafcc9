//! The platform's key-value store and VM list: the [`Store`] trait, its Consul client and an in-memory implementation.

mod calls;
mod consul;
mod cursor;
mod decoder;
mod memory;
mod response;

use std::fmt;
use std::pin::Pin;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

pub use calls::{Calls, Counter};
pub use consul::Consul;
pub use cursor::{Cursor, FIRST_PAUSE_MAX, WATCH_WAIT};
pub use decoder::Decoder;
pub use memory::Memory;
pub use response::json;

/// A position in the store's sequence of changes. A watch waits for a change after a given index.
pub type Index = u64;

/// The boxed future of a call to the store.
pub type Call<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// A key and its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The key, prefix included.
    pub key: String,
    /// The value, at most 1 MiB.
    pub value: Vec<u8>,
    /// The index of the last change, for [`Condition::Unchanged`].
    pub index: Index,
}

/// The result of a read that can be continued as a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Read<T> {
    /// The value at `index`.
    pub value: T,
    /// The index to pass to the next watch.
    pub index: Index,
}

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// No condition.
    Always,
    /// The key does not exist.
    Absent,
    /// The index of the key's last change is still this one.
    Unchanged(Index),
}

/// An entry of the platform's VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// The VM's id; for a VM that hosts a target, the target's id.
    pub id: String,
    /// Whether the platform marks the VM as leaving.
    pub leaving: bool,
}

/// A key-value store with sessions, and the platform's VM list. Every call counts against the store's rate limits,
/// also one that waits.
pub trait Store: fmt::Debug + Send + Sync {
    /// Reads the latest value of a key; `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Option<Entry>>;

    /// Reads a key as soon as it changes after index `after`, or once `wait` is over. Index 0 returns at once.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: Index,
        wait: Millis,
    ) -> Call<'a, Read<Option<Entry>>>;

    /// Reads all keys under `prefix` as soon as one changes after index `after`, or once `wait` is over. Index 0
    /// returns at once.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Index,
        wait: Millis,
    ) -> Call<'a, Read<Vec<Entry>>>;

    /// Writes a key if `condition` holds; returns whether it did.
    fn put<'a>(&'a self, key: &'a str, value: Vec<u8>, condition: Condition) -> Call<'a, bool>;

    /// Deletes a key.
    fn delete<'a>(&'a self, key: &'a str) -> Call<'a, ()>;

    /// Opens a session that expires `ttl` after its last renewal, and returns its id. Its keys are deleted when it
    /// expires or ends.
    fn open_session(&self, ttl: Millis) -> Call<'_, String>;

    /// Renews a session; returns false if it has expired.
    fn renew_session<'a>(&'a self, session: &'a str) -> Call<'a, bool>;

    /// Ends a session and deletes its keys.
    fn end_session<'a>(&'a self, session: &'a str) -> Call<'a, ()>;

    /// Writes a key that is deleted with the session; returns false if another session holds the key.
    fn acquire<'a>(&'a self, key: &'a str, value: Vec<u8>, session: &'a str) -> Call<'a, bool>;

    /// Reads the VM list of `service` as soon as it changes after index `after`, or once `wait` is over. Index 0
    /// returns at once.
    fn vms<'a>(&'a self, service: &'a str, after: Index, wait: Millis) -> Call<'a, Read<Vec<Vm>>>;

    /// The number of calls so far.
    fn calls(&self) -> Calls;
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// No connection could be opened; a write did not take effect.
    Unreachable(String),
    /// The call was sent and no response came back; a write may have taken effect.
    Lost(String),
    /// The store rejected the call; a write did not take effect.
    Refused {
        /// The HTTP status of the response.
        status: u16,
        /// The body of the response.
        text: String,
    },
    /// The response is malformed; a write may have taken effect.
    Unreadable(String),
}

impl Error {
    /// Whether a write that failed with this error may have taken effect.
    pub const fn may_have_written(&self) -> bool {
        matches!(self, Self::Lost(_) | Self::Unreadable(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(why) => {
                write!(
                    f,
                    "the store is unreachable: {why}; check the store's address and the network"
                )
            }
            Self::Lost(why) => {
                write!(f, "the store's response was lost: {why}; read the key before writing again")
            }
            Self::Refused { status, text } => {
                write!(
                    f,
                    "the store rejected the call with status {status}: {text}; check its rate limits and store.prefix"
                )
            }
            Self::Unreadable(why) => write!(
                f,
                "the store's response is malformed: {why}; check that the store's address is right"
            ),
        }
    }
}

impl std::error::Error for Error {}
