//! The dispatch policy: decides when and where each task runs.
//!
//! The engine takes events with the current time and returns actions. It does no I/O, reads no
//! clock and starts no threads, so that the server, tests and benchmarks can all drive it.

mod accept;
mod account;
mod budget;
mod delegate;
mod demand;
mod engine;
mod estimate;
mod event;
mod fleet;
mod health;
mod pool;
mod queue;
mod report;
mod service;
mod slots;
mod start;
mod submit;
mod target;
mod timer;
mod traffic;

pub use engine::Engine;
pub use event::{
    Action, Attempt, AttemptId, Counts, Delegation, DelegationId, Demand, Destination, Event, Loan,
    Member, Report, Request, Return, SlotMessage,
};
