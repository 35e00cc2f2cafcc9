//! A dispatcher for jobs of sub-second tasks. Callers submit jobs to entry VMs, which run the tasks on targets.
//!
//! There are two kinds of entry VM. In [`serve`] and [`dispatch`], jobs have idempotency keys and each task takes a
//! slot of a target. In [`vm`] and [`schedule`], which [`platform`] adapts to the users' platform, jobs are batches
//! whose tasks run under leases and take cores and memory. Most other modules are used by both.

pub mod accept;
pub mod audit;
pub mod batch;
pub mod check;
pub mod cli;
pub mod client;
pub mod clock;
pub mod config;
pub mod configure;
pub mod contain;
pub mod dispatch;
pub mod evacuation;
pub mod exit;
pub mod http;
pub mod invariant;
pub mod job;
pub mod logs;
pub mod membership;
pub mod metrics;
pub mod ownership;
pub mod peer;
pub mod platform;
pub mod route;
pub mod runtime;
pub mod schedule;
pub mod serve;
pub mod settings;
pub mod store;
pub mod target;
pub mod vm;
pub mod wire;
