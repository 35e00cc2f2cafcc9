//! A running VM that serves jobs. It connects the engine of [`dispatch`](crate::dispatch) to callers, targets, other
//! VMs and the store.

mod calls;
mod core;
mod dev;
mod keys;
mod meter;
mod node;
mod routes;
mod start;
mod stop;
mod sync;

pub use dev::dev;
pub use node::Node;
pub use start::{Error, run};
