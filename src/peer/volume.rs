//! What goes over the links, counted in frames and bytes.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

use crate::wire::Frame;

/// Counts since the start, of frames without the headers of the layers below.
#[derive(Debug, Default)]
pub struct Volume {
    control: Counter,
    jobs: Counter,
}

#[derive(Debug, Default)]
struct Counter {
    frames: AtomicU64,
    bytes: AtomicU64,
}

/// A reading of a [`Volume`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Heartbeats and news, in frames.
    pub control_frames: u64,
    /// Heartbeats and news, in bytes.
    pub control_bytes: u64,
    /// Jobs and tasks that are passed on, and their answers, in frames.
    pub job_frames: u64,
    /// Jobs and tasks that are passed on, and their answers, in bytes.
    pub job_bytes: u64,
}

impl Volume {
    /// Counts a frame that was sent.
    pub fn count(&self, frame: &Frame, bytes: usize) {
        let counter = if frame.is_control() { &self.control } else { &self.jobs };
        counter.frames.fetch_add(1, Ordering::Relaxed);
        counter.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The counts so far.
    pub fn counts(&self) -> Counts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Counts {
            control_frames: read(&self.control.frames),
            control_bytes: read(&self.control.bytes),
            job_frames: read(&self.jobs.frames),
            job_bytes: read(&self.jobs.bytes),
        }
    }
}
