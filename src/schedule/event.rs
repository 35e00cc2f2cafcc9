//! The events that the scheduler takes and the actions that it returns.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::batch::{Name, Outcome, Resources, Spec};
use crate::clock::Millis;

use super::fence::Fence;

/// The id of a batch that this VM runs, unique within the VM's process.
pub type BatchId = u64;

/// The id of a call to a target, unique within the VM's process.
pub type CallId = u64;

/// Times and factors that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// The longest lease that a target grants.
    pub lease_max: Millis,
    /// How much longer a task lasts on another rack than that of its data, as a factor.
    pub far_factor: f64,
    /// How long a responding target may still be used after the store has stopped listing it.
    pub unlisted_max: Millis,
}

/// A target's description of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// The target's id.
    pub id: Arc<str>,
    /// The service whose tasks the target runs.
    pub service: Arc<str>,
    /// The failure domain of the target.
    pub domain: Arc<str>,
    /// The rack of the target.
    pub rack: Option<Arc<str>>,
    /// All labels, of which the first names the target's kind.
    pub labels: Vec<String>,
    /// All resources that the target has.
    pub capacity: Resources,
    /// Whether the target is draining and takes no new tasks.
    pub draining: bool,
    /// Whether the target itself refuses tasks that exceed its capacity.
    pub checks_capacity: bool,
    /// The target's incarnation, which rises with each restart under the same id.
    pub incarnation: u64,
    /// How much longer the target is cold: its tasks last longer than usual.
    pub cold_left: Millis,
}

/// An input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller has submitted a batch.
    Submit {
        /// The id that the batch gets on this VM.
        batch: BatchId,
        /// The batch as submitted.
        spec: Arc<Spec>,
        /// The time since the caller sent the batch.
        age: Millis,
        /// The time until the caller stops waiting.
        time_left: Millis,
    },
    /// The caller has stopped waiting, or another VM has given the batch up.
    Abandon {
        /// The batch.
        batch: BatchId,
    },
    /// The store lists these targets.
    Targets(Vec<Listing>),
    /// The operator has evacuated these failure domains and no others.
    Evacuated(BTreeSet<Arc<str>>),
    /// A target is to be acquired. The former owner's round is at least `round`.
    Acquire {
        /// The target.
        target: Arc<str>,
        /// The lowest round to try.
        round: u64,
    },
    /// A target that is being acquired belongs to another VM after all.
    CancelAcquire {
        /// The target.
        target: Arc<str>,
    },
    /// A call to a target has ended.
    Reply {
        /// The call.
        call: CallId,
        /// The result of the call.
        reply: Reply,
    },
    /// A start or a poll has had no response for far longer than usual; the response may still come.
    Overdue {
        /// The call.
        call: CallId,
    },
    /// The platform has changed its times and factors.
    Rules(Rules),
    /// This VM has stood still, so callers and other VMs may have given their batches up unnoticed.
    Resume,
    /// This VM is draining: unstarted batches move to other VMs, and targets are released as they become idle.
    Drain,
    /// Time has passed.
    Tick,
}

/// The result of a call to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The target has executed a start or a stop, now or earlier.
    Executed {
        /// The target's clock.
        clock: Millis,
    },
    /// The target has responded to a poll.
    Polled(Snapshot),
    /// The target refused the call and did nothing.
    Denied {
        /// Why the target refused.
        denial: Denial,
        /// The target's clock, if the response held it.
        clock: Option<Millis>,
    },
    /// The call was not sent.
    Unsent,
    /// No response came in time. The call may have been executed, or may be executed later.
    Lost,
    /// The connection ended before a response came. The call may have been executed, and the target's process may have
    /// ended.
    Closed,
}

impl fmt::Display for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Executed { .. } | Self::Polled(_) => f.write_str("ok"),
            Self::Denied { denial, .. } => write!(f, "denied-{denial}"),
            Self::Unsent => f.write_str("unsent"),
            Self::Lost => f.write_str("lost"),
            Self::Closed => f.write_str("closed"),
        }
    }
}

/// A target's report of its attempts, in response to a poll.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// The target's clock.
    pub clock: Millis,
    /// The target's incarnation, if the response held it.
    pub incarnation: Option<u64>,
    /// The attempts that run.
    pub running: Vec<Running>,
    /// The completions that were not acknowledged yet, in ascending order of their numbers.
    pub completions: Vec<Completion>,
}

/// An attempt that runs on a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Running {
    /// The task.
    pub name: Name,
    /// The number of the attempt at the task.
    pub attempt: u32,
    /// The progress of the task in percent, if the target reports it.
    pub progress: Option<u32>,
}

/// An attempt that has ended on a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Completion {
    /// The number of the completion, counted from 1 in each incarnation of the target.
    pub number: u64,
    /// The task.
    pub name: Name,
    /// The number of the attempt at the task.
    pub attempt: u32,
    /// How the attempt ended.
    pub ending: Ending,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The task succeeded.
    Done,
    /// The task failed, by its own fault or the target's.
    Failed,
    /// The attempt was stopped or its lease lapsed, which does not count as a failure of the task.
    Aborted,
}

/// Why a target refused a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// The target has seen a higher token.
    Fence,
    /// The attempt's number is not above that of an attempt that was stopped or has ended on the target.
    StaleAttempt,
    /// The lease would have lapsed already.
    Late,
    /// The target's free resources are too small for the task.
    Full,
    /// The target reports that it is unhealthy.
    Unhealthy,
    /// The call was meant for another incarnation of the target.
    OtherIncarnation,
    /// The target can't read the call, or does not know the task.
    Invalid,
}

impl fmt::Display for Denial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Fence => "fence",
            Self::StaleAttempt => "old-run",
            Self::Late => "late",
            Self::Full => "room",
            Self::Unhealthy => "unhealthy",
            Self::OtherIncarnation => "other-life",
            Self::Invalid => "invalid",
        })
    }
}

/// An output of the scheduler, for the VM to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call a target to start an attempt at a task.
    Start {
        /// The call.
        call: CallId,
        /// The target.
        target: Arc<str>,
        /// The task.
        name: Name,
        /// The number of the attempt at the task.
        attempt: u32,
        /// The instructions for the task.
        text: Arc<str>,
        /// The owner's token.
        fence: Fence,
        /// When the lease ends, on the target's clock.
        lease_until: Millis,
    },
    /// Call a target to stop an attempt.
    Stop {
        /// The call.
        call: CallId,
        /// The target.
        target: Arc<str>,
        /// The task.
        name: Name,
        /// The number of the attempt at the task.
        attempt: u32,
        /// The owner's token.
        fence: Fence,
    },
    /// Call a target to renew the leases of all attempts there, and to report its attempts.
    Poll {
        /// The call.
        call: CallId,
        /// The target.
        target: Arc<str>,
        /// The owner's token.
        fence: Fence,
        /// When the renewed leases end, on the target's clock; `None` renews none.
        lease_until: Option<Millis>,
        /// The number of the last completion that is known here.
        acknowledged: u64,
        /// How long the target waits for a completion before it responds; zero for a short poll.
        wait: Millis,
    },
    /// Log that a task has failed or stalled, so that its target gets fewer tasks, or none for a while.
    Unhealthy {
        /// The target.
        target: Arc<str>,
        /// The task.
        name: Name,
        /// The number of the attempt at the task.
        attempt: u32,
        /// What happened to the attempt.
        trouble: Trouble,
        /// How long the target gets no tasks; zero if it is not ejected.
        ejection: Millis,
    },
    /// Tell the caller that a batch has ended.
    End {
        /// The batch.
        batch: BatchId,
        /// How the batch ended.
        outcome: Outcome,
        /// What the batch took.
        account: Account,
    },
    /// Record that a target is now owned and may be used.
    Acquired {
        /// The target.
        target: Arc<str>,
    },
    /// Record that a target is no longer owned or being acquired.
    Lost {
        /// The target.
        target: Arc<str>,
        /// Why the target is no longer owned.
        loss: Loss,
    },
}

/// Why a VM is no longer the owner of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// Another VM has acquired the target: the target has seen a higher token.
    Fenced,
    /// Another target responds at the target's address.
    Replaced,
    /// This VM released the target: it is gone, belongs to another VM, or this VM is draining.
    Released,
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Fenced => "fenced",
            Self::Replaced => "replaced",
            Self::Released => "released",
        })
    }
}

/// A problem with an attempt that may be its target's fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// The task failed.
    Failed,
    /// The task stalled, or is far slower than expected.
    Stalled,
}

/// What a batch took, for the log line that explains its end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Account {
    /// The time that the targets needed for the work that was queued when the batch arrived.
    pub backlog: Millis,
    /// How long the first attempt waited; `None` if none was sent.
    pub waited: Option<Millis>,
    /// Attempts that were sent.
    pub attempts: u32,
    /// Attempts that failed.
    pub failures: u32,
    /// Attempts that were stopped, lapsed, lost or refused by a target.
    pub aborted: u32,
}

/// The load of a VM's targets, by which other VMs decide where to send a batch.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Thousandths of cores of the owned targets that are healthy.
    pub total_cpu: u64,
    /// Thousandths of those cores that are free.
    pub free_cpu: u64,
    /// The time that all those cores together need for the work that waits.
    pub backlog: Millis,
}
