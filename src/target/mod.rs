//! Targets: bounded pools of kept-alive connections, and the exchange that runs one attempt.

mod attempt;
mod pool;

pub use attempt::Rules;
pub use pool::{Pool, Pools};
