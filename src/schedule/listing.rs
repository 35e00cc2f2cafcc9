//! Targets that appear, change and leave, and their ownership by this VM.

use std::collections::HashSet;
use std::sync::Arc;

use crate::clock::Millis;

use super::engine::Engine;
use super::event::{Action, Listing, Loss};
use super::speed::Mean;
use super::target::{Health, Phase, Target};

impl Engine {
    pub(super) fn update_targets(
        &mut self,
        now: Millis,
        listings: Vec<Listing>,
        actions: &mut Vec<Action>,
    ) {
        let listed = listings.iter().map(|listing| Arc::clone(&listing.id)).collect::<HashSet<_>>();
        for target in &mut self.targets {
            if !listed.contains(&target.listing.id) {
                target.unlisted_since.get_or_insert(now);
            }
        }
        for listing in listings {
            if let Some(&index) = self.index_by_id.get(&listing.id) {
                self.update_listing(now, index, listing, actions);
            } else {
                self.index_by_id.insert(Arc::clone(&listing.id), self.targets.len());
                let mut target = Target::new(listing, self.token);
                target.evacuated = self.evacuated.contains(&target.listing.domain);
                target.warmup.record_listing(now, &target.listing);
                self.targets.push(target);
            }
        }
        self.needs_placement = true;
    }

    fn update_listing(
        &mut self,
        now: Millis,
        index: usize,
        listing: Listing,
        actions: &mut Vec<Action>,
    ) {
        let target = &mut self.targets[index];
        target.unlisted_since = None;
        target.evacuated = self.evacuated.contains(&listing.domain);
        target.warmup.record_listing(now, &listing);
        let may_have_restarted = listing.incarnation != target.incarnation;
        target.listing = listing;
        // Another writer may have left the entry, so only the target's own report shows that its attempts are gone.
        if may_have_restarted && target.phase != Phase::Unowned {
            target.unsynced = true;
            target.next_poll_at = now;
            self.reconcile(now, index, actions);
        }
    }

    /// Resets what is known of a target whose process was restarted.
    ///
    /// The owner learns of a restart late, and may have started attempts in the new process by then. So the attempts stay,
    /// and this report and the next show which of them run: a process knows nothing of those that ran before it.
    pub(super) fn handle_restart(
        &mut self,
        now: Millis,
        index: usize,
        incarnation: u64,
        actions: &mut Vec<Action>,
    ) {
        let target = &mut self.targets[index];
        target.incarnation = incarnation;
        target.incarnation_seq = self.sequence;
        target.acknowledged = 0;
        target.long_poll = None;
        target.clock = None;
        target.foreign.clear();
        target.health = Health::default();
        target.speed = Mean::default();
        target.unsynced = true;
        target.next_poll_at = now;
        self.update_slowness(now, index);
        self.reconcile(now, index, actions);
    }

    pub(super) fn acquire(&mut self, now: Millis, id: &str, round: u64, actions: &mut Vec<Action>) {
        let Some(&index) = self.index_by_id.get(id) else { return };
        let target = &mut self.targets[index];
        if target.phase != Phase::Unowned || self.draining {
            return;
        }
        target.phase = Phase::Acquiring;
        target.fence = target.fence.at(round.max(target.fence.round).saturating_add(1));
        target.denied_step = 1;
        target.next_poll_at = now;
        target.unreachable = false;
        self.reconcile(now, index, actions);
    }

    pub(super) fn cancel_acquire(&mut self, id: &str, actions: &mut Vec<Action>) {
        let Some(&index) = self.index_by_id.get(id) else { return };
        if self.targets[index].phase == Phase::Acquiring {
            self.lose(index, Loss::Released, actions);
        }
    }

    /// Releases a target that the store has not listed for too long.
    pub(super) fn release_unlisted(
        &mut self,
        now: Millis,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let target = &self.targets[index];
        let Some(since) = target.unlisted_since else { return };
        let is_gone = now - since > self.rules.unlisted_max && target.attempts.is_empty();
        if is_gone && target.phase != Phase::Unowned {
            self.lose(index, Loss::Released, actions);
        }
    }

    /// Releases an idle target if this VM is draining, unless a started batch waits to use it.
    pub(super) fn release_idle(&mut self, index: usize, actions: &mut Vec<Action>) {
        let target = &self.targets[index];
        let is_idle = target.attempts.is_empty() && target.phase != Phase::Unowned;
        if self.draining && is_idle && self.queue.is_empty() {
            self.lose(index, Loss::Released, actions);
        }
    }

    /// Ends the ownership of a target. Attempts that still run there lapse, unless the next owner stops them first.
    pub(super) fn lose(&mut self, index: usize, loss: Loss, actions: &mut Vec<Action>) {
        let target = &mut self.targets[index];
        target.phase = Phase::Unowned;
        target.long_poll = None;
        target.short_poll = None;
        target.unsynced = false;
        target.foreign.clear();
        actions.push(Action::Lost { target: Arc::clone(&target.listing.id), loss });
    }
}
