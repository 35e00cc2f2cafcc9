//! The client side of targets: bounded pools of keep-alive connections, and the request that makes one attempt.

mod attempt;
mod pool;

pub use attempt::Rules;
pub use pool::{Pool, Pools};
