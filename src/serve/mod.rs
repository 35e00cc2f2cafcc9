//! A running VM: it ties the decisions to the sockets.

mod calls;
mod core;
mod dev;
mod keys;
mod meter;
mod news;
mod node;
mod routes;
mod start;
mod stop;

pub use dev::dev;
pub use node::Node;
pub use start::{Error, run};
