//! Makes the scheduler's calls to targets, measures and logs them, and passes the replies back to the scheduler.

use std::sync::{Arc, PoisonError};

use smol::Timer;
use smol::future::FutureExt as _;

use crate::batch::Name;
use crate::clock::Millis;
use crate::event;
use crate::metrics::{Counter, Timer as Timing};
use crate::runtime;
use crate::schedule::{Action, CallId, Event, Fence, Reply};

use super::adapter::CallFuture;
use super::node::Node;

/// The time after which a reply is overdue, the wait of a long poll not included. 99.9 % of replies take less.
const OVERDUE: Millis = Millis(30);

impl Node {
    /// Makes a call to a target and passes the reply to the scheduler.
    pub(super) fn call(self: &Arc<Self>, action: Action) {
        let (counter, call, target) = match &action {
            Action::Start { call, target, .. } => (Counter::LeasedStarts, *call, target),
            Action::Stop { call, target, .. } => (Counter::LeasedStops, *call, target),
            Action::Poll { call, target, .. } => (Counter::LeasedPolls, *call, target),
            Action::Unhealthy { .. }
            | Action::End { .. }
            | Action::Acquired { .. }
            | Action::Lost { .. } => return,
        };
        self.metrics.count(counter);
        let record = Record::of(&action);
        let target_id = Arc::clone(target);
        let is_start = matches!(action, Action::Start { .. });
        let overdue = match &action {
            Action::Start { .. } => Some(OVERDUE),
            Action::Poll { wait, .. } => Some(*wait + OVERDUE),
            _ => None,
        };
        let targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(known) = targets.get(target) else { return };
        let future = Arc::clone(&known.client).call(action);
        drop(targets);
        let (node, sent_at) = (Arc::clone(self), self.now());
        runtime::spawn(async move {
            let reply = match overdue {
                Some(overdue) => node.await_reply(call, future, overdue).await,
                None => future.await,
            };
            let took = node.now() - sent_at;
            if is_start {
                node.metrics.time(Timing::Start, took);
            }
            if let Some(record) = record {
                record.log(&reply, took);
            } else if !matches!(reply, Reply::Executed { .. } | Reply::Polled(_)) {
                event!(debug, "target-hold", target = target_id, outcome = reply, ms = took.0);
            }
            match reply {
                Reply::Lost | Reply::Closed | Reply::Unsent => {
                    node.metrics.count(Counter::LeasedLost);
                }
                Reply::Denied { .. } => node.metrics.count(Counter::LeasedDenied),
                Reply::Executed { .. } | Reply::Polled(_) => {}
            }
            node.handle(Event::Reply { call, reply });
        })
        .detach();
    }

    /// Waits for the reply to a call, and notifies the scheduler when it is overdue.
    async fn await_reply(
        self: &Arc<Self>,
        call: CallId,
        mut future: CallFuture,
        overdue: Millis,
    ) -> Reply {
        let reply = async { Some((&mut future).await) };
        let timeout = async {
            Timer::after(overdue.duration()).await;
            None
        };
        if let Some(reply) = reply.or(timeout).await {
            return reply;
        }
        self.handle(Event::Overdue { call });
        future.await
    }
}

/// What the log shows of a start or a stop.
#[derive(Debug)]
struct Record {
    event: &'static str,
    target: Arc<str>,
    name: Name,
    attempt: u32,
    fence: Fence,
}

impl Record {
    /// The record of an action; `None` unless it is a start or a stop and debug lines are logged.
    fn of(action: &Action) -> Option<Self> {
        if !log::log_enabled!(log::Level::Debug) {
            return None;
        }
        let (event, target, name, attempt, fence) = match action {
            Action::Start { target, name, attempt, fence, .. } => {
                ("task-start", target, name, attempt, fence)
            }
            Action::Stop { target, name, attempt, fence, .. } => {
                ("task-stop", target, name, attempt, fence)
            }
            _ => return None,
        };
        let (target, name) = (Arc::clone(target), name.clone());
        Some(Self { event, target, name, attempt: *attempt, fence: *fence })
    }

    fn log(&self, reply: &Reply, took: Millis) {
        event!(
            debug,
            self.event,
            job = self.name.job,
            task = self.name,
            run = self.attempt,
            target = self.target,
            round = self.fence.round,
            outcome = reply,
            ms = took.0
        );
    }
}
