//! Batches: jobs whose tasks run under leases on targets, and take cores and memory there instead of a slot.
//!
//! The caller waits for the outcome of its batch, which is kept nowhere else. Jobs whose outcomes are kept under
//! their key are in [`crate::job`].

mod name;
mod outcome;
mod spec;

pub use name::Name;
pub use outcome::{Outcome, Refusal};
pub use spec::{Invalid, Resources, STEPS_MAX, Spec, Step, Terms};
