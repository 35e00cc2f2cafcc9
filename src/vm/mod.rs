//! An entry VM on a platform whose targets run tasks under leases. This module connects the scheduler, the
//! ownership of targets and the routes with sockets, timers and the store.
//!
//! [`Adapter`] and [`Client`] hide the names and formats of the platform.

mod adapter;
mod announce;
mod calls;
mod cancel;
mod core;
mod evacuation;
mod follow;
mod meter;
mod node;
mod peers;
mod round;
mod routes;
mod settings;
mod start;
mod status;
mod stop;
mod submit;

pub use adapter::{Adapter, CallFuture, Client, Site};
pub use cancel::Cancellation;
pub use follow::{ROUTES_WAIT, TARGETS_PAUSE, TARGETS_PAUSE_OWNER, TARGETS_WAIT};
pub use node::Node;
pub use settings::{Callers, Settings};
pub use start::{Endpoints, Error, run};
pub use status::Status;
pub use submit::Wait;
