//! Frames, their coding and its errors.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::batch;
use crate::clock::Millis;
use crate::config::Update;
use crate::dispatch::{AttemptId, Delegation, DelegationId, Report, SlotMessage};
use crate::job::{Incarnation, Key, Outcome, Spec};
use crate::membership::{self, View};
use crate::schedule::Load;

/// The version of the frames; a link is refused to a VM that speaks another.
pub const VERSION: u32 = 1;

/// The largest frame, in bytes.
pub const FRAME_MAX_BYTES: usize = 16 << 20;

/// One message between two VMs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// The first frame each way.
    Hello(Hello),
    /// A heartbeat, answered by another.
    Beat,
    /// A question that will be answered on the same link.
    Call {
        /// Its number on this link.
        id: u64,
        /// The question.
        call: Call,
    },
    /// The answer to a question.
    Reply {
        /// The question's number.
        id: u64,
        /// The answer.
        reply: Reply,
    },
    /// Something the other VM should know.
    #[serde(rename = "Note")]
    Notification(Notification),
}

/// Who speaks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// The version of the frames; see [`VERSION`].
    pub version: u32,
    /// The VM's name.
    pub vm: String,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: String,
    /// Where its peers reach it.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// Thousandths of a core that it may use; 0 if it does not say.
    #[serde(default)]
    pub cpu: u32,
}

/// A question to another VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Call {
    /// Run or join the job of a key that names the other VM.
    Submit {
        /// The key.
        key: Key,
        /// The job.
        spec: Spec,
    },
    /// Tell what is known of a key.
    #[serde(rename = "Look")]
    Lookup {
        /// The key.
        key: Key,
    },
    /// Cancel the job of a key.
    Cancel {
        /// The key.
        key: Key,
    },
    /// Run a task of the caller's, once.
    #[serde(rename = "Run")]
    Delegate {
        /// The caller's number for the attempt.
        #[serde(rename = "start")]
        attempt: AttemptId,
        /// The task.
        #[serde(rename = "adoption")]
        delegation: Delegation,
    },
    /// Tell what has changed in the configuration since a version.
    #[serde(rename = "Since")]
    ConfigSince {
        /// The version that the caller has.
        version: u64,
    },
    /// Tell which VMs there are and which targets leave.
    View,
    /// Tell how new the configuration and the view are.
    #[serde(rename = "News")]
    Versions,
    /// Tell how a task ended; one that has not started never will.
    Fate {
        /// The caller's number for the attempt.
        #[serde(rename = "start")]
        attempt: AttemptId,
    },
    /// Run a batch on the targets that the other VM owns.
    Batch {
        /// The caller's number for it.
        #[serde(rename = "number")]
        id: u64,
        /// The batch.
        spec: batch::Spec,
        /// How long ago it was submitted.
        age: Millis,
        /// How long its submitter still waits.
        #[serde(rename = "patience")]
        time_left: Millis,
    },
    /// Tell the routes in force.
    Routes,
}

impl Call {
    /// The adopted task that a call from `coordinator` is about.
    pub fn adopted(coordinator: Incarnation, attempt: AttemptId) -> DelegationId {
        DelegationId { coordinator, attempt }
    }
}

/// What a VM knows of a key that names it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum KeyStatus {
    /// No submission with this key has arrived.
    #[serde(rename = "Never")]
    NeverSubmitted,
    /// The job has no outcome yet.
    Running,
    /// The job has ended, or the key is refused.
    Ended(Outcome),
    /// Cancelled, or to be cancelled.
    Cancelling,
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// To `Submit`.
    Outcome(Outcome),
    /// To `Lookup` and `Cancel`.
    #[serde(rename = "Seen")]
    KeyStatus(KeyStatus),
    /// To `Delegate` and `Fate`.
    Report(Report),
    /// To `Versions`.
    #[serde(rename = "News")]
    Versions(Versions),
    /// To `ConfigSince`.
    Update(Update),
    /// To `View`.
    View(View),
    /// To `Batch`.
    Batch(batch::Outcome),
    /// To `Routes`: the text as the platform has it; empty if none is known.
    Routes(Vec<u8>),
}

/// News that needs no answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Notification {
    /// On the slots of the domain's targets.
    Slots(SlotMessage),
    /// How new the sender's configuration and view are.
    #[serde(rename = "News")]
    Versions(Versions),
    /// Nobody waits for a batch any longer.
    Abandon {
        /// The sender's number for it.
        #[serde(rename = "number")]
        id: u64,
    },
    /// Which targets the sender owns.
    #[serde(rename = "Owns")]
    Ownership(Ownership),
    /// How busy they are.
    #[serde(rename = "Busy")]
    Utilization(Utilization),
}

/// Which targets a VM owns.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ownership {
    /// Their ids.
    pub targets: Vec<String>,
    /// The highest round of its tokens.
    pub round: u64,
    /// Whether it is being stopped.
    pub draining: bool,
}

/// How busy a VM is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Utilization {
    /// Its targets.
    pub load: Load,
    /// The version of the routes that it has.
    pub routes: u64,
}

/// How new a VM's configuration and view are; who lacks something asks for it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Versions {
    /// The version of the configuration.
    pub config: u64,
    /// The versions of the view's parts.
    pub view: membership::Versions,
}

impl Frame {
    /// Whether the frame keeps the VMs together, and carries no job or task.
    pub const fn is_control(&self) -> bool {
        match self {
            Self::Hello(_) | Self::Beat | Self::Notification(_) => true,
            Self::Call { call, .. } => {
                matches!(call, Call::ConfigSince { .. } | Call::View | Call::Routes)
            }
            Self::Reply { reply, .. } => {
                matches!(reply, Reply::Update(_) | Reply::View(_) | Reply::Routes(_))
            }
        }
    }

    /// The frame's bytes.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::with_capacity(256);
        ciborium::into_writer(self, &mut bytes)
            .map_err(|error| Error::Encode(error.to_string()))?;
        if bytes.len() > FRAME_MAX_BYTES {
            return Err(Error::Long(bytes.len()));
        }
        Ok(bytes)
    }

    /// Reads a frame that fills `bytes` exactly.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > FRAME_MAX_BYTES {
            return Err(Error::Long(bytes.len()));
        }
        let mut rest = bytes;
        let frame =
            ciborium::from_reader(&mut rest).map_err(|error| Error::Decode(error.to_string()))?;
        if !rest.is_empty() {
            return Err(Error::Decode(format!("{} bytes follow the frame", rest.len())));
        }
        Ok(frame)
    }
}

/// Why bytes are no frame, or a frame no bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// It can't be written.
    Encode(String),
    /// It can't be read.
    Decode(String),
    /// It is longer than [`FRAME_MAX_BYTES`]; holds its length.
    Long(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Encode(why) => {
                write!(f, "the frame can't be written: {why}; report it as a fault")
            }
            Self::Decode(why) => {
                write!(f, "the frame can't be read: {why}; run the same release on all VMs")
            }
            Self::Long(bytes) => {
                write!(f, "a frame of {bytes} bytes is over the limit; lower limits.body_max")
            }
        }
    }
}

impl std::error::Error for Error {}
