//! Batches: jobs whose tasks run under leases on targets, and take cores and memory instead of a slot.
//!
//! A batch is answered when it has ended and is not kept anywhere else; [`crate::job`] holds the jobs whose
//! answers are kept under their key.

mod name;
mod outcome;
mod spec;

pub use name::Name;
pub use outcome::{Outcome, Refusal};
pub use spec::{Invalid, Resources, Spec, Step, Terms};
