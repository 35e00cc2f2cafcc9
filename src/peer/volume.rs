//! Counts the frames and bytes that are sent over the links.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

use crate::wire::Frame;

/// The traffic sent since the start of the process. Bytes are those of the frames, without the headers of WebSocket,
/// TCP and IP.
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

/// The values of a [`Volume`] at one time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Control frames: handshakes, heartbeats, notifications, and exchanges of configuration, view and routes.
    pub control_frames: u64,
    /// Bytes of control frames.
    pub control_bytes: u64,
    /// All other frames, mainly forwarded jobs, batches and tasks with their replies.
    pub job_frames: u64,
    /// Bytes of all other frames.
    pub job_bytes: u64,
}

impl Volume {
    /// Adds a frame that was sent, with its size in bytes.
    pub fn count(&self, frame: &Frame, bytes: usize) {
        let counter = if frame.is_control() { &self.control } else { &self.jobs };
        counter.frames.fetch_add(1, Ordering::Relaxed);
        counter.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the counts so far.
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
