//! The lease on an accepted link: how long its frames are young enough to be acted on.

use crate::clock::Millis;

/// A lease that the peer renews by returning this VM's clock readings.
///
/// The peer can only return a reading after it was sent, and frames arrive in order. So each frame was sent after the
/// newest reading that came back before it, and no clocks need to agree. The peer gives the link up at the earliest when
/// it has received no reading for the same time, so a lease has expired by then: nothing that the peer runs elsewhere
/// afterwards is started here.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// The newest reading that was returned.
    renewed_at: Millis,
    /// How long the lease lasts after a reading.
    duration: Millis,
}

impl Lease {
    /// A lease for the peer of a link on which nothing was sent before `now`.
    pub const fn new(now: Millis, duration: Millis) -> Self {
        Self { renewed_at: now, duration }
    }

    /// Renews the lease by a reading that the peer has returned. Responses to older readings change nothing.
    pub fn renew(&mut self, reading: Millis) {
        self.renewed_at = self.renewed_at.max(reading);
    }

    /// The time until the lease expires; `None` once it has.
    pub fn time_left(&self, now: Millis) -> Option<Millis> {
        let age = now - self.renewed_at;
        (age <= self.duration).then(|| self.duration - age)
    }
}
