//! How a batch ended.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// The one end of a batch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// Every task is done.
    Done,
    /// A task failed as often as its queue allows.
    Failed,
    /// No task was started, and none will be.
    Refused {
        /// Why.
        reason: Refusal,
        /// When the caller may come back.
        retry_after: Millis,
    },
    /// No task was started here; another VM may take the batch.
    Moved,
    /// Tasks were started here and none runs any longer; another VM may run the batch from the start.
    Interrupted,
    /// Time ran out after tasks had been started. None runs any longer, or none will within a lease.
    Expired,
}

/// Why a batch was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// What waits ahead of it leaves too little time.
    Overload,
    /// No target is held by any VM in reach.
    Unowned,
    /// The VM is being stopped and may not see its end.
    Stopping,
}

impl Outcome {
    /// How severe a line of the log on this end is: any end but a success needs a look.
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
            Self::Expired => f.write_str("expired"),
        }
    }
}
