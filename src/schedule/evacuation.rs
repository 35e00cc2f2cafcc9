//! Evacuated failure domains: nothing starts on their targets until the operator takes the evacuation back.
//!
//! What runs there goes on, as most tasks end sooner than they could run again elsewhere. Batches that can't go on without
//! another start there move to other VMs.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::clock::Millis;

use super::engine::Engine;
use super::event::{Action, BatchId};
use super::target::{Attempt, State};

impl Engine {
    /// Stops starting tasks on the targets of `domains`, and starts them again on those of all other domains. Targets that
    /// return count as cold until a task succeeds there.
    pub(super) fn evacuate(
        &mut self,
        now: Millis,
        domains: BTreeSet<Arc<str>>,
        actions: &mut Vec<Action>,
    ) {
        self.evacuated = domains;
        for target in &mut self.targets {
            let was_evacuated = target.evacuated;
            target.evacuated = self.evacuated.contains(&target.listing.domain);
            if was_evacuated && !target.evacuated {
                target.warmup.record_return();
            }
        }
        for id in self.blocked() {
            self.stop_attempts(id, actions);
        }
        self.expire(now, actions);
        self.needs_placement = true;
    }

    /// The started batches that have tasks to start and no target for them.
    fn blocked(&self) -> Vec<BatchId> {
        let waiting = self.batches.iter().filter(|(_, batch)| {
            batch.started && !batch.ready.is_empty() && !self.could_run(batch)
        });
        waiting.map(|(&id, _)| id).collect()
    }

    /// Stops the attempts of a batch, so that another VM can run it from its first step once they have ended.
    fn stop_attempts(&mut self, id: BatchId, actions: &mut Vec<Action>) {
        let is_active = |attempt: &&Attempt| matches!(attempt.state, State::Sent | State::Running);
        let mut active = Vec::new();
        for (index, target) in self.targets.iter().enumerate() {
            let attempts = target.attempts.iter().filter(|attempt| attempt.batch == id);
            let attempts = attempts.filter(is_active);
            active.extend(attempts.map(|found| (index, found.name.clone(), found.number)));
        }
        for (index, name, number) in active {
            self.stop(index, &name, number, actions);
        }
    }
}
