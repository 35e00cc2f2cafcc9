//! The engine's timers.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::job;

use super::event::{AttemptId, DelegationId};

/// What a timer does when it is due.
///
/// Reviews, pools and slots run first; other timers of one instant run in the order of the
/// variants.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timer {
    /// Ends a job whose deadline has passed.
    Deadline(job::Id),
    /// Queues a task for another attempt: the job and the task's index.
    Retry(job::Id, usize),
    /// Updates a target that may be unblocked or due for a trial, by index.
    Target(usize),
    /// Hedges an attempt that runs unusually long.
    Hedge(AttemptId),
    /// Ends a delegated task that still waits at its deadline.
    DelegatedDeadline(DelegationId),
    /// Forgets the result of a delegated task.
    ForgetDelegated(DelegationId),
    /// Runs the periodic review of the targets' speeds.
    Review,
    /// Runs the queues, in which a held or refused task may start now.
    Pools,
    /// Shares slots with the other VMs of the domain.
    Slots,
}

/// The pending timers, with at most one each of [`Timer::Review`], [`Timer::Pools`] and
/// [`Timer::Slots`].
#[derive(Debug, Default)]
pub struct Timers {
    due: BTreeSet<(Millis, Timer)>,
    review: Option<Millis>,
    pools: Option<Millis>,
    slots: Option<Millis>,
}

impl Timers {
    /// Adds a timer. The earliest review and run of the pools stays; a new time for slots replaces
    /// the old.
    pub fn add(&mut self, at: Millis, timer: Timer) {
        match timer {
            Timer::Review => self.review = Some(self.review.map_or(at, |old| old.min(at))),
            Timer::Pools => self.pools = Some(self.pools.map_or(at, |old| old.min(at))),
            Timer::Slots => self.slots = Some(at),
            _ => {
                self.due.insert((at, timer));
            }
        }
    }

    /// Sets when slots are shared next.
    pub fn set_slots(&mut self, at: Millis) {
        self.slots = Some(at);
    }

    /// Removes a timer that is due at `at`.
    pub fn remove(&mut self, at: Millis, timer: Timer) {
        self.due.remove(&(at, timer));
    }

    /// When the next timer is due.
    pub fn next(&self) -> Option<Millis> {
        let due = self.due.first().map(|&(at, _)| at);
        [due, self.review, self.pools, self.slots].into_iter().flatten().min()
    }

    /// Removes a due timer and returns it.
    pub fn pop(&mut self, now: Millis) -> Option<Timer> {
        let take = |slot: &mut Option<Millis>| slot.take_if(|at| *at <= now).is_some();
        if take(&mut self.review) {
            return Some(Timer::Review);
        }
        if take(&mut self.pools) {
            return Some(Timer::Pools);
        }
        if take(&mut self.slots) {
            return Some(Timer::Slots);
        }
        let &(at, timer) = self.due.first().filter(|(at, _)| *at <= now)?;
        self.due.remove(&(at, timer));
        Some(timer)
    }
}
