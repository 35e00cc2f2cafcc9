//! The queue of batches with ready tasks, in order of rank.
//!
//! The order handles sustained load beyond what the targets can do. Batches that can still end within their objective
//! come first, the one that must start soonest first. Late batches use the capacity that those leave, and are refused at
//! once where that is too little, so that their callers can turn elsewhere. A batch that has started goes on.

use std::collections::BTreeMap;

use crate::clock::Millis;

use super::batch::Batch;
use super::event::BatchId;
use super::share::Cover;

/// How useful the end of a batch still is to its caller, the most useful first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Class {
    /// The batch can end within its objective.
    Timely,
    /// The batch can end by its deadline.
    Late,
    /// The batch can't end by its deadline; it goes on only if it has started.
    Overdue,
}

impl Class {
    /// The class of a batch that is expected to end at `end` if its next task starts now.
    pub fn of(batch: &Batch, end: Millis) -> Self {
        if end <= batch.objective_at && !batch.demoted {
            Self::Timely
        } else if end <= batch.deadline {
            Self::Late
        } else {
            Self::Overdue
        }
    }

    /// When a batch of this class must have ended.
    pub const fn limit(self, batch: &Batch) -> Millis {
        match self {
            Self::Timely => batch.objective_at,
            Self::Late => batch.deadline,
            Self::Overdue => batch.caller_deadline,
        }
    }
}

/// The place of a batch in the queue; the smallest rank is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    pub class: Class,
    /// Whether no task was started yet. Started batches go first, since their work would be lost otherwise.
    pub fresh: bool,
    /// Whether the batch goes beyond its queue's share.
    pub cover: Cover,
    /// When the next task must start for the batch to meet its objective.
    pub latest_start: Millis,
    /// The priority of the batch's queue.
    pub priority: u32,
    /// The id of the batch, so that ranks differ.
    pub batch: BatchId,
}

impl Rank {
    pub fn of(id: BatchId, batch: &Batch, class: Class) -> Self {
        Self {
            class,
            fresh: !batch.started,
            cover: batch.cover,
            latest_start: batch.latest_start(),
            priority: batch.spec.terms.priority,
            batch: id,
        }
    }
}

/// An amount of work, in thousandths of a core times milliseconds. It is wide enough for the sum over a queue of batches,
/// whatever their callers declare.
pub(super) type Work = u128;

/// The time that `cpu` thousandths of cores need for `work`.
pub(super) fn time_for(work: Work, cpu: u64) -> Millis {
    Millis(u64::try_from(work / Work::from(cpu.max(1))).unwrap_or(u64::MAX))
}

/// Batches with ready tasks, and the work of these tasks.
#[derive(Debug, Default)]
pub(super) struct Queue {
    ranks: BTreeMap<BatchId, Rank>,
    work: BTreeMap<Rank, Work>,
    /// The sum of all work.
    backlog: Work,
}

impl Queue {
    /// Sets the rank of a batch and the work of its ready tasks; without any work, the batch is removed.
    pub fn put(&mut self, rank: Rank, work: Work) {
        self.remove(rank.batch);
        if work == 0 {
            return;
        }
        self.ranks.insert(rank.batch, rank);
        self.work.insert(rank, work);
        self.backlog += work;
    }

    /// Removes a batch.
    pub fn remove(&mut self, batch: BatchId) {
        let Some(rank) = self.ranks.remove(&batch) else { return };
        let work = self.work.remove(&rank).unwrap_or_default();
        self.backlog -= work;
    }

    /// The ranks of all batches, the first to serve first.
    pub fn ranks(&self) -> Vec<Rank> {
        self.work.keys().copied().collect()
    }

    /// The work ahead of a batch that would get `rank`.
    pub fn ahead_of(&self, rank: &Rank) -> Work {
        self.work.range(..*rank).map(|(_, work)| work).sum()
    }

    /// All work that waits.
    pub const fn backlog(&self) -> Work {
        self.backlog
    }

    /// Whether a batch waits that can meet its objective.
    pub fn has_timely(&self) -> bool {
        self.work.first_key_value().is_some_and(|(rank, _)| rank.class == Class::Timely)
    }

    /// Whether no batch waits.
    pub fn is_empty(&self) -> bool {
        self.work.is_empty()
    }
}
