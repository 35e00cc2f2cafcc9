//! Polls: they renew the leases of all that runs on a target, bring completions, and resync what is not known.

use std::sync::Arc;

use crate::clock::Millis;

use super::call::Call;
use super::engine::Engine;
use super::event::{Action, CallId, Denial, Loss, Reply, Running, Snapshot};
use super::fence::Fence;
use super::target::{AttemptId, Phase, State};

/// How long a long poll waits for a completion while tasks run; leases are renewed that often.
const WAIT_BUSY: Millis = Millis(350);

/// How long a long poll waits on an idle target. A start meanwhile brings its own lease, which outlasts the wait.
const WAIT_IDLE: Millis = Millis(500);

/// The pause after a poll that got no response.
const PAUSE: Millis = Millis(100);

/// The pause after a poll that got no response, if the target has responded to another call since.
const RETRY_PAUSE: Millis = Millis(10);

/// How long after the expected end of an attempt a short poll asks for its completion. A long poll may be under way
/// then, but its response can get lost.
const COMPLETION_GRACE: Millis = Millis(40);

/// The pause between two such short polls.
const COMPLETION_POLL_INTERVAL: Millis = Millis(150);

/// How long to wait before acquiring a target that could not be reached at first. The same partition may hide the
/// target's owner, whose links and registration are back within this time.
const CONTACT_WAIT: Millis = Millis(1800);

/// The most attempts of other owners that are being stopped on a target at once.
const STOPS_MAX: usize = 64;

/// A poll under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Poll {
    /// The token under which the poll was sent.
    pub fence: Fence,
    /// The event sequence when the poll was sent.
    pub sent_seq: u64,
    /// When the poll was sent.
    pub sent_at: Millis,
    /// Whether the poll waits for a completion, so that a completion in its response is fresh.
    pub waits: bool,
}

/// The process of a target that a report is from.
#[derive(Clone, Copy, Debug)]
enum Process {
    /// The one that is known.
    Known,
    /// One that has started since, with its incarnation.
    New(u64),
    /// One that has ended; the report was overtaken by that of its successor.
    Former,
}

impl Engine {
    /// Sends the polls that are due for a target.
    pub(super) fn reconcile(&mut self, now: Millis, index: usize, actions: &mut Vec<Action>) {
        let target = &self.targets[index];
        if target.phase == Phase::Unowned || now < target.next_poll_at {
            return;
        }
        let is_unsynced = target.phase == Phase::Acquiring || target.unsynced;
        if (is_unsynced || target.has_unsettled()) && target.short_poll.is_none() {
            self.send_short_poll(now, index, actions);
        }
        if !is_unsynced && self.targets[index].long_poll.is_none() {
            self.send_long_poll(now, index, actions);
        }
    }

    /// Asks a target what runs there, without renewing leases or waiting.
    fn send_short_poll(&mut self, now: Millis, index: usize, actions: &mut Vec<Action>) {
        let target = &self.targets[index];
        let is_probe = target.phase == Phase::Acquiring && target.unreachable;
        let fence = if is_probe { Fence::default() } else { target.fence };
        let call = self.send_poll(now, fence, index, None, Millis::ZERO, actions);
        self.targets[index].short_poll = Some(call);
    }

    /// Renews the leases on a target, and waits there for a completion.
    fn send_long_poll(&mut self, now: Millis, index: usize, actions: &mut Vec<Action>) {
        let target = &self.targets[index];
        let fence = target.fence;
        let wait = if target.attempts.is_empty() { WAIT_IDLE } else { WAIT_BUSY };
        // The leases of attempts that another owner left behind, or that don't stop, must lapse.
        let renews = target.foreign.is_empty() && !target.has_overdue_stop(now);
        let lease_until = target.clock_at(now).filter(|_| renews);
        let lease_until = lease_until.map(|clock| clock + self.rules.lease_max);
        let lapses_at = self.lapse_time(now);
        let target = &mut self.targets[index];
        if lease_until.is_some() {
            let is_late = target.lapses_at < now + Millis(self.rules.lease_max.0 / 2);
            self.leases.late += u64::from(is_late && !target.attempts.is_empty());
            target.lapses_at = target.lapses_at.max(lapses_at);
        }
        let call = self.send_poll(now, fence, index, lease_until, wait, actions);
        self.targets[index].long_poll = Some(call);
    }

    /// Sends a short poll if the completion of an attempt is overdue.
    pub(super) fn poll_for_completions(
        &mut self,
        now: Millis,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let target = &self.targets[index];
        let can_poll = target.phase == Phase::Owned && target.short_poll.is_none();
        let mut ends = target
            .attempts
            .iter()
            .map(|attempt| attempt.sent_at + attempt.expected + COMPLETION_GRACE);
        // A snapshot that came after the expected end has shown that the task still runs.
        let last = target.last_snapshot_at;
        let is_due = |end| end < now && (last < end || now >= last + COMPLETION_POLL_INTERVAL);
        if can_poll && now >= target.next_poll_at && ends.any(is_due) {
            self.send_short_poll(now, index, actions);
        }
    }

    fn send_poll(
        &mut self,
        now: Millis,
        fence: Fence,
        index: usize,
        lease_until: Option<Millis>,
        wait: Millis,
        actions: &mut Vec<Action>,
    ) -> CallId {
        let poll =
            Poll { fence, sent_seq: self.sequence, sent_at: now, waits: wait > Millis::ZERO };
        let call = self.register_call(Call::Poll { target: index, poll });
        let target = &self.targets[index];
        actions.push(Action::Poll {
            call,
            target: Arc::clone(&target.listing.id),
            fence,
            lease_until,
            acknowledged: target.to_acknowledge(),
            wait,
        });
        call
    }

    pub(super) fn handle_poll_reply(
        &mut self,
        now: Millis,
        index: usize,
        call: CallId,
        poll: Poll,
        reply: Reply,
        actions: &mut Vec<Action>,
    ) {
        let target = &mut self.targets[index];
        target.forget_poll(call);
        let has_responded = matches!(reply, Reply::Polled(_) | Reply::Denied { .. });
        if target.phase == Phase::Acquiring && target.unreachable && has_responded {
            target.unreachable = false;
            target.next_poll_at = now + CONTACT_WAIT;
            return;
        }
        match reply {
            Reply::Polled(snapshot) => self.apply_snapshot(now, index, poll, &snapshot, actions),
            Reply::Denied { denial: Denial::Fence, .. } if poll.fence == target.fence => {
                match target.phase {
                    Phase::Acquiring => target.raise_denied_token(),
                    Phase::Owned => self.lose(index, Loss::Fenced, actions),
                    Phase::Unowned => {}
                }
            }
            Reply::Denied { denial: Denial::Fence, .. } => {}
            Reply::Denied { denial: Denial::OtherIncarnation, .. }
                if target.phase != Phase::Unowned =>
            {
                self.lose(index, Loss::Replaced, actions);
            }
            // The poll or its response got lost, but the target has responded to another call since.
            Reply::Lost | Reply::Closed | Reply::Unsent
                if target.has_responded_since(poll.sent_at) =>
            {
                target.next_poll_at = now + RETRY_PAUSE;
            }
            _ => {
                target.unsynced = true;
                target.unreachable = target.phase == Phase::Acquiring;
                target.next_poll_at = now + PAUSE;
                target.health.mark_unhealthy(now);
            }
        }
    }

    fn apply_snapshot(
        &mut self,
        now: Millis,
        index: usize,
        poll: Poll,
        snapshot: &Snapshot,
        actions: &mut Vec<Action>,
    ) {
        match self.process_of(index, poll, snapshot) {
            Process::Known => {}
            Process::New(incarnation) => self.handle_restart(now, index, incarnation, actions),
            Process::Former => return,
        }
        let target = &mut self.targets[index];
        target.doubted_seq.take_if(|doubted_seq| poll.sent_seq >= *doubted_seq);
        target.record_clock(snapshot.clock, now, poll.sent_seq);
        target.last_snapshot_at = now;
        if poll.fence == target.fence {
            target.unsynced = false;
        }
        if target.phase == Phase::Acquiring && poll.fence == target.fence {
            target.phase = Phase::Owned;
            actions.push(Action::Acquired { target: Arc::clone(&target.listing.id) });
        }
        self.needs_placement = true;
        for completion in &snapshot.completions {
            if completion.number > self.targets[index].acknowledged {
                self.targets[index].acknowledged = completion.number;
                let id = (&completion.name, completion.attempt);
                self.complete(now, index, id, completion.ending, poll.waits, actions);
            }
        }
        self.settle_unlisted(now, index, poll, &snapshot.running);
        self.record_progress(now, index, &snapshot.running);
        self.stop_stalled(now, index, actions);
        self.stop_strays(index, &snapshot.running, actions);
    }

    /// Which process of a target a report is from.
    ///
    /// Until the target is owned, the known incarnation is that of its entry, which another writer may have left, so
    /// the first report counts in any case. Of later reports, those of polls that were sent after the known incarnation had
    /// been reported are newer, even if their incarnation is lower, as the time of day may have been set back. Responses
    /// may overtake each other, so others are newer only if their incarnation is higher. A target that does not report its
    /// incarnation has that of its entry.
    fn process_of(&self, index: usize, poll: Poll, snapshot: &Snapshot) -> Process {
        let target = &self.targets[index];
        let reported = snapshot.incarnation.unwrap_or(target.listing.incarnation);
        let is_later = target.phase == Phase::Acquiring || poll.sent_seq >= target.incarnation_seq;
        if reported == target.incarnation {
            Process::Known
        } else if is_later || reported > target.incarnation {
            Process::New(reported)
        } else {
            Process::Former
        }
    }

    /// Confirms the attempts that a target lists. Drops those that it does not list if they have ended, or if their
    /// starts can no longer be executed.
    fn settle_unlisted(&mut self, now: Millis, index: usize, poll: Poll, running: &[Running]) {
        let target = &mut self.targets[index];
        let mut lost = Vec::new();
        let mut vanished = Vec::new();
        let mut is_missing = false;
        for attempt in &mut target.attempts {
            let is_listed = running
                .iter()
                .any(|listed| listed.attempt == attempt.number && listed.name == attempt.name);
            if is_listed && attempt.state == State::Sent {
                attempt.state = State::Running;
                attempt.confirmed_seq = self.sequence;
            }
            let is_overdue = attempt.state == State::Sent && attempt.overdue;
            let was_sent_before = attempt.fence == poll.fence && attempt.sent_seq < poll.sent_seq;
            is_missing |= is_overdue && !is_listed && was_sent_before;
            // The poll's token is higher than the start's, so a start that has not arrived yet is refused.
            let is_lost = attempt.state == State::Sent && attempt.fence < poll.fence;
            let is_known = attempt.confirmed_seq > 0 && attempt.confirmed_seq < poll.sent_seq;
            let has_vanished = is_known && matches!(attempt.state, State::Running | State::Stopped);
            if !is_listed && is_lost {
                lost.push((attempt.name.clone(), attempt.number));
            } else if !is_listed && has_vanished {
                vanished.push((attempt.name.clone(), attempt.number));
            }
        }
        if is_missing && poll.fence == target.fence {
            target.raise_token(poll.sent_at);
        }
        for (name, number) in lost {
            self.lose_start(now, index, (&name, number));
        }
        for (name, number) in vanished {
            self.drop_attempt(now, index, &name, number);
        }
    }

    /// Stops attempts that run and should not: those that another owner left behind, and orphans.
    fn stop_strays(&mut self, index: usize, running: &[Running], actions: &mut Vec<Action>) {
        let target = &mut self.targets[index];
        if target.phase != Phase::Owned {
            return;
        }
        target.foreign.retain(|(name, number)| {
            running.iter().any(|listed| listed.attempt == *number && listed.name == *name)
        });
        let mut strays = Vec::<AttemptId>::new();
        for listed in running {
            if let Some(position) = target.find(&listed.name, listed.attempt) {
                let attempt = &target.attempts[position];
                if attempt.is_orphan() && attempt.state == State::Running {
                    strays.push((listed.name.clone(), listed.attempt));
                }
                continue;
            }
            let is_known =
                |(name, number): &AttemptId| *number == listed.attempt && *name == listed.name;
            if !target.foreign.iter().any(is_known) && target.foreign.len() < STOPS_MAX {
                target.foreign.push((listed.name.clone(), listed.attempt));
                strays.push((listed.name.clone(), listed.attempt));
            }
        }
        for (name, number) in strays {
            self.stop(index, &name, number, actions);
        }
    }
}
