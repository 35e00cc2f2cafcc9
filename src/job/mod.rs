//! Jobs: their specifications, idempotency keys and outcomes, the aggregate that holds the state of their
//! tasks, and the table that makes submissions idempotent. Nothing here does I/O or reads a clock.

mod aggregate;
mod key;
mod outcome;
mod spec;
mod table;

pub use aggregate::{Job, State};
pub use key::{Incarnation, Key, KeyError, Prefix};
pub use outcome::{Answer, Execution, Failure, Outcome, Reason};
pub use spec::{Fingerprint, Spec, SpecError, Task};
pub use table::{Admission, Closing, Mark, Table, Windows};

/// Identifies a job within the process that coordinates it.
pub type Id = u64;
