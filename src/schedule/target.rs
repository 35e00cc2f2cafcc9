//! One target: who owns it, what runs there, how fast it is, and whether it may be trusted with tasks.

use crate::batch::{Name, Resources};
use crate::clock::Millis;

use super::event::{BatchId, CallId, Listing};
use super::fence::Fence;
use super::speed::Track;
use super::stall::Progress;

/// Failures in a row, of different jobs, after which a target rests.
const FAILURES_MAX: u32 = 2;

/// The first rest of a target that fails; it doubles up to [`REST_MAX`].
const REST_MIN: Millis = Millis(1000);

/// The longest rest.
const REST_MAX: Millis = Millis(8000);

/// Starts in a row that did not arrive, after which a target counts as one that can't be reached.
const LOST_STARTS_MAX: u32 = 3;

/// The rest of a target that can't be reached or says that it is not well.
const REST_UNWELL: Millis = Millis(300);

/// Whether this VM owns a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Another VM owns it, or none.
    Free,
    /// Its token is being raised.
    Taking,
    /// This VM's token is the highest that it has seen, as far as this VM knows.
    Owned,
}

/// A target.
#[derive(Debug)]
pub(super) struct Target {
    pub listing: Listing,
    /// Since when the store does not list it; `None` while it does.
    pub unlisted_since: Option<Millis>,
    /// The life that answers.
    pub life: u64,
    pub phase: Phase,
    pub fence: Fence,
    pub clock: Option<Reading>,
    pub runs: Vec<Run>,
    /// What runs there and was not started by this VM.
    pub foreign: Vec<(Name, u32)>,
    /// The last end that is known here.
    pub seen: u64,
    /// The hold that waits for an end.
    pub waiting_hold: Option<CallId>,
    /// The hold that asks what runs.
    pub quick_hold: Option<CallId>,
    /// Whether an answer was lost since the last hold under the present token was answered.
    pub unsure: bool,
    /// Whether it could not be reached when it was to be taken: it is asked without a token until it answers.
    pub unreached: bool,
    /// When the next quick hold may be sent.
    pub hold_due: Millis,
    /// When a hold was answered last.
    pub heard: Millis,
    /// When all that runs there has surely lapsed, if no lease is renewed.
    pub lapse_by: Millis,
    pub health: Health,
    pub track: Track,
    /// How much longer than declared tasks last there, as a factor that was worked out at the last tick or end.
    pub slowness: f64,
}

/// A target's clock as it was read last.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reading {
    pub clock: Millis,
    pub at: Millis,
}

/// A start that has no end yet.
#[derive(Debug)]
pub(super) struct Run {
    pub job: BatchId,
    /// The number of the task in its job.
    pub task: usize,
    pub name: Name,
    /// Which start of the task.
    pub attempt: u32,
    pub need: Resources,
    pub state: State,
    /// The token under which it was ordered.
    pub fence: Fence,
    pub sent: Millis,
    pub expected: Millis,
    pub declared: Millis,
    pub far: bool,
    pub slowness: f64,
    /// The turn at which it was ordered.
    pub ordered: u64,
    /// Whether the answer to its start is overdue: a look is to show whether it arrived.
    pub overdue: bool,
    /// The turn at which the target confirmed the state.
    pub confirmed: u64,
    /// Whether nobody waits for it any longer.
    pub orphan: bool,
    pub progress: Progress,
}

/// How far a run is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    /// The start has no answer yet.
    Ordered,
    /// The target has it.
    Running,
    /// The stop has no answer yet.
    Stopping,
    /// The stop was answered; the end is not listed yet.
    Stopped,
}

impl Target {
    pub fn new(listing: Listing, fence: Fence) -> Self {
        Self {
            life: listing.incarnation,
            listing,
            unlisted_since: None,
            phase: Phase::Free,
            fence,
            clock: None,
            runs: Vec::new(),
            foreign: Vec::new(),
            seen: 0,
            waiting_hold: None,
            quick_hold: None,
            unsure: false,
            unreached: false,
            hold_due: Millis::ZERO,
            heard: Millis::ZERO,
            lapse_by: Millis::ZERO,
            health: Health::default(),
            track: Track::default(),
            slowness: 1.0,
        }
    }

    /// The kind that its first label names.
    pub fn kind(&self) -> Option<&String> {
        self.listing.labels.first()
    }

    /// Whether new tasks may go there, their room left aside.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.is_sound(now) && (!self.health.on_probation || self.runs.is_empty())
    }

    /// Whether it is owned, known and not resting.
    pub fn is_sound(&self, now: Millis) -> bool {
        self.phase == Phase::Owned
            && !self.unsure
            && !self.listing.draining
            && self.foreign.is_empty()
            && self.life == self.listing.incarnation
            && self.clock.is_some()
            && self.health.rests_until <= now
    }

    /// What is free.
    pub fn free(&self) -> Resources {
        self.runs.iter().fold(self.listing.capacity, |free, run| free.without(&run.need))
    }

    /// The time on the target's clock, at least about that: the clock may be slow, and the reading is old.
    pub fn clock_at(&self, now: Millis) -> Option<Millis> {
        self.clock.map(|reading| reading.clock + (now - reading.at))
    }

    /// Notes the target's clock.
    pub fn read_clock(&mut self, clock: Millis, now: Millis) {
        self.clock = Some(Reading { clock, at: now });
    }

    /// Lets another hold be sent in the place of one.
    pub fn forget_hold(&mut self, order: CallId) {
        self.waiting_hold.take_if(|hold| *hold == order);
        self.quick_hold.take_if(|hold| *hold == order);
    }

    /// Whether any call was answered since `time`.
    pub fn has_answered_since(&self, time: Millis) -> bool {
        self.clock.is_some_and(|reading| reading.at > time)
    }

    /// The run of a task.
    pub fn find(&self, name: &Name, run: u32) -> Option<usize> {
        self.runs.iter().position(|known| known.attempt == run && known.name == *name)
    }

    /// Whether a look is due to settle a start without an answer.
    pub fn has_unsettled(&self) -> bool {
        let is_unsettled = |run: &Run| run.overdue || run.fence < self.fence;
        self.runs.iter().any(|run| run.state == State::Ordered && is_unsettled(run))
    }

    /// Raises the token, so that whatever was sent under the old one and has not arrived is refused. The target is
    /// used meanwhile if it has answered anything since `sent`: what is not settled keeps its room.
    pub fn raise(&mut self, sent: Millis) {
        self.fence = self.fence.at(self.fence.round + 1);
        self.unsure |= !self.has_answered_since(sent);
    }
}

/// Whether a target may be trusted with tasks.
#[derive(Debug, Default)]
pub(super) struct Health {
    failures: u32,
    /// Starts in a row that did not arrive.
    pub lost_starts: u32,
    last_failed: Option<BatchId>,
    rest: Millis,
    /// Until when it gets nothing.
    pub rests_until: Millis,
    /// Whether it gets one task at a time until one is done.
    pub on_probation: bool,
}

impl Health {
    /// A task is done.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// A task has failed, which may be its own fault: a job counts once.
    pub fn fail(&mut self, now: Millis, job: BatchId) {
        if self.last_failed != Some(job) {
            self.failures += 1;
        }
        self.last_failed = Some(job);
        self.on_probation = true;
        if self.failures >= FAILURES_MAX {
            self.rest(now);
        }
    }

    /// A start did not arrive, though the target answers otherwise.
    pub fn lose_start(&mut self, now: Millis) {
        self.lost_starts += 1;
        if self.lost_starts >= LOST_STARTS_MAX {
            self.unwell(now);
        }
    }

    /// A task stands still, or lasts far longer than expected.
    pub fn stall(&mut self, now: Millis) {
        self.on_probation = true;
        if self.rests_until <= now {
            self.rest(now);
        }
    }

    /// How long it gets nothing.
    pub fn rest_left(&self, now: Millis) -> Millis {
        self.rests_until - now
    }

    /// It can't be reached, or says that it is not well.
    pub fn unwell(&mut self, now: Millis) {
        self.on_probation = true;
        self.rests_until = self.rests_until.max(now + REST_UNWELL);
    }

    fn rest(&mut self, now: Millis) {
        self.rest = (self.rest * 2).clamp(REST_MIN, REST_MAX);
        self.rests_until = now + self.rest;
    }
}
