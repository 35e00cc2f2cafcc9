//! What goes into the scheduler and what comes out of it.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::batch::{Name, Outcome, Resources, Spec};
use crate::clock::Millis;

use super::fence::Fence;

/// A batch that this VM runs, unique within its process.
pub type BatchId = u64;

/// A call to a target, unique within its process.
pub type CallId = u64;

/// Times and factors that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// The longest lease that a target grants.
    pub lease_max: Millis,
    /// How much longer a task lasts on another rack than that of its data.
    pub far_factor: f64,
    /// How long a target that has left the list may still be used while it answers.
    pub unlisted_max: Millis,
}

/// A target as it describes itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// Its id.
    pub id: Arc<str>,
    /// The service whose tasks it runs.
    pub service: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Its rack.
    pub rack: Option<Arc<str>>,
    /// All its labels, the first of which names its kind.
    pub labels: Vec<String>,
    /// All that it has.
    pub capacity: Resources,
    /// Whether it is leaving and takes no new tasks.
    pub draining: bool,
    /// Whether it refuses by itself what does not fit.
    pub checks_capacity: bool,
    /// What tells one life of it from the next under the same id.
    pub incarnation: u64,
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's batch has come.
    Submit {
        /// Its number here.
        batch: BatchId,
        /// What it is.
        spec: Arc<Spec>,
        /// How long ago the caller sent it.
        age: Millis,
        /// How long its caller still waits.
        time_left: Millis,
    },
    /// The caller has left, or another VM has given the batch up.
    Abandon {
        /// The batch.
        batch: BatchId,
    },
    /// The targets that the store lists.
    Targets(Vec<Listing>),
    /// The target is to be taken over. The former owner's round is at least `round`.
    Acquire {
        /// The target.
        target: Arc<str>,
        /// The lowest round to try.
        round: u64,
    },
    /// A target that is being taken over is another VM's after all.
    CancelAcquire {
        /// The target.
        target: Arc<str>,
    },
    /// A call to a target has ended.
    Reply {
        /// The call.
        call: CallId,
        /// How.
        reply: Reply,
    },
    /// A start or a hold has been without an answer for far longer than usual, and may still be answered.
    Overdue {
        /// The call.
        call: CallId,
    },
    /// The platform has changed its times and factors.
    Rules(Rules),
    /// This VM is being stopped: unstarted batches move on, and targets are released as they become idle.
    Drain,
    /// Time has passed.
    Tick,
}

/// How a call to a target ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The target has executed a start or a stop, now or earlier.
    Executed {
        /// The target's clock.
        clock: Millis,
    },
    /// A hold was answered.
    Polled(Snapshot),
    /// The target refused the call and did nothing.
    Denied {
        /// Why.
        denial: Denial,
        /// Its clock, if it said.
        clock: Option<Millis>,
    },
    /// Nothing was sent.
    Unsent,
    /// No answer came; the call may have been executed, or may be later.
    Lost,
}

impl fmt::Display for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Executed { .. } | Self::Polled(_) => f.write_str("ok"),
            Self::Denied { denial, .. } => write!(f, "denied-{denial}"),
            Self::Unsent => f.write_str("unsent"),
            Self::Lost => f.write_str("lost"),
        }
    }
}

/// What a target says it runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Its clock.
    pub clock: Millis,
    /// What tells this life of it from others under the same id, if it said.
    pub incarnation: Option<u64>,
    /// What runs.
    pub running: Vec<Running>,
    /// What has ended and was not acknowledged yet, in the order of its numbers.
    pub completions: Vec<Completion>,
}

/// A task that runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Running {
    /// The task.
    pub name: Name,
    /// Which start of it.
    pub attempt: u32,
    /// How much of its work is done, in percent, if the target said.
    pub progress: Option<u32>,
}

/// A task that has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Completion {
    /// The number of the end, from 1 in each life of the target.
    pub number: u64,
    /// The task.
    pub name: Name,
    /// Which start of it.
    pub attempt: u32,
    /// How.
    pub ending: Ending,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// It did what it was told.
    Done,
    /// It failed by itself or by its target's fault.
    Failed,
    /// It was stopped, or its lease lapsed, and it is no fault of its own.
    Aborted,
}

/// Why a target refused a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// It has seen a higher token.
    Fence,
    /// The run is not above one that was stopped or has ended there.
    StaleAttempt,
    /// The lease would have lapsed already.
    Late,
    /// The task does not fit.
    Full,
    /// The target is not well.
    Unhealthy,
    /// It is another life of the target than the one that was meant.
    OtherIncarnation,
    /// The target can't read the call, or knows no such task.
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

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a task.
    Start {
        /// The call.
        call: CallId,
        /// Where.
        target: Arc<str>,
        /// The task.
        name: Name,
        /// Which start of it.
        attempt: u32,
        /// What the task is told to do.
        text: Arc<str>,
        /// The owner's token.
        fence: Fence,
        /// Until when the lease lasts, on the target's clock.
        lease_until: Millis,
    },
    /// Stop a task.
    Stop {
        /// The call.
        call: CallId,
        /// Where.
        target: Arc<str>,
        /// The task.
        name: Name,
        /// Which start of it.
        attempt: u32,
        /// The owner's token.
        fence: Fence,
    },
    /// Renew the leases of all that runs on a target, and ask what runs.
    Poll {
        /// The call.
        call: CallId,
        /// Where.
        target: Arc<str>,
        /// The owner's token.
        fence: Fence,
        /// Until when the leases last, on the target's clock; `None` to look only.
        lease_until: Option<Millis>,
        /// The last end that is known here.
        acknowledged: u64,
        /// How long the answer waits for an end.
        wait: Millis,
    },
    /// A task has failed or stands still, and its target gets fewer tasks, or none for a while. For the log only.
    Unhealthy {
        /// The target.
        target: Arc<str>,
        /// The task.
        name: Name,
        /// Which start of it.
        attempt: u32,
        /// What happened.
        trouble: Trouble,
        /// How long the target gets no tasks.
        ejection: Millis,
    },
    /// A batch has ended.
    End {
        /// The batch.
        batch: BatchId,
        /// How.
        outcome: Outcome,
        /// What it took.
        account: Account,
    },
    /// A target is now owned and may be used.
    Acquired {
        /// The target.
        target: Arc<str>,
    },
    /// A target was released, is gone, or has another owner.
    Lost {
        /// The target.
        target: Arc<str>,
        /// Why.
        loss: Loss,
    },
}

/// Why a VM is no longer the owner of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// Another VM has taken it: the target has seen a higher token.
    Fenced,
    /// Another worker answers at its address.
    Replaced,
    /// This VM let it go: it is gone, or another VM's, or this VM stops.
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

/// What may be a target's fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// A task failed.
    Failed,
    /// A task stands still.
    Stalled,
}

/// What a batch took, for the line in the log that explains its end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Account {
    /// How long the targets needed for what waited when it came.
    pub backlog: Millis,
    /// How long its first task waited; `None` if none was started.
    pub waited: Option<Millis>,
    /// Starts that were sent.
    pub attempts: u32,
    /// Tasks that failed.
    pub failures: u32,
    /// Tasks that were stopped, lapsed or refused by a target.
    pub aborted: u32,
}

/// How busy a VM's targets are; what other VMs go by when they pass a batch on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Thousandths of cores of the targets that are owned and sound.
    pub total_cpu: u64,
    /// Those of them that are free.
    pub free_cpu: u64,
    /// How long all of them together need for what waits.
    pub backlog: Millis,
}
