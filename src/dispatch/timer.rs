//! Points in time at which the engine has something to do.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::job;

use super::event::{AttemptId, DelegationId};

/// What is to be done.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timer {
    /// A job's time is up.
    Deadline(job::Id),
    /// A task may be attempted again.
    Retry(job::Id, usize),
    /// A target may be used again, or tried.
    Target(usize),
    /// An attempt has lasted unusually long.
    Spare(AttemptId),
    /// The time of another domain's task is up.
    Adopted(DelegationId),
    /// The end of another domain's task need not be known any longer.
    AdoptedEnd(DelegationId),
    /// Speeds and unused targets are to be gone through.
    Review,
    /// The queues are to be looked at again.
    Pools,
    /// Slots are to be shared.
    Slots,
}

/// All that is to be done, in order of time.
#[derive(Debug, Default)]
pub struct Timers {
    due: BTreeSet<(Millis, Timer)>,
    review: Option<Millis>,
    pools: Option<Millis>,
    slots: Option<Millis>,
}

impl Timers {
    /// Adds something to be done. There is one review, the earlier one.
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

    /// Sets when slots are to be shared next.
    pub fn set_slots(&mut self, at: Millis) {
        self.slots = Some(at);
    }

    /// Takes something back.
    pub fn remove(&mut self, at: Millis, timer: Timer) {
        self.due.remove(&(at, timer));
    }

    /// The next point at which there is something to do.
    pub fn next(&self) -> Option<Millis> {
        let due = self.due.first().map(|&(at, _)| at);
        [due, self.review, self.pools, self.slots].into_iter().flatten().min()
    }

    /// Takes out something whose time has come.
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
