//! Links to the other VMs. Each VM of a pair dials the other, and heartbeats detect links that have failed.

mod link;
mod links;
mod socket;
mod volume;

pub use link::{Disconnected, Link};
pub use links::{Handler, Links, Rules};
pub use volume::{Counts, Volume};
