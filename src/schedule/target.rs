//! The state of one target: its owner, its attempts, its speed and its health.

use crate::batch::{Name, Resources};
use crate::clock::Millis;

use super::event::{BatchId, CallId, Listing};
use super::fence::Fence;
use super::speed::Mean;
use super::stall::Progress;
use super::warmup::Warmup;

/// Failures of different batches with no success between, after which a target is ejected.
const FAILURE_STREAK_MAX: u32 = 2;

/// The first ejection time of a target that fails; it doubles up to [`EJECTION_MAX`].
const EJECTION_MIN: Millis = Millis(1000);

/// The longest ejection time.
const EJECTION_MAX: Millis = Millis(8000);

/// Lost starts with no success between, after which a target counts as unreachable.
const LOST_STREAK_MAX: u32 = 3;

/// The ejection time of a target that can't be reached or reports that it is unhealthy.
const UNHEALTHY_EJECTION: Millis = Millis(300);

/// How long an attempt that nobody waits for may keep its target's leases renewed. Its caller submits the job again after
/// 1,300 ms; by then this time and a whole lease must have passed.
const STOP_WAIT_MAX: Millis = Millis(150);

/// How far a target's clock must be behind an earlier reading to show that its process, and with it the clock, has started
/// anew. Responses overtake each other by less.
const CLOCK_RESET_MIN: Millis = Millis(1000);

/// Whether this VM owns a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Another VM owns the target, or none does.
    Unowned,
    /// This VM raises the target's token to acquire it.
    Acquiring,
    /// This VM's token is the highest that the target has seen, as far as this VM knows.
    Owned,
}

/// A target.
#[derive(Debug)]
pub(super) struct Target {
    pub listing: Listing,
    /// Whether the target's failure domain is evacuated, so that nothing may start here.
    pub evacuated: bool,
    pub warmup: Warmup,
    /// Since when the store does not list the target; `None` while it does.
    pub unlisted_since: Option<Millis>,
    /// The latest known incarnation, which may be ahead of the listing's.
    pub incarnation: u64,
    /// The event sequence when the target itself reported the incarnation.
    pub incarnation_seq: u64,
    /// The event sequence when something last suggested that the target has restarted; `None` once a later poll has shown
    /// its incarnation.
    pub doubted_seq: Option<u64>,
    pub phase: Phase,
    pub fence: Fence,
    /// By how many rounds the token rises when the target next denies it during an acquisition.
    pub denied_step: u64,
    pub clock: Option<Reading>,
    pub attempts: Vec<Attempt>,
    /// Attempts that run on the target and that this VM did not send.
    pub foreign: Vec<AttemptId>,
    /// The number of the last completion that is known here.
    pub acknowledged: u64,
    /// The long poll under way, which waits for a completion.
    pub long_poll: Option<CallId>,
    /// The short poll under way, which asks what runs.
    pub short_poll: Option<CallId>,
    /// Whether a reply was lost since the last poll under the present token was answered.
    pub unsynced: bool,
    /// Whether the target did not respond while being acquired; it is polled without a token until it does.
    pub unreachable: bool,
    /// When the next poll may be sent.
    pub next_poll_at: Millis,
    /// When the last snapshot came.
    pub last_snapshot_at: Millis,
    /// When all attempts have surely lapsed if no lease is renewed.
    pub lapses_at: Millis,
    pub health: Health,
    /// The batches with tasks that looked slow here, with no usual task between.
    pub slow_batches: Vec<BatchId>,
    /// The logarithms of this target's own slowness.
    pub speed: Mean,
    /// How much longer than declared tasks last here, as a factor, updated at each tick and completion.
    pub slowness: f64,
}

/// A reading of a target's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reading {
    pub clock: Millis,
    /// When it was read, on this VM's clock.
    pub read_at: Millis,
}

/// A task's name and the number of an attempt at it.
pub(super) type AttemptId = (Name, u32);

/// An attempt that has no known end.
#[derive(Debug)]
pub(super) struct Attempt {
    pub batch: BatchId,
    /// The index of the task in its batch.
    pub task: usize,
    pub name: Name,
    /// The number of the attempt at the task.
    pub number: u32,
    pub resources: Resources,
    pub state: State,
    /// The token under which the start was sent.
    pub fence: Fence,
    pub sent_at: Millis,
    pub expected: Millis,
    pub declared: Millis,
    pub far: bool,
    /// Whether the target was cold when the start was sent.
    pub cold: bool,
    pub slowness: f64,
    /// The event sequence when the start was sent.
    pub sent_seq: u64,
    /// Whether the response to the start is overdue, so that a poll has to show whether the start arrived.
    pub overdue: bool,
    /// The event sequence when the target confirmed the state; 0 if it never did.
    pub confirmed_seq: u64,
    /// When the batch went, since which nobody waits for the attempt; `None` while the batch is there.
    pub orphaned_at: Option<Millis>,
    pub progress: Progress,
}

impl Attempt {
    /// Whether nobody waits for the attempt.
    pub const fn is_orphan(&self) -> bool {
        self.orphaned_at.is_some()
    }
}

/// The state of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    /// The start was sent and is not confirmed.
    Sent,
    /// The target runs the task.
    Running,
    /// The stop was sent and is not confirmed.
    Stopping,
    /// The stop is confirmed; the completion is not listed yet.
    Stopped,
}

impl Target {
    pub fn new(listing: Listing, fence: Fence) -> Self {
        Self {
            incarnation: listing.incarnation,
            incarnation_seq: 0,
            doubted_seq: None,
            listing,
            evacuated: false,
            warmup: Warmup::default(),
            unlisted_since: None,
            phase: Phase::Unowned,
            fence,
            denied_step: 1,
            clock: None,
            attempts: Vec::new(),
            foreign: Vec::new(),
            acknowledged: 0,
            long_poll: None,
            short_poll: None,
            unsynced: false,
            unreachable: false,
            next_poll_at: Millis::ZERO,
            last_snapshot_at: Millis::ZERO,
            lapses_at: Millis::ZERO,
            health: Health::default(),
            slow_batches: Vec::new(),
            speed: Mean::default(),
            slowness: 1.0,
        }
    }

    /// The kind, named by the first label.
    pub fn kind(&self) -> Option<&String> {
        self.listing.labels.first()
    }

    /// Whether new tasks may be sent here if their resources fit.
    pub fn is_usable(&self, now: Millis) -> bool {
        let is_limited = self.health.on_probation || self.warmup.is_cold(now);
        self.is_healthy(now) && (!is_limited || self.attempts.is_empty())
    }

    /// Whether the target is owned, synced and neither ejected nor evacuated.
    pub fn is_healthy(&self, now: Millis) -> bool {
        self.phase == Phase::Owned
            && !self.unsynced
            && !self.listing.draining
            && !self.evacuated
            && self.foreign.is_empty()
            && !self.has_overdue_stop(now)
            && self.incarnation == self.listing.incarnation
            && self.clock.is_some()
            && self.health.ejected_until <= now
    }

    /// Whether an attempt that nobody waits for still runs here although it should have stopped. No lease may be renewed
    /// then, as a renewal extends it too.
    pub fn has_overdue_stop(&self, now: Millis) -> bool {
        let is_overdue =
            |attempt: &Attempt| attempt.orphaned_at.is_some_and(|at| now - at > STOP_WAIT_MAX);
        self.attempts.iter().any(is_overdue)
    }

    /// The resources that no attempt takes.
    pub fn free(&self) -> Resources {
        let taken = self.attempts.iter();
        taken.fold(self.listing.capacity, |free, attempt| free.without(&attempt.resources))
    }

    /// The approximate time on the target's clock, extrapolated from the last reading: the target's clock may run
    /// slower than this VM's.
    pub fn clock_at(&self, now: Millis) -> Option<Millis> {
        self.clock.map(|reading| reading.clock + (now - reading.read_at))
    }

    /// Records a reading of the target's clock, at an event sequence. If the clock has started anew, so has the target's
    /// process, and nothing is started there until a poll has shown what it runs.
    pub fn record_clock(&mut self, clock: Millis, now: Millis, sequence: u64) {
        let is_reset = self.clock.is_some_and(|reading| clock + CLOCK_RESET_MIN < reading.clock);
        if is_reset {
            self.doubted_seq = Some(sequence);
            self.unsynced = true;
            self.next_poll_at = now;
        }
        self.clock = Some(Reading { clock, read_at: now });
    }

    /// The number of the last completion to acknowledge. While the target may have restarted it is none, as a new process
    /// numbers its completions anew and would forget those up to that number.
    pub fn to_acknowledge(&self) -> u64 {
        if self.doubted_seq.is_some() { 0 } else { self.acknowledged }
    }

    /// Forgets a poll, so that another can be sent in its place.
    pub fn forget_poll(&mut self, call: CallId) {
        self.long_poll.take_if(|poll| *poll == call);
        self.short_poll.take_if(|poll| *poll == call);
    }

    /// Whether the target has responded to any call since `time`.
    pub fn has_responded_since(&self, time: Millis) -> bool {
        self.clock.is_some_and(|reading| reading.read_at > time)
    }

    /// The position of an attempt in `attempts`.
    pub fn find(&self, name: &Name, number: u32) -> Option<usize> {
        self.attempts.iter().position(|known| known.number == number && known.name == *name)
    }

    /// Whether a short poll has to show whether a start arrived.
    pub fn has_unsettled(&self) -> bool {
        let is_unsettled = |attempt: &Attempt| attempt.overdue || attempt.fence < self.fence;
        self.attempts.iter().any(|attempt| attempt.state == State::Sent && is_unsettled(attempt))
    }

    /// Raises a token that the target has denied during its acquisition. The former owner's round is not known, so each
    /// step is twice the last one: many rounds are passed quickly, and few are skipped if the first guess was close.
    pub fn raise_denied_token(&mut self) {
        self.fence = self.fence.at(self.fence.round.saturating_add(self.denied_step));
        self.denied_step = self.denied_step.saturating_mul(2);
    }

    /// Raises the token, so that the target refuses every call that was sent under the old one and has not arrived
    /// yet. The target stays in use meanwhile if it has responded to anything since `sent_at`: unsettled attempts
    /// keep their resources.
    pub fn raise_token(&mut self, sent_at: Millis) {
        self.fence = self.fence.at(self.fence.round + 1);
        self.unsynced |= !self.has_responded_since(sent_at);
    }
}

/// The health of a target, judged by its attempts.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// Failures of different batches with no success between.
    failure_streak: u32,
    /// Starts that did not arrive, with none that did between.
    pub lost_streak: u32,
    last_failed: Option<BatchId>,
    /// The last ejection time for failures or stalls.
    ejection: Millis,
    /// When the target may get tasks again.
    pub ejected_until: Millis,
    /// Whether the target gets one task at a time until one succeeds.
    pub on_probation: bool,
}

impl Health {
    /// Records a success, which clears everything.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure. It may be the task's own fault, so failures in a row of one batch count once.
    pub fn record_failure(&mut self, now: Millis, batch: BatchId) {
        if self.last_failed != Some(batch) {
            self.failure_streak += 1;
        }
        self.last_failed = Some(batch);
        self.on_probation = true;
        if self.failure_streak >= FAILURE_STREAK_MAX {
            self.eject(now);
        }
    }

    /// Records a start that did not arrive, though the target responds to other calls.
    pub fn record_lost_start(&mut self, now: Millis) {
        self.lost_streak += 1;
        if self.lost_streak >= LOST_STREAK_MAX {
            self.mark_unhealthy(now);
        }
    }

    /// Records a stalled or slow task.
    pub fn record_stall(&mut self, now: Millis) {
        self.on_probation = true;
        if self.ejected_until <= now {
            self.eject(now);
        }
    }

    /// The time until the target may get tasks again.
    pub fn ejection_left(&self, now: Millis) -> Millis {
        self.ejected_until - now
    }

    /// Ejects the target briefly, since it can't be reached or reports that it is unhealthy.
    pub fn mark_unhealthy(&mut self, now: Millis) {
        self.on_probation = true;
        self.ejected_until = self.ejected_until.max(now + UNHEALTHY_EJECTION);
    }

    fn eject(&mut self, now: Millis) {
        self.ejection = (self.ejection * 2).clamp(EJECTION_MIN, EJECTION_MAX);
        self.ejected_until = now + self.ejection;
    }
}
