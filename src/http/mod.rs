//! HTTP/1.1: the client connection that targets, the store and the tools share.

mod client;

pub use client::{Answer, Connection, Error, Question};
