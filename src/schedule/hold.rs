//! Holds: they renew the leases of all that runs on a target, bring the ends of tasks, and settle what is unsure.

use std::sync::Arc;

use crate::batch::Name;
use crate::clock::Millis;

use super::engine::Engine;
use super::event::{Action, CallId, Denial, Loss, Reply, Running, Snapshot};
use super::fence::Fence;
use super::order::Order;
use super::target::{Phase, State};

/// How long a hold waits for an end while tasks run; leases are renewed that often.
const WAIT_BUSY: Millis = Millis(350);

/// How long a hold waits on an idle target. A start meanwhile brings its own lease, which outlasts the wait.
const WAIT_IDLE: Millis = Millis(500);

/// The pause after a hold that was not answered.
const PAUSE: Millis = Millis(100);

/// The pause after a hold without an answer of a target that answers otherwise.
const RETRY_PAUSE: Millis = Millis(10);

/// How long after the expected end of a task a look asks for it, though a hold waits: holds get lost.
const LOOK_AFTER: Millis = Millis(40);

/// The pause between two such looks.
const LOOK_EVERY: Millis = Millis(150);

/// The wait before a target is taken that could not be reached before. What hid it may have hidden its owner
/// too, whose links and registration are back within this time.
const CONTACT_WAIT: Millis = Millis(1800);

/// The most tasks of other owners that are stopped at once.
const STOPS_MAX: usize = 64;

/// A hold as it was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sent {
    /// The token under which it went.
    pub fence: Fence,
    /// The turn in which it went.
    pub turn: u64,
    /// When it went.
    pub at: Millis,
    /// Whether it waited for an end, which then has just come.
    pub waits: bool,
}

impl Engine {
    /// Sends the holds that a target is due.
    pub(super) fn tend(&mut self, now: Millis, number: usize, actions: &mut Vec<Action>) {
        let target = &self.targets[number];
        if target.phase == Phase::Free || now < target.hold_due {
            return;
        }
        let is_unclear = target.phase == Phase::Taking || target.unsure;
        if (is_unclear || target.has_unsettled()) && target.quick_hold.is_none() {
            self.look(now, number, actions);
        }
        if !is_unclear && self.targets[number].waiting_hold.is_none() {
            self.renew(now, number, actions);
        }
    }

    /// Asks a target at once what runs there.
    fn look(&mut self, now: Millis, number: usize, actions: &mut Vec<Action>) {
        let target = &self.targets[number];
        let is_probe = target.phase == Phase::Taking && target.unreached;
        let fence = if is_probe { Fence::default() } else { target.fence };
        let order = self.hold(now, fence, number, None, Millis::ZERO, actions);
        self.targets[number].quick_hold = Some(order);
    }

    /// Renews the leases on a target, and waits there for an end.
    fn renew(&mut self, now: Millis, number: usize, actions: &mut Vec<Action>) {
        let target = &self.targets[number];
        let fence = target.fence;
        let wait = if target.runs.is_empty() { WAIT_IDLE } else { WAIT_BUSY };
        // What another owner left running is not to live on.
        let renews = target.foreign.is_empty();
        let until = target.clock_at(now).filter(|_| renews);
        let until = until.map(|clock| clock + self.rules.lease_max);
        let lapse = self.lapse(now);
        let target = &mut self.targets[number];
        if until.is_some() {
            let is_late = target.lapse_by < now + Millis(self.rules.lease_max.0 / 2);
            self.leases.late += u64::from(is_late && !target.runs.is_empty());
            target.lapse_by = target.lapse_by.max(lapse);
        }
        let order = self.hold(now, fence, number, until, wait, actions);
        self.targets[number].waiting_hold = Some(order);
    }

    /// Asks a target for the end of a task that should have come.
    pub(super) fn look_for_ends(&mut self, now: Millis, number: usize, actions: &mut Vec<Action>) {
        let target = &self.targets[number];
        let is_quiet = target.phase == Phase::Owned && target.quick_hold.is_none();
        let mut ends = target.runs.iter().map(|run| run.sent + run.expected + LOOK_AFTER);
        // A hold that was answered after the end was due has told that the task goes on.
        let is_due = |end| end < now && (target.heard < end || now >= target.heard + LOOK_EVERY);
        if is_quiet && now >= target.hold_due && ends.any(is_due) {
            self.look(now, number, actions);
        }
    }

    fn hold(
        &mut self,
        now: Millis,
        fence: Fence,
        number: usize,
        until: Option<Millis>,
        wait: Millis,
        actions: &mut Vec<Action>,
    ) -> CallId {
        let sent = Sent { fence, turn: self.turn, at: now, waits: wait > Millis::ZERO };
        let order = self.number_order(Order::Hold { target: number, sent });
        let target = &self.targets[number];
        actions.push(Action::Poll {
            call: order,
            target: Arc::clone(&target.listing.id),
            fence,
            lease_until: until,
            acknowledged: target.seen,
            wait,
        });
        order
    }

    pub(super) fn hold_answered(
        &mut self,
        now: Millis,
        number: usize,
        order: CallId,
        sent: Sent,
        reply: Reply,
        actions: &mut Vec<Action>,
    ) {
        let target = &mut self.targets[number];
        target.forget_hold(order);
        let is_contact = matches!(reply, Reply::Polled(_) | Reply::Denied { .. });
        if target.phase == Phase::Taking && target.unreached && is_contact {
            target.unreached = false;
            target.hold_due = now + CONTACT_WAIT;
            return;
        }
        match reply {
            Reply::Polled(answer) => self.held(now, number, sent, &answer, actions),
            Reply::Denied { denial: Denial::Fence, .. } if sent.fence == target.fence => {
                match target.phase {
                    // The former owner's round is not known: double until it is passed.
                    Phase::Taking => target.fence = target.fence.at(target.fence.round * 2 + 1),
                    Phase::Owned => self.leave(number, Loss::Fenced, actions),
                    Phase::Free => {}
                }
            }
            Reply::Denied { denial: Denial::Fence, .. } => {}
            Reply::Denied { denial: Denial::OtherIncarnation, .. }
                if target.phase != Phase::Free =>
            {
                self.leave(number, Loss::Replaced, actions);
            }
            // Its answer got lost, or it did: the target has answered something else since, and lives.
            Reply::Lost if target.has_answered_since(sent.at) => {
                target.hold_due = now + RETRY_PAUSE;
            }
            _ => {
                target.unsure = true;
                target.unreached = target.phase == Phase::Taking;
                target.hold_due = now + PAUSE;
                target.health.unwell(now);
            }
        }
    }

    fn held(
        &mut self,
        now: Millis,
        number: usize,
        sent: Sent,
        answer: &Snapshot,
        actions: &mut Vec<Action>,
    ) {
        let Sent { fence, .. } = sent;
        let target = &mut self.targets[number];
        if let Some(life) = answer.incarnation.filter(|&life| life > target.life) {
            self.born_again(now, number, life, actions);
        }
        let target = &mut self.targets[number];
        target.read_clock(answer.clock, now);
        target.heard = now;
        if fence == target.fence {
            target.unsure = false;
        }
        if target.phase == Phase::Taking && fence == target.fence {
            target.phase = Phase::Owned;
            actions.push(Action::Acquired { target: Arc::clone(&target.listing.id) });
        }
        self.changed = true;
        for end in &answer.completions {
            if end.number > self.targets[number].seen {
                self.targets[number].seen = end.number;
                let run = (&end.name, end.attempt);
                self.ended(now, number, run, end.ending, sent.waits, actions);
            }
        }
        self.settle_absent(now, number, sent, &answer.running);
        self.note_progress(now, number, &answer.running);
        self.stop_stalled(now, number, actions);
        self.stop_strays(number, &answer.running, actions);
    }

    /// Settles the runs that a target does not list: they have ended, or will never be.
    fn settle_absent(
        &mut self,
        now: Millis,
        number: usize,
        Sent { fence, turn, at, .. }: Sent,
        running: &[Running],
    ) {
        let target = &mut self.targets[number];
        let mut lost = Vec::new();
        let mut vanished = Vec::new();
        let mut is_missing = false;
        for run in &mut target.runs {
            let listed = running
                .iter()
                .any(|listed| listed.attempt == run.attempt && listed.name == run.name);
            if listed && run.state == State::Ordered {
                run.state = State::Running;
                run.confirmed = self.turn;
            }
            let is_overdue = run.state == State::Ordered && run.overdue;
            is_missing |= is_overdue && !listed && run.fence == fence && run.ordered < turn;
            // Under a higher token than the start's, what has not arrived yet is refused.
            let is_refuted = run.state == State::Ordered && run.fence < fence;
            let is_known = run.confirmed > 0 && run.confirmed < turn;
            let has_vanished = is_known && matches!(run.state, State::Running | State::Stopped);
            if !listed && is_refuted {
                lost.push((run.name.clone(), run.attempt));
            } else if !listed && has_vanished {
                vanished.push((run.name.clone(), run.attempt));
            }
        }
        if is_missing && fence == target.fence {
            target.raise(at);
        }
        for (name, run) in lost {
            self.start_lost(now, number, (&name, run));
        }
        for (name, run) in vanished {
            self.refute(now, number, &name, run);
        }
    }

    /// Stops what runs and should not: what another owner has left, and what was given up here.
    fn stop_strays(&mut self, number: usize, running: &[Running], actions: &mut Vec<Action>) {
        let target = &mut self.targets[number];
        if target.phase != Phase::Owned {
            return;
        }
        target.foreign.retain(|(name, run)| {
            running.iter().any(|listed| listed.attempt == *run && listed.name == *name)
        });
        let mut strays = Vec::<(Name, u32)>::new();
        for listed in running {
            if let Some(index) = target.find(&listed.name, listed.attempt) {
                let run = &target.runs[index];
                if run.orphan && run.state == State::Running {
                    strays.push((listed.name.clone(), listed.attempt));
                }
                continue;
            }
            let is_known =
                |(name, run): &(Name, u32)| *run == listed.attempt && *name == listed.name;
            if !target.foreign.iter().any(is_known) && target.foreign.len() < STOPS_MAX {
                target.foreign.push((listed.name.clone(), listed.attempt));
                strays.push((listed.name.clone(), listed.attempt));
            }
        }
        for (name, run) in strays {
            self.stop(number, &name, run, actions);
        }
    }
}
