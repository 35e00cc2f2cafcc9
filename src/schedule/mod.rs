//! The scheduler of one VM: decides which task of which batch starts when, on which of the targets that the VM owns.
//!
//! It takes events with their time and returns actions. It does no I/O, reads no clock and starts no thread.
//! Replies of targets may come late, twice, in any order or never.

mod admission;
mod arrivals;
mod batch;
mod call;
mod capacity;
mod completion;
mod engine;
mod evacuation;
mod event;
mod fence;
mod history;
mod latency;
mod listing;
mod placement;
mod poll;
mod queue;
mod share;
mod speed;
mod stall;
mod tail;
mod target;
mod warmup;

pub use capacity::{Capacity, Leases};
pub use engine::Engine;
pub use event::{
    Account, Action, BatchId, CallId, Completion, Denial, Ending, Event, Listing, Load, Loss,
    Reply, Rules, Running, Snapshot, Trouble,
};
pub use fence::Fence;
