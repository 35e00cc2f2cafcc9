//! A running VM: it ties the decisions to the sockets.

mod calls;
mod core;
mod keys;
mod meter;
mod news;
mod node;
mod routes;
mod start;

pub use node::Node;
pub use start::{Error, dev, run};
