//! HTTP/1.1: the server for callers, and the client connection that targets, the store and the
//! tools share.

mod body;
mod client;
mod pool;
pub mod problem;
pub mod server;

pub use body::{BodyError, read_body};
pub use client::{Connection, Error, Request, Response};
pub use pool::{Limits, Pool};
