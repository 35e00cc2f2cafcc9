//! The table of keys that makes submissions idempotent.
//!
//! Keys are grouped by window, and only whole windows are dropped. Once a submission is refused as not run, its
//! key stays refused in its window: a delayed copy of the submission can't start the job after all.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use crate::clock::Millis;
use crate::invariant;

use super::{Execution, Failure, Fingerprint, Id, Outcome, Reason};

/// Limits on how long the table keeps keys, and how many keys and outcomes it keeps.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Windows {
    /// Length of a window.
    pub length: Millis,
    /// Number of windows before the current one whose keys are kept.
    pub kept: u64,
    /// Maximum number of keys in all windows together.
    pub keys_max: usize,
    /// Maximum memory for outcomes that are kept for resubmissions, in bytes.
    pub outcome_bytes_max: usize,
}

/// The table's decision on a submission.
#[derive(Clone, Debug)]
pub enum Admission {
    /// The key is new, and its job may be started under this id.
    New(Id),
    /// The job is already running, and its outcome is the outcome of this submission too.
    Join(Id),
    /// The job has ended with this outcome.
    Ended(Arc<Outcome>),
    /// The submission is refused.
    Refused(Failure),
}

/// What a closing record states about the job of one key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mark {
    /// No task was started.
    NotRun,
    /// The job ended after a task was started.
    Ran,
    /// Whether a task ran is not known.
    Unknown,
}

/// The closing record: what a process knows of its keys when it stops as planned.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Closing {
    /// Index of the oldest window whose keys are all listed.
    pub oldest: u64,
    /// Window, suffix and mark of each key in the table, sorted by window and suffix.
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
    /// The job ended, and its outcome was dropped to free memory.
    Forgotten {
        mark: Mark,
        fingerprint: Fingerprint,
    },
    /// The key was cancelled before any submission arrived.
    Fenced,
}

#[derive(Debug, Default)]
struct Window {
    /// Number of entries that are [`Entry::Running`].
    running: usize,
    /// Whether a key of this window was refused without an entry. New keys of the window are refused too, since
    /// one of them may be that key again.
    sealed: bool,
    /// The entries by the suffix of their keys.
    entries: HashMap<Box<str>, Entry>,
}

/// The keys of one process, with the state of their jobs.
#[derive(Debug)]
pub struct Table {
    windows: BTreeMap<u64, Window>,
    /// Index of the window that new prefixes name.
    current: u64,
    /// Index of the oldest window that is kept.
    oldest: u64,
    /// Number of entries in all windows.
    keys: usize,
    /// Memory that the kept outcomes take, in bytes.
    outcome_bytes: usize,
    /// Window and suffix of the keys whose outcomes are kept, in the order in which the jobs ended.
    ended: VecDeque<(u64, Box<str>)>,
    next_job: Id,
    closed: bool,
}

impl Default for Table {
    fn default() -> Self {
        Self::new()
    }
}

impl Table {
    /// An empty table whose current window is 0.
    pub fn new() -> Self {
        Self {
            windows: BTreeMap::from([(0, Window::default())]),
            current: 0,
            oldest: 0,
            keys: 0,
            outcome_bytes: 0,
            ended: VecDeque::new(),
            next_job: 1,
            closed: false,
        }
    }

    /// Index of the current window, which new prefixes name.
    pub const fn window(&self) -> u64 {
        self.current
    }

    /// Number of keys in the table.
    pub const fn len(&self) -> usize {
        self.keys
    }

    /// Whether the table has no keys.
    pub const fn is_empty(&self) -> bool {
        self.keys == 0
    }

    /// Advances the current window to that of `now`, if it is later, and drops the windows that are no longer
    /// kept. A window with a running job is kept, as are all later ones.
    pub fn advance(&mut self, now: Millis, rules: &Windows) {
        let index = now.0 / rules.length.0.max(1);
        if index > self.current {
            self.current = index;
            self.windows.entry(index).or_default();
        }
        let keep_from = self.current.saturating_sub(rules.kept);
        while let Some((&index, window)) = self.windows.first_key_value() {
            if index >= keep_from || window.running > 0 {
                break;
            }
            let dropped = self.windows.remove(&index).unwrap_or_default();
            self.forget_window(&dropped);
        }
        let oldest =
            self.windows.first_key_value().map_or(keep_from, |(&index, _)| index.min(keep_from));
        invariant!(
            oldest >= self.oldest,
            "the oldest window moved back from {} to {oldest}",
            self.oldest
        );
        self.oldest = oldest;
    }

    /// Decides on a submission under the key with `suffix` in `window`, and adds the key if it is new and
    /// accepted.
    pub fn admit(
        &mut self,
        window: u64,
        suffix: &str,
        fingerprint: Fingerprint,
        rules: &Windows,
    ) -> Admission {
        if let Some(refusal) = self.refuse_window(window) {
            return Admission::Refused(refusal);
        }
        let full = self.keys >= rules.keys_max;
        let closed = self.closed;
        let window = self.windows.entry(window).or_default();
        if let Some(entry) = window.entries.get(suffix) {
            return entry.admission(Some(fingerprint));
        }
        if closed {
            window.sealed = true;
            return Admission::Refused(draining());
        }
        if full || window.sealed {
            window.sealed = true;
            return Admission::Refused(table_full(rules));
        }
        let job = self.next_job;
        self.next_job += 1;
        window.running += 1;
        window.entries.insert(suffix.into(), Entry::Running { job, fingerprint });
        self.keys += 1;
        Admission::New(job)
    }

    /// What is known of a key, without a change to the table; `None` if the key is not in the table.
    pub fn lookup(&self, window: u64, suffix: &str) -> Option<Admission> {
        if let Some(refusal) = self.refuse_window(window) {
            return Some(Admission::Refused(refusal));
        }
        let entry = self.windows.get(&window)?.entries.get(suffix)?;
        Some(entry.admission(None))
    }

    /// Ensures that no job is ever started under a key that is not in the table. Returns false, without a change,
    /// if the key is in the table or its window is not kept. A full table seals the key's window instead of adding
    /// the key.
    pub fn fence(&mut self, window: u64, suffix: &str, rules: &Windows) -> bool {
        if self.refuse_window(window).is_some() {
            return false;
        }
        let window = self.windows.entry(window).or_default();
        if window.entries.contains_key(suffix) {
            return false;
        }
        if self.keys >= rules.keys_max {
            window.sealed = true;
        } else {
            window.entries.insert(suffix.into(), Entry::Fenced);
            self.keys += 1;
        }
        true
    }

    /// Records the outcome of a running job and keeps it for resubmissions. If the kept outcomes exceed their
    /// limit, those of the jobs that ended first are dropped.
    pub fn end(&mut self, window: u64, suffix: &str, outcome: Arc<Outcome>, rules: &Windows) {
        let entry = self.windows.get_mut(&window).and_then(|window| {
            window.running -= 1;
            window.entries.get_mut(suffix)
        });
        let Some(entry) = entry else {
            invariant!(
                false,
                "the job of key {suffix} in window {window} ended, but the table lacks the key"
            );
            return;
        };
        let Entry::Running { fingerprint, .. } = *entry else {
            invariant!(false, "the job of key {suffix} in window {window} ended twice");
            return;
        };
        self.outcome_bytes += outcome.kept_bytes();
        *entry = Entry::Ended { outcome, fingerprint };
        self.ended.push_back((window, suffix.into()));
        self.drop_outcomes(rules.outcome_bytes_max);
    }

    /// Refuses all new keys from now on.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// The closing record. The table must be closed, so that no key is accepted after the record was made.
    pub fn closing(&self) -> Closing {
        invariant!(self.closed, "a closing record was made before the table was closed");
        let keys = self.windows.iter().flat_map(|(&index, window)| {
            window.entries.iter().map(move |(suffix, entry)| (index, suffix.clone(), entry.mark()))
        });
        let mut keys = keys.collect::<Vec<_>>();
        keys.sort_unstable_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
        Closing { oldest: self.oldest, keys }
    }

    /// The failure for keys of a window that is no longer kept or has not begun.
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

    /// Drops the outcomes of the jobs that ended first until those left take at most `bytes_max`.
    fn drop_outcomes(&mut self, bytes_max: usize) {
        while self.outcome_bytes > bytes_max {
            let Some((window, suffix)) = self.ended.pop_front() else { return };
            let window = self.windows.get_mut(&window);
            let Some(entry) = window.and_then(|window| window.entries.get_mut(&suffix)) else {
                continue;
            };
            let Entry::Ended { outcome, fingerprint } = entry else { continue };
            self.outcome_bytes -= outcome.kept_bytes();
            *entry = Entry::Forgotten { mark: mark_of(outcome), fingerprint: *fingerprint };
        }
    }

    /// Updates the counts and the order of ended jobs after `window` was removed.
    fn forget_window(&mut self, window: &Window) {
        self.keys -= window.entries.len();
        for entry in window.entries.values() {
            if let Entry::Ended { outcome, .. } = entry {
                self.outcome_bytes -= outcome.kept_bytes();
            }
        }
        let windows = &self.windows;
        self.ended.retain(|(index, _)| windows.contains_key(index));
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

    /// The decision on a submission with the given fingerprint, or on a lookup without one.
    fn admission(&self, submitted: Option<Fingerprint>) -> Admission {
        let fingerprints = submitted.zip(self.fingerprint());
        let differs = fingerprints.is_some_and(|(submitted, known)| submitted != known);
        if differs {
            let detail = "the key was used with a different body; use a new key for a new job";
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
    let detail =
        "the job has ended and its answer is no longer kept; ask the service itself for the result";
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
