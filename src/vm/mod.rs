//! An entry VM on a platform whose targets run tasks under leases: it ties the scheduler, the ownership of
//! targets and the routes to sockets, timers and the store.
//!
//! The platform's own names and formats stay behind [`Adapter`] and [`Runner`].

mod adapter;
mod announce;
mod calls;
mod core;
mod follow;
mod meter;
mod node;
mod peers;
mod start;
mod status;
mod stop;
mod submit;

pub use adapter::{Adapter, Calling, Runner, Site};
pub use node::{Node, Settings};
pub use start::{Error, Fronts, run};
pub use status::Status;
pub use submit::Wait;
