//! The platform's workers, which are the targets: their entries in the store, and the client that calls them.

mod client;
mod entry;
mod message;

pub use client::Client;
pub use entry::{PREFIX, decode};
