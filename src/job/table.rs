//! The table of keys that makes submissions idempotent.
//!
//! Keys are kept by window, and whole windows are dropped at once. A key that was refused stays in
//! its window as refused, so that a delayed copy of the submission can't start what was called not run.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use crate::clock::Millis;
use crate::invariant;

use super::{Execution, Failure, Fingerprint, Id, Outcome, Reason};

/// How the table keeps keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Windows {
    /// The length of a window.
    pub length: Millis,
    /// How many windows before the current one are kept.
    pub kept: u64,
    /// The most keys in all windows together.
    pub keys_max: usize,
    /// The most bytes that the answers kept for resubmissions may take.
    pub answer_bytes_max: usize,
}

/// What the table says of a submission.
#[derive(Clone, Debug)]
pub enum Admission {
    /// The key is new: the job may be started, under this number.
    New(Id),
    /// The job runs already; its outcome will serve this submission too.
    Join(Id),
    /// The job has ended.
    Ended(Arc<Outcome>),
    /// Refused; nothing was changed.
    Refused(Failure),
}

/// What a closing record says of one key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mark {
    /// No task was started.
    NotRun,
    /// The job ended after a task had started.
    Ran,
    /// Nothing more is known.
    Unknown,
}

/// All that a process knows of its keys at its planned end.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Closing {
    /// The oldest window whose keys are all listed.
    pub oldest: u64,
    /// Each accepted key's window and own id, with its mark, in order.
    pub keys: Vec<(u64, Box<str>, Mark)>,
}

#[derive(Clone, Debug)]
enum Entry {
    Running {
        job: Id,
        fingerprint: Fingerprint,
    },
    Ended {
        outcome: Arc<Outcome>,
        fingerprint: Fingerprint,
    },
    /// Ended, and the answers were dropped to make room.
    Forgotten {
        mark: Mark,
        fingerprint: Fingerprint,
    },
    /// Cancelled before any submission arrived.
    Fenced,
}

#[derive(Debug, Default)]
struct Window {
    running: usize,
    /// Whether a key was refused here without an entry, so that no further one may be accepted.
    sealed: bool,
    entries: HashMap<Box<str>, Entry>,
}

/// The keys of one process.
#[derive(Debug)]
pub struct Table {
    windows: BTreeMap<u64, Window>,
    current: u64,
    oldest: u64,
    keys: usize,
    answer_bytes: usize,
    /// Ended jobs whose answers are kept, oldest first.
    answered: VecDeque<(u64, Box<str>)>,
    next_job: Id,
    closed: bool,
}

impl Default for Table {
    fn default() -> Self {
        Self::new()
    }
}

impl Table {
    /// An empty table in window 0.
    pub fn new() -> Self {
        Self {
            windows: BTreeMap::from([(0, Window::default())]),
            current: 0,
            oldest: 0,
            keys: 0,
            answer_bytes: 0,
            answered: VecDeque::new(),
            next_job: 1,
            closed: false,
        }
    }

    /// The window that new prefixes name.
    pub const fn window(&self) -> u64 {
        self.current
    }

    /// The number of keys held.
    pub const fn len(&self) -> usize {
        self.keys
    }

    /// Whether no key is held.
    pub const fn is_empty(&self) -> bool {
        self.keys == 0
    }

    /// Moves to the window of `now` and drops those that are past keeping. Never moves back.
    pub fn advance(&mut self, now: Millis, rules: &Windows) {
        let number = now.0 / rules.length.0.max(1);
        if number > self.current {
            self.current = number;
            self.windows.entry(number).or_default();
        }
        let keep_from = self.current.saturating_sub(rules.kept);
        while let Some((&number, window)) = self.windows.first_key_value() {
            if number >= keep_from || window.running > 0 {
                break;
            }
            let dropped = self.windows.remove(&number).unwrap_or_default();
            self.forget_window(&dropped);
        }
        let first =
            self.windows.first_key_value().map_or(keep_from, |(&number, _)| number.min(keep_from));
        invariant!(
            first >= self.oldest,
            "the oldest window moved back from {} to {first}",
            self.oldest
        );
        self.oldest = first;
    }

    /// Decides on a submission of `own` in `window`.
    pub fn admit(
        &mut self,
        window: u64,
        own: &str,
        fingerprint: Fingerprint,
        rules: &Windows,
    ) -> Admission {
        if let Some(refusal) = self.refuse_window(window) {
            return Admission::Refused(refusal);
        }
        let full = self.keys >= rules.keys_max;
        let closed = self.closed;
        let room = self.windows.entry(window).or_default();
        if let Some(entry) = room.entries.get(own) {
            return entry.admission(Some(fingerprint));
        }
        if closed {
            room.sealed = true;
            return Admission::Refused(draining());
        }
        if full || room.sealed {
            room.sealed = true;
            return Admission::Refused(table_full(rules));
        }
        let job = self.next_job;
        self.next_job += 1;
        room.running += 1;
        room.entries.insert(own.into(), Entry::Running { job, fingerprint });
        self.keys += 1;
        Admission::New(job)
    }

    /// What is known of a key, without changing it; `None` for a key that was never seen.
    pub fn lookup(&self, window: u64, own: &str) -> Option<Admission> {
        if let Some(refusal) = self.refuse_window(window) {
            return Some(Admission::Refused(refusal));
        }
        let entry = self.windows.get(&window)?.entries.get(own)?;
        Some(entry.admission(None))
    }

    /// Makes sure that a key which was never seen will not be started. False if the key is known. A full
    /// table seals the key's whole window instead.
    pub fn fence(&mut self, window: u64, own: &str, rules: &Windows) -> bool {
        if self.refuse_window(window).is_some() {
            return false;
        }
        let room = self.windows.entry(window).or_default();
        if room.entries.contains_key(own) {
            return false;
        }
        if self.keys >= rules.keys_max {
            room.sealed = true;
        } else {
            room.entries.insert(own.into(), Entry::Fenced);
            self.keys += 1;
        }
        true
    }

    /// Keeps the outcome of a job for resubmissions.
    pub fn end(&mut self, window: u64, own: &str, outcome: Arc<Outcome>, rules: &Windows) {
        let room = self.windows.get_mut(&window);
        let entry = room.and_then(|room| {
            room.running -= 1;
            room.entries.get_mut(own)
        });
        let Some(entry) = entry else {
            invariant!(false, "a job ended whose key is not in the table");
            return;
        };
        let Entry::Running { fingerprint, .. } = *entry else {
            invariant!(false, "a job ended twice");
            return;
        };
        self.answer_bytes += outcome.kept_bytes();
        *entry = Entry::Ended { outcome, fingerprint };
        self.answered.push_back((window, own.into()));
        self.make_room(rules.answer_bytes_max);
    }

    /// Stops accepting keys for good.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// What is known of every key. Only a closed table can say so, since it never changes its mind.
    pub fn closing(&self) -> Closing {
        invariant!(self.closed, "a closing record was asked of an open table");
        let keys = self.windows.iter().flat_map(|(&number, window)| {
            window.entries.iter().map(move |(own, entry)| (number, own.clone(), entry.mark()))
        });
        let mut keys = keys.collect::<Vec<_>>();
        keys.sort_unstable_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
        Closing { oldest: self.oldest, keys }
    }

    fn refuse_window(&self, window: u64) -> Option<Failure> {
        if window < self.oldest {
            let detail = "the key's window was dropped; ask the service itself whether the job ran";
            return Some(Failure::new(Reason::Gone, Execution::Unknown, detail));
        }
        if window > self.current {
            let detail = "the key's window has not begun; take a prefix from POST /v1/keys";
            return Some(Failure::new(Reason::Invalid, Execution::Unknown, detail));
        }
        None
    }

    fn make_room(&mut self, bytes_max: usize) {
        while self.answer_bytes > bytes_max {
            let Some((window, own)) = self.answered.pop_front() else { return };
            let entry = self.windows.get_mut(&window).and_then(|room| room.entries.get_mut(&own));
            let Some(entry) = entry else { continue };
            let Entry::Ended { outcome, fingerprint } = entry else { continue };
            self.answer_bytes -= outcome.kept_bytes();
            *entry = Entry::Forgotten { mark: mark_of(outcome), fingerprint: *fingerprint };
        }
    }

    fn forget_window(&mut self, window: &Window) {
        self.keys -= window.entries.len();
        for entry in window.entries.values() {
            if let Entry::Ended { outcome, .. } = entry {
                self.answer_bytes -= outcome.kept_bytes();
            }
        }
        let windows = &self.windows;
        self.answered.retain(|(number, _)| windows.contains_key(number));
    }
}

impl Entry {
    const fn fingerprint(&self) -> Option<Fingerprint> {
        match self {
            Self::Running { fingerprint, .. }
            | Self::Ended { fingerprint, .. }
            | Self::Forgotten { fingerprint, .. } => Some(*fingerprint),
            Self::Fenced => None,
        }
    }

    fn admission(&self, asked: Option<Fingerprint>) -> Admission {
        let differs = asked.zip(self.fingerprint()).is_some_and(|(asked, known)| asked != known);
        if differs {
            let detail = "the key was used with another body; use a new key for a new job";
            return Admission::Refused(Failure::new(Reason::Mismatch, Execution::Unknown, detail));
        }
        match self {
            Self::Running { job, .. } => Admission::Join(*job),
            Self::Ended { outcome, .. } => Admission::Ended(Arc::clone(outcome)),
            Self::Forgotten { mark, .. } => Admission::Refused(forgotten(*mark)),
            Self::Fenced => Admission::Refused(fenced()),
        }
    }

    fn mark(&self) -> Mark {
        match self {
            Self::Running { .. } => Mark::Unknown,
            Self::Ended { outcome, .. } => mark_of(outcome),
            Self::Forgotten { mark, .. } => *mark,
            Self::Fenced => Mark::NotRun,
        }
    }
}

impl From<Mark> for Execution {
    fn from(mark: Mark) -> Self {
        match mark {
            Mark::NotRun => Self::NotRun,
            Mark::Ran => Self::Ran,
            Mark::Unknown => Self::Unknown,
        }
    }
}

fn mark_of(outcome: &Outcome) -> Mark {
    match outcome {
        Outcome::Complete(_) => Mark::Ran,
        Outcome::Failed(failure) => match failure.execution {
            Execution::NotRun => Mark::NotRun,
            Execution::Ran => Mark::Ran,
            Execution::Unknown => Mark::Unknown,
        },
    }
}

fn forgotten(mark: Mark) -> Failure {
    let detail = "the job has ended and its answer is no longer kept; ask the service itself";
    Failure::new(Reason::Gone, mark.into(), detail)
}

fn fenced() -> Failure {
    let detail =
        "the key was cancelled before the job arrived; use a new key if it is still wanted";
    Failure::new(Reason::Cancelled, Execution::NotRun, detail)
}

fn draining() -> Failure {
    let detail = "this VM is stopping; submit again with a new prefix from another VM";
    Failure::new(Reason::Unavailable, Execution::NotRun, detail)
}

fn table_full(rules: &Windows) -> Failure {
    let detail = "the table of keys is full; submit again later with a new prefix";
    Failure::new(Reason::Limited, Execution::NotRun, detail).retry_after(rules.length)
}
