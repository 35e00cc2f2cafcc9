//! The settings of one VM: what differs from VM to VM, read once at the start.

pub mod unit;
