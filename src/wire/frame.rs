//! Frames with their encoding, and the errors of encoding and decoding.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::batch;
use crate::clock::Millis;
use crate::config::Update;
use crate::contain;
use crate::dispatch::{AttemptId, Delegation, DelegationId, Report, SlotMessage};
use crate::evacuation::Evacuation;
use crate::job::{Incarnation, Key, Outcome, Spec};
use crate::membership::{self, View};
use crate::ownership::Quota;
use crate::schedule::Load;

/// The protocol version. A link to a VM with another version is closed.
pub const VERSION: u32 = 1;

/// The largest frame, in bytes.
pub const FRAME_MAX_BYTES: usize = 16 << 20;

/// One message between two VMs, written by the names of its fields and variants.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// The first frame in each direction.
    Hello(Hello),
    /// A heartbeat. The VM that accepted the link responds to each with its own.
    #[serde(rename = "Beat")]
    Heartbeat,
    /// A call, whose reply comes back on the same link.
    Call {
        /// The id of the call, unique on this link.
        id: u64,
        /// What is called for.
        call: Call,
    },
    /// The reply to a call.
    Reply {
        /// The id of the call.
        id: u64,
        /// The result of the call.
        reply: Reply,
    },
    /// A message that has no reply.
    #[serde(rename = "Note")]
    Notification(Notification),
}

/// The identity of the sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// The protocol version of the sender; see [`VERSION`].
    pub version: u32,
    /// The name of the VM.
    pub vm: String,
    /// The incarnation of the VM's process.
    pub incarnation: Incarnation,
    /// The failure domain of the VM.
    pub domain: String,
    /// The address that other VMs connect to.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// The CPU that the VM may use, in thousandths of a core; 0 if unknown.
    #[serde(default)]
    pub cpu: u32,
    /// How many targets the VM may own.
    #[serde(default, skip_serializing_if = "Quota::is_largest")]
    pub quota: Quota,
}

/// A call to another VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Call {
    /// Runs or joins the job of a key that names the other VM.
    Submit {
        /// The key of the job.
        key: Key,
        /// The job.
        spec: Spec,
    },
    /// Returns the status of a key that names the other VM.
    #[serde(rename = "Look")]
    Lookup {
        /// The key of the job.
        key: Key,
    },
    /// Cancels the job of a key that names the other VM. For a batch, the rest of the key is the digest of its queue and id.
    Cancel {
        /// The key of the job.
        key: Key,
    },
    /// Runs a task of one of the caller's jobs, at most once, and waits for its end.
    #[serde(rename = "Run")]
    Delegate {
        /// The caller's id of the attempt.
        #[serde(rename = "start")]
        attempt: AttemptId,
        /// The task to run.
        #[serde(rename = "adoption")]
        delegation: Delegation,
    },
    /// Returns the changes of the configuration since a version.
    #[serde(rename = "Since")]
    ConfigSince {
        /// The version that the caller has in force.
        version: u64,
    },
    /// Returns the list of VMs and the list of draining targets.
    View,
    /// Returns the versions of the configuration and of the view.
    #[serde(rename = "News")]
    Versions,
    /// Returns the outcome of a delegated task, after a link was lost. If the task has not started, it never will.
    Fate {
        /// The caller's id of the attempt.
        #[serde(rename = "start")]
        attempt: AttemptId,
    },
    /// Runs a batch on the targets that the other VM owns.
    Batch {
        /// The caller's id of the batch.
        #[serde(rename = "number")]
        id: u64,
        /// The batch.
        spec: batch::Spec,
        /// The time since the batch was submitted.
        age: Millis,
        /// How long the submitter still waits.
        #[serde(rename = "patience")]
        time_left: Millis,
    },
    /// Returns the routes in force.
    Routes,
}

impl Call {
    /// The id of the delegated task that a call from `coordinator` is about.
    pub fn delegation_id(coordinator: Incarnation, attempt: AttemptId) -> DelegationId {
        DelegationId { coordinator, attempt }
    }
}

/// What the VM that a key names knows of the key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum KeyStatus {
    /// No submission with this key has arrived.
    #[serde(rename = "Never")]
    NeverSubmitted,
    /// The job has no outcome yet.
    Running,
    /// The job has ended, or the key was refused.
    Ended(Outcome),
    /// The job is being cancelled, or the key was cancelled before a submission arrived.
    Cancelling,
}

/// The result of a [`Call`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// The result of `Submit`.
    Outcome(Outcome),
    /// The result of `Lookup` and `Cancel`.
    #[serde(rename = "Seen")]
    KeyStatus(KeyStatus),
    /// The result of `Delegate` and `Fate`.
    Report(Report),
    /// The result of `Versions`.
    #[serde(rename = "News")]
    Versions(Versions),
    /// The result of `ConfigSince`.
    Update(Update),
    /// The result of `View`.
    View(View),
    /// The result of `Batch`.
    Batch(batch::Outcome),
    /// The result of `Routes`: the text from the platform, unparsed; empty if the VM has none, or sends it to others now.
    Routes(Arc<Vec<u8>>),
}

/// A message that has no reply.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Notification {
    /// Demand for slots of the domain's targets, and slots that are lent or returned.
    Slots(SlotMessage),
    /// The versions of the sender's configuration and view.
    #[serde(rename = "News")]
    Versions(Versions),
    /// No caller waits for a forwarded batch any longer.
    Abandon {
        /// The sender's id of the batch.
        #[serde(rename = "number")]
        id: u64,
    },
    /// The targets that the sender owns.
    #[serde(rename = "Owns")]
    Ownership(Ownership),
    /// The load of the targets that the sender owns.
    #[serde(rename = "Busy")]
    Utilization(Utilization),
    /// The failure domains that the operator has evacuated.
    Evacuation(Evacuation),
}

/// The targets that a VM owns.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ownership {
    /// The ids of the targets.
    pub targets: Vec<String>,
    /// The highest round of any fencing token that the VM knows.
    pub round: u64,
    /// Whether the VM is draining.
    pub draining: bool,
}

/// The load of the targets that a VM owns.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Utilization {
    /// The load of all targets together.
    pub load: Load,
    /// The version of the routes that the VM has in force.
    pub routes: u64,
}

/// The versions of a VM's configuration and view. A VM that receives newer ones requests what it lacks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Versions {
    /// The version of the configuration.
    pub config: u64,
    /// The versions of the parts of the view.
    pub view: membership::Versions,
}

impl Frame {
    /// Whether the frame is control traffic, as opposed to jobs, tasks and their results.
    pub const fn is_control(&self) -> bool {
        match self {
            Self::Hello(_) | Self::Heartbeat | Self::Notification(_) => true,
            Self::Call { call, .. } => {
                matches!(call, Call::ConfigSince { .. } | Call::View | Call::Routes)
            }
            Self::Reply { reply, .. } => {
                matches!(reply, Reply::Update(_) | Reply::View(_) | Reply::Routes(_))
            }
        }
    }

    /// Encodes the frame as CBOR. Fails if it is larger than [`FRAME_MAX_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::with_capacity(256);
        ciborium::into_writer(self, &mut bytes)
            .map_err(|error| Error::Encode(error.to_string()))?;
        if bytes.len() > FRAME_MAX_BYTES {
            return Err(Error::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a frame that takes up all of `bytes`.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > FRAME_MAX_BYTES {
            return Err(Error::TooLarge(bytes.len()));
        }
        let mut remaining = bytes;
        let frame = contain::call(|| ciborium::from_reader(&mut remaining))
            .map_err(|panicked| Error::Decode(panicked.to_string()))?
            .map_err(|error| Error::Decode(error.to_string()))?;
        if !remaining.is_empty() {
            return Err(Error::Decode(format!("{} bytes follow the frame", remaining.len())));
        }
        Ok(frame)
    }
}

/// Why a frame could not be encoded or decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The frame can't be serialized.
    Encode(String),
    /// The bytes are not one valid frame.
    Decode(String),
    /// The frame is larger than [`FRAME_MAX_BYTES`]; holds its size in bytes.
    TooLarge(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Encode(why) => {
                write!(f, "a frame can't be encoded: {why}; report this as a bug")
            }
            Self::Decode(why) => {
                write!(
                    f,
                    "a frame from another VM can't be decoded: {why}; run the same release on all VMs"
                )
            }
            Self::TooLarge(bytes) => {
                write!(
                    f,
                    "a frame of {bytes} bytes exceeds the limit of {FRAME_MAX_BYTES} bytes; lower limits.body_max"
                )
            }
        }
    }
}

impl std::error::Error for Error {}
