//! Routing: which queue a request belongs to, by its host and path, and which VM runs its batch.

mod choice;
mod holder;
mod table;

pub use choice::{Candidate, Demand, choose};
pub use holder::{Holder, Snapshot};
pub use table::{Route, Table};
