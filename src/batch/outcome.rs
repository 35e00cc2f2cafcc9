//! Outcomes of batches.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// How a batch ended. Each batch has exactly one outcome on the VM that ran it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// Every task is done.
    Done,
    /// A task failed as often as the queue's terms allow.
    Failed,
    /// No task was started, and none will be. The caller may submit the batch again.
    Refused {
        /// Why the batch was refused.
        reason: Refusal,
        /// The time after which the caller may retry.
        retry_after: Millis,
    },
    /// No task was started on this VM; another VM may run the batch.
    Moved,
    /// Tasks were started on this VM and none runs any longer; another VM may run the batch from its first step.
    Interrupted,
    /// The batch was cancelled on request. None of its tasks starts any longer.
    Cancelled,
    /// The caller's time ran out after tasks had been started. None runs any longer, or none will within one lease.
    Expired,
}

/// Why a batch was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// The work queued ahead of the batch leaves too little time for it.
    Overload,
    /// No VM that can be reached owns a target.
    Unowned,
    /// The VM is draining, and the batch may last beyond its shutdown.
    Stopping,
}

impl Outcome {
    /// The level of the log line about this outcome: a warning for anything but success.
    pub const fn log_level(&self) -> log::Level {
        match self {
            Self::Done => log::Level::Info,
            _ => log::Level::Warn,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Overload => "overload",
            Self::Unowned => "unowned",
            Self::Stopping => "stopping",
        })
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Done => f.write_str("done"),
            Self::Failed => f.write_str("failed"),
            Self::Refused { reason, .. } => write!(f, "refused-{reason}"),
            Self::Moved => f.write_str("moved"),
            Self::Interrupted => f.write_str("interrupted"),
            Self::Cancelled => f.write_str("cancelled"),
            Self::Expired => f.write_str("expired"),
        }
    }
}
