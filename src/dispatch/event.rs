//! What goes into the engine and what comes out of it.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::config::Document;
use crate::job::{self, Answer, Incarnation, Outcome, Spec};

/// The number of one attempt at a task, unique within its process.
pub type AttemptId = u64;

/// A VM of the system, as the membership and the peer links see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Its run.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: String,
    /// Whether its link answers heartbeats and it takes new work.
    pub reachable: bool,
}

/// A task that another domain's VM coordinates: its coordinator, and the number of the attempt there.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct DelegationId {
    /// The coordinator of the task's job.
    pub coordinator: Incarnation,
    /// The coordinator's id of the attempt.
    #[serde(rename = "start")]
    pub attempt: AttemptId,
}

/// What a coordinator hands over with a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delegation {
    /// The name that the target sees; see [`Attempt::name`].
    pub name: String,
    /// The service that is asked for.
    pub service: String,
    /// The JSON text for the target.
    pub payload: Arc<str>,
    /// The run time that the caller expects.
    pub expected: Option<Millis>,
    /// Whether the job is repeatable.
    pub repeatable: bool,
    /// How long the job still waits.
    pub remaining: Millis,
}

/// What the VMs of a domain tell each other about slots.
///
/// All counts are totals that only grow, so that a message which is lost, late or repeated does no harm.
/// Fields have one-letter names on the wire, since these messages count against the control traffic.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotMessage {
    /// How many slots the sender would use now.
    #[serde(default, rename = "w", skip_serializing_if = "Option::is_none")]
    pub request: Option<Request>,
    /// Slots that the sender lends.
    #[serde(default, rename = "l", skip_serializing_if = "Vec::is_empty")]
    pub loans: Vec<Loan>,
    /// Lent slots that the sender gives back.
    #[serde(default, rename = "b", skip_serializing_if = "Vec::is_empty")]
    pub returns: Vec<Return>,
}

/// How many slots a VM would use now; stands until its next request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u32, Vec<Demand>)", into = "(u32, Vec<Demand>)")]
pub struct Request {
    /// Grows with each request of the sender; an older request is ignored.
    pub sequence: u32,
    /// The demand for slots of each pool that the sender has any for.
    pub demands: Vec<Demand>,
}

/// How many slots of a pool a VM would use now.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u32, u32, u8)", into = "(u32, u32, u8)")]
pub struct Demand {
    /// The hash of the pool of targets.
    pub pool: u32,
    /// How many.
    pub slots: u32,
    /// The class of speed of the sender's own free slots; only clearly faster ones are of use to it.
    pub speed_class: u8,
}

/// One target's slots that were lent by one VM to one other.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u32, u32, u32)", into = "(u32, u32, u32)")]
pub struct Loan {
    /// The hash of the target's id.
    pub target: u32,
    /// All that were ever lent.
    pub lent: u32,
    /// All that are to be given back as soon as they are idle.
    pub recalled: u32,
}

/// One target's slots that were given back by one VM to one other.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct Return {
    /// The hash of the target's id.
    pub target: u32,
    /// All that were ever given back.
    pub returned: u32,
}

impl From<(u32, Vec<Demand>)> for Request {
    fn from((sequence, demands): (u32, Vec<Demand>)) -> Self {
        Self { sequence, demands }
    }
}

impl From<Request> for (u32, Vec<Demand>) {
    fn from(request: Request) -> Self {
        (request.sequence, request.demands)
    }
}

impl From<(u32, u32, u8)> for Demand {
    fn from((pool, slots, speed_class): (u32, u32, u8)) -> Self {
        Self { pool, slots, speed_class }
    }
}

impl From<Demand> for (u32, u32, u8) {
    fn from(demand: Demand) -> Self {
        (demand.pool, demand.slots, demand.speed_class)
    }
}

impl From<(u32, u32, u32)> for Loan {
    fn from((target, lent, recalled): (u32, u32, u32)) -> Self {
        Self { target, lent, recalled }
    }
}

impl From<Loan> for (u32, u32, u32) {
    fn from(loan: Loan) -> Self {
        (loan.target, loan.lent, loan.recalled)
    }
}

impl From<(u32, u32)> for Return {
    fn from((target, returned): (u32, u32)) -> Self {
        Self { target, returned }
    }
}

impl From<Return> for (u32, u32) {
    fn from(back: Return) -> Self {
        (back.target, back.returned)
    }
}

/// How one attempt ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Report {
    /// Answered.
    Done(Answer),
    /// The target said that it did not start the task: its slots are full or it is leaving.
    Full,
    /// Nothing was written to the target, or the attempt was fenced: it never started.
    Unsent(String),
    /// It ran and failed.
    Failed(String),
    /// It was written and its outcome is lost.
    Lost(String),
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Another configuration is in force.
    Configure(Arc<Document>),
    /// The VMs that are known, this one among them.
    Members(Arc<[Member]>),
    /// The targets that the platform marks as leaving.
    Leaving(Arc<BTreeSet<String>>),
    /// A job was admitted under a new number.
    Submit {
        /// Its number.
        job: job::Id,
        /// What was asked.
        spec: Arc<Spec>,
    },
    /// The job's caller wants it cancelled.
    Cancel {
        /// Its number.
        job: job::Id,
    },
    /// An attempt ended.
    Report {
        /// The attempt that ended.
        attempt: AttemptId,
        /// How.
        report: Report,
    },
    /// Another domain's VM hands over a task.
    Delegate {
        /// The coordinator's id for the task.
        id: DelegationId,
        /// The task.
        delegation: Delegation,
    },
    /// Another domain's VM asks for the fate of a task. One that has not started never will.
    Fate {
        /// The coordinator's id for the task.
        id: DelegationId,
    },
    /// A VM of the own domain said something about slots.
    Slots {
        /// Who.
        from: Incarnation,
        /// What.
        message: SlotMessage,
    },
    /// Time has passed.
    Tick,
}

/// Where an attempt goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Destination {
    /// To a target, by its id.
    Target(Arc<str>),
    /// To a VM of another domain.
    Peer(Incarnation),
}

impl fmt::Display for Destination {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Target(target) => write!(f, "target {target}"),
            Self::Peer(vm) => write!(f, "VM {vm}"),
        }
    }
}

/// One attempt to be made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Its number, for the report.
    pub id: AttemptId,
    /// Where it goes.
    pub destination: Destination,
    /// The name that the target sees, unique among all attempts of all VMs.
    pub name: String,
    /// The service that is asked for.
    pub service: String,
    /// The JSON text for the target.
    pub payload: Arc<str>,
    /// The run time that the caller expects.
    pub expected: Option<Millis>,
    /// Whether a lost outcome may be followed by another attempt. If not, an idle connection is proved first.
    pub repeatable: bool,
    /// How long to wait for the answer.
    pub timeout: Millis,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make an attempt and report its end.
    Start(Attempt),
    /// Tell a VM of the own domain something about slots.
    Send {
        /// Whom.
        to: Incarnation,
        /// What.
        message: SlotMessage,
    },
    /// Give a job's outcome to its callers.
    End {
        /// Its number.
        job: job::Id,
        /// How it ended.
        outcome: Outcome,
    },
    /// Give the end of a task to the VM that coordinates it.
    Report {
        /// The coordinator's id for the task.
        id: DelegationId,
        /// How it ended.
        report: Report,
    },
}

/// Counters and gauges of an engine, for the status page and the metrics. Counters start at zero with the process.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Jobs without an outcome, now.
    pub jobs: u64,
    /// Tasks that wait for a slot, now.
    pub waiting: u64,
    /// Attempts that have not ended, now.
    pub open: u64,
    /// First attempts at a task.
    #[serde(rename = "first_starts")]
    pub first_attempts: u64,
    /// Attempts at a task after its first, hedges included.
    #[serde(rename = "further_starts")]
    pub further_attempts: u64,
    /// Attempts that a target or VM refused without starting the task.
    pub full: u64,
    /// Attempts that were never sent.
    pub unsent: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts whose outcome was lost.
    pub lost: u64,
    /// Jobs refused at admission.
    pub refused: u64,
    /// Hedged attempts.
    #[serde(rename = "spare")]
    pub hedges: u64,
    /// Trial attempts on ejected targets.
    pub trials: u64,
    /// Attempts made for jobs that failed in the end.
    #[serde(rename = "useless")]
    pub wasted: u64,
    /// Targets that are ejected, now.
    pub ejected: u64,
    /// Tasks delegated to VMs of other failure domains.
    #[serde(rename = "over")]
    pub delegated: u64,
    /// Delegated tasks accepted from VMs of other failure domains.
    #[serde(rename = "adopted")]
    pub accepted: u64,
    /// Slot messages sent.
    #[serde(rename = "told")]
    pub slot_messages: u64,
}
