//! The operators' configuration: one document, stored in sections, that is in force on every VM.

mod check;
mod document;
mod fetch;
mod head;
mod holder;
pub mod operator;
mod section;
mod snapshot;
mod watcher;

pub use document::{
    Choice, Document, Ejection, Limits, Order, Queue, Retries, Service, SlotMode, Slots, Target,
    Team, WindowLimits,
};
pub use head::{Change, Hash, Head, Reference};
pub use holder::{Counts, Holder, Offer};
pub use section::{Body, Kind, Name, TEXT_MAX_BYTES, parse_document};
pub use snapshot::{Part, Refusal, Snapshot, Update};
pub use watcher::watch;
