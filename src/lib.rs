//! A dispatcher for jobs of sub-second tasks.

pub mod audit;
pub mod check;
pub mod cli;
pub mod client;
pub mod clock;
pub mod config;
pub mod configure;
pub mod dispatch;
pub mod exit;
pub mod http;
pub mod invariant;
pub mod job;
pub mod logs;
pub mod membership;
pub mod metrics;
pub mod peer;
pub mod runtime;
pub mod serve;
pub mod settings;
pub mod store;
pub mod target;
pub mod wire;
