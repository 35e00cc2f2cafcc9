//! The events that the engine takes and the actions that it returns.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::config::Document;
use crate::job::{self, Answer, Incarnation, Outcome, Spec};

/// The id of one attempt at a task, unique within its process.
pub type AttemptId = u64;

/// A VM of the cluster, as seen by the membership and the peer links.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The incarnation of the VM's process.
    pub incarnation: Incarnation,
    /// The VM's failure domain.
    pub domain: String,
    /// Whether the VM responds to heartbeats and accepts new work.
    pub reachable: bool,
}

/// Identifies a delegated task across VMs: its coordinator and the coordinator's attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct DelegationId {
    /// The coordinator of the task's job.
    pub coordinator: Incarnation,
    /// The coordinator's id of the attempt.
    #[serde(rename = "start")]
    pub attempt: AttemptId,
}

/// A task that its coordinator delegates to a VM of another failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delegation {
    /// The attempt's name for the target; see [`Attempt::name`].
    pub name: String,
    /// The requested service.
    pub service: String,
    /// The JSON input of the task.
    pub payload: Arc<str>,
    /// The run time that the caller declared.
    pub expected: Option<Millis>,
    /// Whether the task may be attempted again after its outcome was lost.
    pub repeatable: bool,
    /// The time left until the job's deadline.
    pub remaining: Millis,
}

/// A message between two VMs of a domain about the slots that they lend each other.
///
/// Loans and returns are running totals, so that lost, late and repeated messages do no harm.
/// Field names have one letter on the wire, since the size counts against the traffic limit.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotMessage {
    /// The sender's demand for slots, if it is due to be announced.
    #[serde(default, rename = "w", skip_serializing_if = "Option::is_none")]
    pub request: Option<Request>,
    /// Slots that the sender lends to the receiver.
    #[serde(default, rename = "l", skip_serializing_if = "Vec::is_empty")]
    pub loans: Vec<Loan>,
    /// Borrowed slots that the sender returns to the receiver.
    #[serde(default, rename = "b", skip_serializing_if = "Vec::is_empty")]
    pub returns: Vec<Return>,
}

/// A VM's demand for slots, in force until its next request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u32, Vec<Demand>)", into = "(u32, Vec<Demand>)")]
pub struct Request {
    /// Grows with each request of the sender; an older request is ignored.
    pub sequence: u32,
    /// The demand for slots of each pool that the sender has any for.
    pub demands: Vec<Demand>,
}

/// A VM's demand for slots of one pool.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u32, u32, u8)", into = "(u32, u32, u8)")]
pub struct Demand {
    /// The hash of the pool's name.
    pub pool: u32,
    /// The slots that the VM could fill now.
    pub slots: u32,
    /// The speed class of the VM's own free slots; it has use for clearly faster ones only.
    pub speed_class: u8,
}

/// The totals of one target's slots that a VM has lent to another.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u32, u32, u32)", into = "(u32, u32, u32)")]
pub struct Loan {
    /// The hash of the target's id.
    pub target: u32,
    /// Slots lent so far.
    pub lent: u32,
    /// Slots recalled so far: the borrower returns them as soon as they are idle.
    pub recalled: u32,
}

/// The total of one target's slots that a VM has returned to another.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct Return {
    /// The hash of the target's id.
    pub target: u32,
    /// Slots returned so far.
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
    fn from(total: Return) -> Self {
        (total.target, total.returned)
    }
}

/// The result of one attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Report {
    /// The target returned an answer.
    Done(Answer),
    /// The target or VM refused the task without starting it: it is full or draining.
    Full,
    /// The attempt was never sent or was fenced: the task has not started and won't. Holds the
    /// reason.
    Unsent(String),
    /// The task ran and failed. Holds the reason.
    Failed(String),
    /// The task was sent and may have run; its outcome is lost. Holds the reason.
    Lost(String),
}

/// An input of the engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new configuration is in force.
    Configure(Arc<Document>),
    /// The known VMs have changed; the list includes this one.
    Members(Arc<[Member]>),
    /// The ids of the targets that the platform marks as leaving have changed.
    Leaving(Arc<BTreeSet<String>>),
    /// A job was submitted.
    Submit {
        /// The job's id, new to the engine.
        job: job::Id,
        /// The submitted job.
        spec: Arc<Spec>,
    },
    /// A caller cancels a job.
    Cancel {
        /// The job's id.
        job: job::Id,
    },
    /// An attempt ended.
    Report {
        /// The attempt that ended.
        attempt: AttemptId,
        /// The attempt's result.
        report: Report,
    },
    /// A VM of another failure domain delegates a task to this one.
    Delegate {
        /// The coordinator's id for the task.
        id: DelegationId,
        /// The task.
        delegation: Delegation,
    },
    /// The coordinator of a delegated task asks for its result. A task that has not started is
    /// fenced: it never starts.
    Fate {
        /// The coordinator's id for the task.
        id: DelegationId,
    },
    /// A VM of the local domain sent a slot message.
    Slots {
        /// The sender.
        from: Incarnation,
        /// The message.
        message: SlotMessage,
    },
    /// Time has passed and timers may be due.
    Tick,
}

/// Where an attempt is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Destination {
    /// A target, by its id.
    Target(Arc<str>),
    /// A VM of another failure domain, to which the task is delegated.
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

/// An attempt at a task, to be made by the host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// The id under which the result is reported.
    pub id: AttemptId,
    /// Where the attempt is sent.
    pub destination: Destination,
    /// The task id that the target sees, unique among the attempts of all VMs.
    pub name: String,
    /// The requested service.
    pub service: String,
    /// The JSON input of the task.
    pub payload: Arc<str>,
    /// The run time that the caller declared.
    pub expected: Option<Millis>,
    /// Whether the task may be attempted again after its outcome was lost. If not, an idle
    /// connection is probed before the task is sent.
    pub repeatable: bool,
    /// How long the host waits for the result.
    pub timeout: Millis,
}

/// An output of the engine, to be carried out by the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make an attempt and report its result in an [`Event::Report`].
    Start(Attempt),
    /// Send a slot message to a VM of the local domain.
    Send {
        /// The receiver.
        to: Incarnation,
        /// The message.
        message: SlotMessage,
    },
    /// Return a job's outcome to its callers.
    End {
        /// The job's id.
        job: job::Id,
        /// The job's outcome.
        outcome: Outcome,
    },
    /// Return the result of a delegated task to its coordinator.
    Report {
        /// The coordinator's id for the task.
        id: DelegationId,
        /// The task's result.
        report: Report,
    },
}

/// Counters and gauges of an engine, for the status page and the metrics.
///
/// Counters start at zero with the process.
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
