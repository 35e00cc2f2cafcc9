//! The operators' configuration: one document in sections, in force on every VM.

mod document;

pub use document::{
    Document, Ejection, Limits, Queue, Retries, Service, SlotMode, Slots, Target, Team,
    WindowLimits,
};
