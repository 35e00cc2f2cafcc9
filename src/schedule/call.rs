//! Calls that start and stop tasks, and what their replies or the lack of one mean.

use std::sync::Arc;

use crate::batch::Name;
use crate::clock::Millis;

use super::engine::{Engine, scaled};
use super::event::{Action, BatchId, CallId, Denial, Loss, Reply};
use super::fence::Fence;
use super::history;
use super::poll::Poll;
use super::stall::Progress;
use super::target::{Attempt, Phase, State};

/// A call under way, with the index of its target.
#[derive(Clone, Debug)]
pub(super) enum Call {
    Start { target: usize, name: Name, attempt: u32, fence: Fence },
    Stop { target: usize, name: Name, attempt: u32, fence: Fence },
    Poll { target: usize, poll: Poll },
}

impl Engine {
    pub(super) fn handle_reply(
        &mut self,
        now: Millis,
        id: CallId,
        reply: Reply,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.remove(&id) else { return };
        let index = match call {
            Call::Start { target, name, attempt, fence } => {
                self.handle_start_reply(now, target, (&name, attempt), fence, &reply, actions);
                target
            }
            Call::Stop { target, name, attempt, fence } => {
                self.handle_stop_reply(now, target, (&name, attempt), fence, &reply, actions);
                target
            }
            Call::Poll { target, poll } => {
                self.handle_poll_reply(now, target, id, poll, reply, actions);
                target
            }
        };
        self.reconcile(now, index, actions);
    }

    /// Starts an attempt at a task on a target.
    pub(super) fn start(
        &mut self,
        now: Millis,
        id: BatchId,
        task: usize,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(clock) = self.targets[index].clock_at(now) else { return };
        let lease_until = clock + self.rules.lease_max;
        let lapses_at = self.lapse_time(now);
        let Some(batch) = self.batches.get_mut(&id) else { return };
        batch.started = true;
        batch.account.waited.get_or_insert(now - batch.received_at);
        batch.account.attempts += 1;
        batch.tasks[task].attempt = batch.tasks[task].attempt.saturating_add(1);
        let spec = Arc::clone(&batch.spec);
        let (name, attempt) = (batch.name(task), batch.tasks[task].attempt);
        let step = &spec.steps[batch.tasks[task].step];
        let expected = self.expected(&spec, step);
        let target = &self.targets[index];
        let far = is_far(step.near_rack.as_deref(), target.listing.rack.as_deref());
        let (slowness, cold) = (target.slowness, target.warmup.is_listed_cold(now));
        let factor = if far { self.rules.far_factor } else { 1.0 };
        let target = &mut self.targets[index];
        target.lapses_at = target.lapses_at.max(lapses_at);
        let fence = target.fence;
        target.attempts.push(Attempt {
            batch: id,
            task,
            name: name.clone(),
            number: attempt,
            resources: step.need,
            state: State::Sent,
            fence,
            sent_at: now,
            expected: scaled(expected, slowness * factor),
            declared: step.estimate,
            far,
            cold,
            slowness,
            sent_seq: self.sequence,
            overdue: false,
            confirmed_seq: 0,
            orphaned_at: None,
            progress: Progress::default(),
        });
        let target = Arc::clone(&target.listing.id);
        let call = Call::Start { target: index, name: name.clone(), attempt, fence };
        let call = self.register_call(call);
        let text = Arc::clone(&spec.text);
        actions.push(Action::Start { call, target, name, attempt, text, fence, lease_until });
    }

    /// Stops an attempt, which this VM or another has sent.
    pub(super) fn stop(
        &mut self,
        index: usize,
        name: &Name,
        attempt: u32,
        actions: &mut Vec<Action>,
    ) {
        let target = &mut self.targets[index];
        if target.phase != Phase::Owned {
            return;
        }
        if let Some(position) = target.find(name, attempt) {
            target.attempts[position].state = State::Stopping;
        }
        let fence = target.fence;
        let target = Arc::clone(&target.listing.id);
        let call = Call::Stop { target: index, name: name.clone(), attempt, fence };
        let call = self.register_call(call);
        actions.push(Action::Stop { call, target, name: name.clone(), attempt, fence });
    }

    /// Marks the attempts of a batch as orphans, and stops them.
    pub(super) fn orphan_attempts(&mut self, id: BatchId, actions: &mut Vec<Action>) {
        for index in 0..self.targets.len() {
            let attempts = &mut self.targets[index].attempts;
            let of_batch =
                attempts.iter_mut().filter(|attempt| attempt.batch == id && !attempt.is_orphan());
            let mut to_stop = Vec::new();
            for attempt in of_batch {
                attempt.orphaned_at = Some(self.now);
                if matches!(attempt.state, State::Sent | State::Running) {
                    to_stop.push((attempt.name.clone(), attempt.number));
                }
            }
            for (name, number) in to_stop {
                self.stop(index, &name, number, actions);
            }
        }
    }

    fn handle_start_reply(
        &mut self,
        now: Millis,
        index: usize,
        (name, number): (&Name, u32),
        fence: Fence,
        reply: &Reply,
        actions: &mut Vec<Action>,
    ) {
        let sequence = self.sequence;
        let target = &mut self.targets[index];
        match reply {
            Reply::Executed { clock } => {
                target.record_clock(*clock, now, sequence);
                if let Some(position) = target.find(name, number) {
                    let attempt = &mut target.attempts[position];
                    self.start_latency.record(now - attempt.sent_at);
                    target.health.lost_streak = 0;
                    attempt.confirmed_seq = sequence;
                    if attempt.state == State::Sent {
                        attempt.state = State::Running;
                    }
                }
            }
            Reply::Denied { denial, clock } => {
                if let Some(clock) = clock {
                    target.record_clock(*clock, now, sequence);
                }
                self.handle_denied_start(now, index, (name, number), fence, *denial, actions);
            }
            Reply::Unsent => {
                let Some(position) = target.find(name, number) else { return };
                if !target.has_responded_since(target.attempts[position].sent_at) {
                    target.health.mark_unhealthy(now);
                    target.unsynced = true;
                }
                self.lose_start(now, index, (name, number));
            }
            // The next short poll, under a higher token, shows whether the start arrived, unless a poll has shown
            // it already.
            Reply::Lost | Reply::Closed | Reply::Polled(_) => {
                let Some(position) = target.find(name, number) else { return };
                let Attempt { state, fence, sent_at, .. } = target.attempts[position];
                if state == State::Sent && fence == target.fence {
                    target.raise_token(sent_at);
                }
            }
        }
    }

    /// Handles a call without a response for far longer than usual: a short poll shows whether an overdue start
    /// arrived, and another long poll is sent beside an overdue one.
    pub(super) fn handle_overdue(&mut self, now: Millis, id: CallId, actions: &mut Vec<Action>) {
        if !self.start_latency.is_prompt() {
            return;
        }
        let index = match self.calls.get(&id) {
            Some(Call::Start { target: index, name, attempt, .. }) => {
                let target = &mut self.targets[*index];
                let Some(position) = target.find(name, *attempt) else { return };
                target.attempts[position].overdue = true;
                *index
            }
            Some(Call::Poll { target: index, .. }) => {
                let target = &mut self.targets[*index];
                if target.phase != Phase::Owned || target.unsynced {
                    return;
                }
                target.forget_poll(id);
                *index
            }
            Some(Call::Stop { .. }) | None => return,
        };
        self.reconcile(now, index, actions);
    }

    /// Handles a start that did not arrive and never will. Its task goes to another target if it can, and a target
    /// that loses several starts in a row is ejected.
    pub(super) fn lose_start(&mut self, now: Millis, index: usize, (name, number): (&Name, u32)) {
        let target = &mut self.targets[index];
        target.health.record_lost_start(now);
        if let Some(position) = target.find(name, number) {
            let Attempt { batch, task, .. } = target.attempts[position];
            if let Some(batch) = self.batches.get_mut(&batch) {
                batch.tasks[task].failed_on = Some(index);
            }
        }
        self.drop_attempt(now, index, name, number);
    }

    fn handle_denied_start(
        &mut self,
        now: Millis,
        index: usize,
        (name, number): (&Name, u32),
        fence: Fence,
        denial: Denial,
        actions: &mut Vec<Action>,
    ) {
        let target = &mut self.targets[index];
        match denial {
            Denial::Fence if fence == target.fence && target.phase == Phase::Owned => {
                self.drop_attempt(now, index, name, number);
                self.lose(index, Loss::Fenced, actions);
                return;
            }
            Denial::Fence => {}
            Denial::StaleAttempt => {
                self.raise_attempt(now, index, (name, number), actions);
                return;
            }
            Denial::Late | Denial::Full | Denial::OtherIncarnation => target.unsynced = true,
            Denial::Unhealthy => target.health.mark_unhealthy(now),
            Denial::Invalid => {
                self.fail_start(now, index, (name, number), actions);
                return;
            }
        }
        self.drop_attempt(now, index, name, number);
    }

    /// Lets the next attempt have a higher number, since the target has seen `number` or a higher one for the task.
    fn raise_attempt(
        &mut self,
        now: Millis,
        index: usize,
        (name, number): (&Name, u32),
        actions: &mut Vec<Action>,
    ) {
        let Some(raised) = history::raised(number) else {
            self.fail_start(now, index, (name, number), actions);
            return;
        };
        let target = &self.targets[index];
        if let Some(position) = target.find(name, number) {
            let Attempt { batch, task, .. } = target.attempts[position];
            if let Some(batch) = self.batches.get_mut(&batch) {
                batch.tasks[task].attempt = raised;
            }
        }
        self.drop_attempt(now, index, name, number);
    }

    /// Counts a start that the target will never execute as a failure of its task.
    fn fail_start(
        &mut self,
        now: Millis,
        index: usize,
        (name, number): (&Name, u32),
        actions: &mut Vec<Action>,
    ) {
        let target = &self.targets[index];
        let failed = target.find(name, number).map(|position| &target.attempts[position]);
        let failed = failed.map(|attempt| (attempt.batch, attempt.task));
        self.drop_attempt(now, index, name, number);
        if let Some((id, task)) = failed {
            self.fail_task(now, id, task, index, actions);
        }
    }

    fn handle_stop_reply(
        &mut self,
        now: Millis,
        index: usize,
        (name, number): (&Name, u32),
        fence: Fence,
        reply: &Reply,
        actions: &mut Vec<Action>,
    ) {
        let sequence = self.sequence;
        let target = &mut self.targets[index];
        let position = target.find(name, number);
        match reply {
            Reply::Executed { clock } => {
                target.record_clock(*clock, now, sequence);
                if let Some(position) = position {
                    target.attempts[position].state = State::Stopped;
                    target.attempts[position].confirmed_seq = sequence;
                }
            }
            Reply::Denied { denial: Denial::Fence, .. } if fence == target.fence => {
                if target.phase == Phase::Owned {
                    self.lose(index, Loss::Fenced, actions);
                }
            }
            Reply::Denied { .. }
            | Reply::Unsent
            | Reply::Lost
            | Reply::Closed
            | Reply::Polled(_) => {
                // The next short poll shows what runs, and attempts that should not run are stopped again.
                target.raise_token(now);
                target.foreign.retain(|known| (&known.0, known.1) != (name, number));
                if let Some(position) = position {
                    target.attempts[position].state = State::Running;
                    target.attempts[position].confirmed_seq = sequence;
                }
            }
        }
    }
}

/// Whether a target is on another rack than the data.
pub(super) fn is_far(data: Option<&str>, rack: Option<&str>) -> bool {
    data.is_some_and(|data| rack != Some(data))
}
