//! The entries of workers in the store.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde_with::{DefaultOnError, serde_as};

use crate::batch::Resources;
use crate::clock::Millis;
use crate::contain;
use crate::schedule::Listing;
use crate::store::Entry;
use crate::vm::Site;

/// The prefix of the keys of workers' entries; the worker's id follows.
pub const PREFIX: &str = "servers/";

/// The most of each resource that a worker may have, so that sums over all workers can't overflow.
const CAPACITY_MAX: u64 = 1 << 32;

/// The latest start time of a worker, in milliseconds: the largest integer that every JSON number carries exactly.
const INCARNATION_MAX: u64 = (1 << 53) - 1;

/// A worker's entry in the store.
#[serde_as]
#[derive(Debug, Deserialize)]
struct Registration {
    service: String,
    #[serde(rename = "addr")]
    address: SocketAddr,
    #[serde(rename = "zone")]
    domain: String,
    state: State,
    /// All that the worker has, whether used or not.
    #[serde(rename = "room")]
    capacity: Capacity,
    /// The kind of the worker, then its rack.
    #[serde(default)]
    labels: Vec<String>,
    /// The Unix time in milliseconds at which the process started, which tells its incarnations apart.
    #[serde(default, rename = "born")]
    incarnation: u64,
    /// How much longer the worker is slow after its start, in milliseconds. The worker is usable without it.
    #[serde_as(deserialize_as = "DefaultOnError")]
    #[serde(default, rename = "coldLeftMs")]
    cold_left_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "camelCase")]
enum State {
    Ready,
    Draining,
}

/// The resources of a worker.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Capacity {
    /// Thousandths of a core.
    cpu: u64,
    /// Megabytes.
    #[serde(rename = "memMb")]
    memory: u64,
    #[serde(default)]
    gpu: u64,
}

/// Why an entry names no usable worker.
#[derive(Debug)]
pub enum Unusable {
    /// The key has no id of visible ASCII characters, as a header needs it.
    Id,
    /// The value is not valid JSON of the expected form.
    Value(serde_json::Error),
    /// The address has port 0.
    Port,
    /// A resource is above [`CAPACITY_MAX`].
    Capacity,
    /// The start time is above [`INCARNATION_MAX`].
    Incarnation,
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Id => {
                write!(f, "no id of visible ASCII characters after {PREFIX}; correct the key")
            }
            Self::Value(error) => write!(f, "{error}; correct the entry"),
            Self::Port => write!(f, "addr has port 0; correct the entry"),
            Self::Capacity => write!(f, "room is above {CAPACITY_MAX}; correct the entry"),
            Self::Incarnation => write!(f, "born is above {INCARNATION_MAX}; correct the entry"),
        }
    }
}

impl std::error::Error for Unusable {}

/// The id in the key of a worker's entry.
fn id(key: &str) -> Option<&str> {
    let id = key.strip_prefix(PREFIX)?;
    let is_visible = id.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/');
    Some(id).filter(|id| is_visible && !id.is_empty())
}

/// Decodes a worker's entry. The error says why the entry names no usable worker.
pub fn decode(entry: &Entry) -> Result<Site, Unusable> {
    let id = id(&entry.key).ok_or(Unusable::Id)?;
    let registration = contain::json::<Registration>(&entry.value).map_err(Unusable::Value)?;
    let Capacity { cpu, memory, gpu } = registration.capacity;
    if cpu.max(memory).max(gpu) > CAPACITY_MAX {
        return Err(Unusable::Capacity);
    }
    if registration.incarnation > INCARNATION_MAX {
        return Err(Unusable::Incarnation);
    }
    if registration.address.port() == 0 {
        return Err(Unusable::Port);
    }
    let listing = Listing {
        id: Arc::from(id),
        service: Arc::from(registration.service),
        domain: Arc::from(registration.domain),
        rack: registration.labels.get(1).map(|rack| Arc::from(rack.as_str())),
        labels: registration.labels,
        capacity: Resources { cpu, memory, gpu },
        draining: registration.state == State::Draining,
        checks_capacity: false,
        incarnation: registration.incarnation,
        cold_left: Millis(registration.cold_left_ms.max(0.0) as u64),
    };
    Ok(Site { listing, address: registration.address })
}
