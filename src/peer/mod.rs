//! Links to the other VMs: one dialled by each side of a pair, kept alive by heartbeats.

mod link;
mod links;
mod socket;
mod volume;

pub use link::{Disconnected, Link};
pub use links::{Handler, Links, Rules};
pub use volume::{Counts, Volume};
