//! Shares of queues under overload.
//!
//! Without shares the queues whose batches can wait longest get most of the capacity, as their batches are the ones that
//! are still in time when capacity becomes free. When queues demand more than there is, each is guaranteed a share by its
//! weight, which is 1 for priority 0, a half for priority 1, a third for priority 2 and so on. What a queue leaves of its
//! share goes to the others by their weights, and is back as soon as it demands more.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::batch::Spec;
use crate::clock::Millis;

use super::queue::Work;

/// The averaging time of demand: long compared with the gaps between batches of a rare queue, short compared with changes
/// of load.
const SPAN: Millis = Millis(2000);

/// How much unused share a queue may save up, as the time in which it accrues.
const SAVED_MAX: Millis = Millis(300);

/// Whether a batch is covered by its queue's share; those that are go first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Cover {
    /// It is, or all demand fits into the capacity.
    Within,
    /// It goes beyond the share.
    Beyond,
}

/// What a queue demands, and what it may still take.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// The queue's part of the capacity, in proportion to those of the others.
    weight: f64,
    /// The demand, as the thousandths of cores that it keeps busy.
    demand: f64,
    /// The work that the queue may still take as its share; negative after a batch that was larger than that.
    credit: f64,
}

/// The accounts of the queues of one service's targets.
#[derive(Debug, Default)]
pub(super) struct Shares {
    accounts: BTreeMap<Arc<str>, Account>,
    updated_at: Millis,
}

impl Shares {
    /// Charges a batch to its queue's account, given the capacity in thousandths of cores. Returns whether the queue's share
    /// covers the batch.
    pub fn charge(&mut self, now: Millis, spec: &Spec, work: Work, capacity: f64) -> Cover {
        self.accrue(now, capacity);
        let work = work as f64;
        let account = self.accounts.entry(Arc::clone(&spec.queue)).or_default();
        account.weight = 1.0 / (f64::from(spec.terms.priority) + 1.0);
        account.demand += work / SPAN.0 as f64;
        let is_covered = account.credit > 0.0;
        if is_covered {
            account.credit -= work;
        }
        if is_covered || self.demand() <= capacity { Cover::Within } else { Cover::Beyond }
    }

    /// The thousandths of cores that all queues demand.
    fn demand(&self) -> f64 {
        self.accounts.values().map(|account| account.demand).sum()
    }

    /// Lets old demand fade, and credits each queue with its share of the capacity since the last charge.
    fn accrue(&mut self, now: Millis, capacity: f64) {
        let elapsed = (now - self.updated_at).0 as f64;
        self.updated_at = now;
        let fading = (-elapsed / SPAN.0 as f64).exp();
        for account in self.accounts.values_mut() {
            account.demand *= fading;
        }
        let level = self.level(capacity);
        for account in self.accounts.values_mut() {
            let share = account.demand.min(account.weight * level);
            account.credit = (account.credit + share * elapsed).min(share * SAVED_MAX.0 as f64);
        }
    }

    /// The capacity for each unit of weight, if queues that demand less than their share leave the rest to the others.
    fn level(&self, capacity: f64) -> f64 {
        let mut rising = self.accounts.values().copied().collect::<Vec<_>>();
        rising.sort_by(|a, b| (a.demand * b.weight).total_cmp(&(b.demand * a.weight)));
        let mut left = capacity;
        let mut weights = rising.iter().map(|account| account.weight).sum::<f64>();
        for account in rising {
            let level = left / weights.max(f64::MIN_POSITIVE);
            if account.demand >= account.weight * level {
                return level;
            }
            left -= account.demand;
            weights -= account.weight;
        }
        f64::INFINITY
    }
}
