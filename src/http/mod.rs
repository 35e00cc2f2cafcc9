//! HTTP/1.1: the server for callers, and the client connection that targets, the store and the
//! tools share.

mod client;
pub mod problem;
pub mod server;

pub use client::{Answer, Connection, Error, Question};
