//! HTTP/1.1: the server for callers, and the client connections to targets, the store and entry VMs.

mod body;
mod client;
mod holdings;
mod limited;
mod mask;
mod pool;
pub mod problem;
pub mod server;

pub use body::{BodyError, read_body};
pub use client::{Connection, Error, Request, Response};
pub use holdings::{Held, Holdings};
pub use pool::{Limits, Pool};
