//! Calls to targets: starts and stops, what their answers mean, and what their silence means.

use std::sync::Arc;

use crate::batch::Name;
use crate::clock::Millis;

use super::attempts;
use super::engine::{Engine, scaled};
use super::event::{Action, BatchId, CallId, Denial, Loss, Reply};
use super::fence::Fence;
use super::hold::Sent;
use super::stall::Progress;
use super::target::{Phase, Run, State};

/// A call without an answer.
#[derive(Clone, Debug)]
pub(super) enum Order {
    Start { target: usize, name: Name, attempt: u32, fence: Fence },
    Stop { target: usize, name: Name, attempt: u32, fence: Fence },
    Hold { target: usize, sent: Sent },
}

impl Engine {
    pub(super) fn answer(
        &mut self,
        now: Millis,
        order: CallId,
        reply: Reply,
        actions: &mut Vec<Action>,
    ) {
        let Some(sent) = self.orders.remove(&order) else { return };
        let number = match sent {
            Order::Start { target, name, attempt: run, fence } => {
                self.start_answered(now, target, (&name, run), fence, &reply, actions);
                target
            }
            Order::Stop { target, name, attempt: run, fence } => {
                self.stop_answered(now, target, (&name, run), fence, &reply, actions);
                target
            }
            Order::Hold { target, sent } => {
                self.hold_answered(now, target, order, sent, reply, actions);
                target
            }
        };
        self.tend(now, number, actions);
    }

    /// Sends the start of a task.
    pub(super) fn start(
        &mut self,
        now: Millis,
        id: BatchId,
        task: usize,
        number: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(until) = self.targets[number].clock_at(now) else { return };
        let until = until + self.rules.lease_max;
        let lapse = self.lapse(now);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.started = true;
        job.account.waited.get_or_insert(now - job.since);
        job.account.attempts += 1;
        job.tasks[task].run = job.tasks[task].run.saturating_add(1);
        let spec = Arc::clone(&job.spec);
        let (name, run) = (job.name(task), job.tasks[task].run);
        let step = &spec.steps[job.tasks[task].step];
        let expected = self.expected(&spec, step);
        let target = &self.targets[number];
        let far = is_far(step.near_rack.as_deref(), target.listing.rack.as_deref());
        let slowness = target.slowness;
        let factor = if far { self.rules.far_factor } else { 1.0 };
        let target = &mut self.targets[number];
        target.lapse_by = target.lapse_by.max(lapse);
        let fence = target.fence;
        target.runs.push(Run {
            job: id,
            task,
            name: name.clone(),
            attempt: run,
            need: step.need,
            state: State::Ordered,
            fence,
            sent: now,
            expected: scaled(expected, slowness * factor),
            declared: step.estimate,
            far,
            slowness,
            ordered: self.turn,
            overdue: false,
            confirmed: 0,
            orphan: false,
            progress: Progress::default(),
        });
        let id = Arc::clone(&target.listing.id);
        let order = Order::Start { target: number, name: name.clone(), attempt: run, fence };
        let order = self.number_order(order);
        let text = Arc::clone(&spec.text);
        actions.push(Action::Start {
            call: order,
            target: id,
            name,
            attempt: run,
            text,
            fence,
            lease_until: until,
        });
    }

    /// Sends the stop of a task, of this VM or of another.
    pub(super) fn stop(&mut self, number: usize, name: &Name, run: u32, actions: &mut Vec<Action>) {
        let target = &mut self.targets[number];
        if target.phase != Phase::Owned {
            return;
        }
        if let Some(index) = target.find(name, run) {
            target.runs[index].state = State::Stopping;
        }
        let (fence, id) = (target.fence, Arc::clone(&target.listing.id));
        let order = Order::Stop { target: number, name: name.clone(), attempt: run, fence };
        let order = self.number_order(order);
        actions.push(Action::Stop {
            call: order,
            target: id,
            name: name.clone(),
            attempt: run,
            fence,
        });
    }

    /// Stops what still runs of a batch that nobody waits for.
    pub(super) fn orphan(&mut self, id: BatchId, actions: &mut Vec<Action>) {
        for number in 0..self.targets.len() {
            let runs = &mut self.targets[number].runs;
            let of_job = runs.iter_mut().filter(|run| run.job == id && !run.orphan);
            let mut to_stop = Vec::new();
            for run in of_job {
                run.orphan = true;
                if matches!(run.state, State::Ordered | State::Running) {
                    to_stop.push((run.name.clone(), run.attempt));
                }
            }
            for (name, run) in to_stop {
                self.stop(number, &name, run, actions);
            }
        }
    }

    fn start_answered(
        &mut self,
        now: Millis,
        number: usize,
        (name, run): (&Name, u32),
        fence: Fence,
        reply: &Reply,
        actions: &mut Vec<Action>,
    ) {
        let turn = self.turn;
        let target = &mut self.targets[number];
        match reply {
            Reply::Executed { clock } => {
                target.read_clock(*clock, now);
                if let Some(index) = target.find(name, run) {
                    let run = &mut target.runs[index];
                    self.answers.note(now - run.sent);
                    target.health.lost_starts = 0;
                    run.confirmed = turn;
                    if run.state == State::Ordered {
                        run.state = State::Running;
                    }
                }
            }
            Reply::Denied { denial, clock } => {
                if let Some(clock) = clock {
                    target.read_clock(*clock, now);
                }
                self.start_denied(now, number, (name, run), fence, *denial, actions);
            }
            Reply::Unsent => {
                target.health.unwell(now);
                target.unsure = true;
                self.refute(now, number, name, run);
            }
            // The next look, under a higher token, shows whether it arrived, unless one has shown it already.
            Reply::Lost | Reply::Polled(_) => {
                let Some(index) = target.find(name, run) else { return };
                let Run { state, fence, sent, .. } = target.runs[index];
                if state == State::Ordered && fence == target.fence {
                    target.raise(sent);
                }
            }
        }
    }

    /// Has a target asked whether a start arrived that it has not answered yet, or sends another hold beside one.
    pub(super) fn overdue(&mut self, now: Millis, order: CallId, actions: &mut Vec<Action>) {
        if !self.answers.are_quick() {
            return;
        }
        let number = match self.orders.get(&order) {
            Some(Order::Start { target, name, attempt: run, .. }) => {
                let known = &mut self.targets[*target];
                let Some(index) = known.find(name, *run) else { return };
                known.runs[index].overdue = true;
                *target
            }
            Some(Order::Hold { target, .. }) => {
                let known = &mut self.targets[*target];
                if known.phase != Phase::Owned || known.unsure {
                    return;
                }
                known.forget_hold(order);
                *target
            }
            Some(Order::Stop { .. }) | None => return,
        };
        self.tend(now, number, actions);
    }

    /// A start did not arrive and never will: its task goes elsewhere if it can, and a target that loses one after the
    /// other rests.
    pub(super) fn start_lost(&mut self, now: Millis, number: usize, (name, run): (&Name, u32)) {
        let target = &mut self.targets[number];
        target.health.lose_start(now);
        if let Some(index) = target.find(name, run) {
            let Run { job, task, .. } = target.runs[index];
            if let Some(job) = self.jobs.get_mut(&job) {
                job.tasks[task].failed_on = Some(number);
            }
        }
        self.refute(now, number, name, run);
    }

    fn start_denied(
        &mut self,
        now: Millis,
        number: usize,
        (name, run): (&Name, u32),
        fence: Fence,
        denial: Denial,
        actions: &mut Vec<Action>,
    ) {
        let target = &mut self.targets[number];
        match denial {
            Denial::Fence if fence == target.fence && target.phase == Phase::Owned => {
                self.refute(now, number, name, run);
                self.leave(number, Loss::Fenced, actions);
                return;
            }
            Denial::Fence => {}
            Denial::StaleAttempt => {
                self.start_outnumbered(now, number, (name, run), actions);
                return;
            }
            Denial::Late | Denial::Full | Denial::OtherIncarnation => target.unsure = true,
            Denial::Unhealthy => target.health.unwell(now),
            Denial::Invalid => {
                self.start_failed(now, number, (name, run), actions);
                return;
            }
        }
        self.refute(now, number, name, run);
    }

    /// The target has seen a start of the task with the same number or a higher one: tries it under a higher one.
    fn start_outnumbered(
        &mut self,
        now: Millis,
        number: usize,
        (name, run): (&Name, u32),
        actions: &mut Vec<Action>,
    ) {
        let Some(higher) = attempts::raised(run) else {
            self.start_failed(now, number, (name, run), actions);
            return;
        };
        let target = &self.targets[number];
        if let Some(index) = target.find(name, run) {
            let Run { job, task, .. } = target.runs[index];
            if let Some(job) = self.jobs.get_mut(&job) {
                job.tasks[task].run = higher;
            }
        }
        self.refute(now, number, name, run);
    }

    /// The target will never execute the start: that counts as a failure of the task.
    fn start_failed(
        &mut self,
        now: Millis,
        number: usize,
        (name, run): (&Name, u32),
        actions: &mut Vec<Action>,
    ) {
        let target = &self.targets[number];
        let failed = target.find(name, run).map(|index| &target.runs[index]);
        let failed = failed.map(|run| (run.job, run.task));
        self.refute(now, number, name, run);
        if let Some((id, task)) = failed {
            self.fail_task(now, id, task, number, actions);
        }
    }

    fn stop_answered(
        &mut self,
        now: Millis,
        number: usize,
        (name, run): (&Name, u32),
        fence: Fence,
        reply: &Reply,
        actions: &mut Vec<Action>,
    ) {
        let turn = self.turn;
        let target = &mut self.targets[number];
        let index = target.find(name, run);
        match reply {
            Reply::Executed { clock } => {
                target.read_clock(*clock, now);
                if let Some(index) = index {
                    target.runs[index].state = State::Stopped;
                    target.runs[index].confirmed = turn;
                }
            }
            Reply::Denied { denial: Denial::Fence, .. } if fence == target.fence => {
                if target.phase == Phase::Owned {
                    self.leave(number, Loss::Fenced, actions);
                }
            }
            Reply::Denied { .. } | Reply::Unsent | Reply::Lost | Reply::Polled(_) => {
                // The next look shows what runs, and what should not is stopped again.
                target.raise(now);
                target.foreign.retain(|known| (&known.0, known.1) != (name, run));
                if let Some(index) = index {
                    target.runs[index].state = State::Running;
                    target.runs[index].confirmed = turn;
                }
            }
        }
    }
}

/// Whether a target stands on another rack than the data.
pub(super) fn is_far(data: Option<&str>, rack: Option<&str>) -> bool {
    data.is_some_and(|data| rack != Some(data))
}
