//! The scheduler of one VM: which task of which batch starts when, on which of the targets that the VM owns.
//!
//! It takes events with the time and returns actions; it does no I/O, reads no clock and starts no thread.
//! Answers may come late, twice, in any order or never.

mod answers;
mod attempts;
mod batch;
mod capacity;
mod end;
mod engine;
mod event;
mod fence;
mod hold;
mod inflow;
mod order;
mod placement;
mod queue;
mod speed;
mod stall;
mod target;

pub use capacity::{Capacity, Leases};
pub use engine::Engine;
pub use event::{
    Account, Action, BatchId, CallId, Completion, Denial, Ending, Event, Listing, Load, Loss,
    Reply, Rules, Running, Snapshot, Trouble,
};
pub use fence::Fence;
