//! What waits: in which order, how much of it there is, and what is refused.
//!
//! It answers sustained load beyond what the targets can do. Batches that can still end within their objective
//! come first, the one that must start soonest first. Those that can't any longer use what the others leave, and
//! are refused at once where that is too little for them, so that their callers can turn elsewhere. One that has
//! begun goes on.

use std::collections::BTreeMap;

use crate::clock::Millis;

use super::batch::Job;
use super::event::BatchId;

/// What the end of a batch is still worth to its caller, the most first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Class {
    /// It can end within its objective.
    Timely,
    /// It can end while that is of use.
    Late,
    /// It can't; only one that has started is ended all the same.
    Overdue,
}

impl Class {
    /// The class of a batch that is expected to end at `end` if its next task starts now.
    pub fn of(job: &Job, end: Millis) -> Self {
        if end <= job.objective_at && !job.demoted {
            Self::Timely
        } else if end <= job.useful_until {
            Self::Late
        } else {
            Self::Overdue
        }
    }

    /// When a batch of this class should have ended.
    pub const fn limit(self, job: &Job) -> Millis {
        match self {
            Self::Timely => job.objective_at,
            Self::Late => job.useful_until,
            Self::Overdue => job.leaves,
        }
    }
}

/// Where a batch stands in the queue; the smallest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    /// What its end is still worth to its caller.
    pub class: Class,
    /// Whether none of its tasks was started: what has begun is ended first, or its work is in vain.
    pub fresh: bool,
    /// When it must start.
    pub latest_start: Millis,
    /// Its queue's priority.
    pub priority: u32,
    /// Its number, so that ranks differ.
    pub job: BatchId,
}

impl Rank {
    pub fn of(id: BatchId, job: &Job, class: Class) -> Self {
        let latest_start = job.latest_start();
        Self {
            class,
            fresh: !job.started,
            latest_start,
            priority: job.spec.terms.priority,
            job: id,
        }
    }
}

/// The time that `cpu` thousandths of cores need for `work`, in thousandths of a core times milliseconds.
pub(super) fn time_for(work: u64, cpu: u64) -> Millis {
    Millis(work / cpu.max(1))
}

/// Jobs with tasks whose turn has come.
#[derive(Debug, Default)]
pub(super) struct Queue {
    ranks: BTreeMap<BatchId, Rank>,
    order: BTreeMap<Rank, u64>,
    /// All work that waits, in thousandths of a core times milliseconds.
    backlog: u64,
}

impl Queue {
    /// Puts a job in its place, with the work of its tasks whose turn has come; without any it leaves.
    pub fn put(&mut self, rank: Rank, work: u64) {
        self.remove(rank.job);
        if work == 0 {
            return;
        }
        self.ranks.insert(rank.job, rank);
        self.order.insert(rank, work);
        self.backlog += work;
    }

    /// Takes a job out.
    pub fn remove(&mut self, job: BatchId) {
        let Some(rank) = self.ranks.remove(&job) else { return };
        let work = self.order.remove(&rank).unwrap_or_default();
        self.backlog -= work;
    }

    /// All jobs, the first to serve first.
    pub fn order(&self) -> Vec<Rank> {
        self.order.keys().copied().collect()
    }

    /// The work ahead of a batch that would get `rank`.
    pub fn ahead_of(&self, rank: &Rank) -> u64 {
        self.order.range(..*rank).map(|(_, work)| work).sum()
    }

    /// All work that waits, in thousandths of a core times milliseconds.
    pub const fn backlog(&self) -> u64 {
        self.backlog
    }

    /// Whether a batch waits that can be on time.
    pub fn has_timely(&self) -> bool {
        self.order.first_key_value().is_some_and(|(rank, _)| rank.class == Class::Timely)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
