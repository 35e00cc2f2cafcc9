//! Where a request goes: the queue that its host and path name, and the VM that is to run its batch.

mod choice;
mod table;

pub use choice::{Candidate, Demand, choose};
pub use table::{Route, Table};
