//! The policy: which task starts when, and where. It takes events with the time and returns actions;
//! it does no I/O, reads no clock and starts no thread, so that any host can drive it.

mod engine;
mod event;

pub use engine::Engine;
pub use event::{
    Action, Adopted, Adoption, Counts, Event, Member, Place, Report, SlotMessage, Start, StartId,
};
