//! Calls to targets: counted, timed, and their answers given to the scheduler.

use std::sync::{Arc, PoisonError};

use smol::Timer;
use smol::future::FutureExt as _;

use crate::batch::Name;
use crate::clock::Millis;
use crate::event;
use crate::metrics::{Counter, Timer as Timing};
use crate::runtime;
use crate::schedule::{Action, CallId, Event, Fence, Reply};

use super::adapter::Calling;
use super::node::Node;

/// The time after which an answer is overdue, the wait that was asked for aside. All but one of a thousand come sooner.
const OVERDUE: Millis = Millis(30);

impl Node {
    /// Makes a call to a target, and gives its answer to the scheduler.
    pub(super) fn call(self: &Arc<Self>, action: Action) {
        let (counter, order, target) = match &action {
            Action::Start { call: order, target, .. } => (Counter::LeasedStarts, *order, target),
            Action::Stop { call: order, target, .. } => (Counter::LeasedStops, *order, target),
            Action::Poll { call: order, target, .. } => (Counter::LeasedHolds, *order, target),
            Action::Unhealthy { .. }
            | Action::End { .. }
            | Action::Acquired { .. }
            | Action::Lost { .. } => return,
        };
        self.metrics.count(counter);
        let asked = Asked::of(&action);
        let target_id = Arc::clone(target);
        let is_start = matches!(action, Action::Start { .. });
        let overdue = match &action {
            Action::Start { .. } => Some(OVERDUE),
            Action::Poll { wait, .. } => Some(*wait + OVERDUE),
            _ => None,
        };
        let runners = self.runners.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(reached) = runners.get(target) else { return };
        let calling = Arc::clone(&reached.runner).call(action);
        drop(runners);
        let (node, sent) = (Arc::clone(self), self.now());
        runtime::spawn(async move {
            let reply = match overdue {
                Some(overdue) => node.answer_to(order, calling, overdue).await,
                None => calling.await,
            };
            let took = node.now() - sent;
            if is_start {
                node.metrics.time(Timing::Start, took);
            }
            if let Some(asked) = asked {
                asked.log(&reply, took);
            } else if !matches!(reply, Reply::Executed { .. } | Reply::Polled(_)) {
                event!(debug, "target-hold", target = target_id, outcome = reply, ms = took.0);
            }
            match reply {
                Reply::Lost | Reply::Unsent => node.metrics.count(Counter::LeasedLost),
                Reply::Denied { .. } => node.metrics.count(Counter::LeasedDenied),
                Reply::Executed { .. } | Reply::Polled(_) => {}
            }
            node.handle(Event::Reply { call: order, reply });
        })
        .detach();
    }

    /// Waits for the answer to a call, and tells the scheduler when it is overdue.
    async fn answer_to(
        self: &Arc<Self>,
        order: CallId,
        mut calling: Calling,
        overdue: Millis,
    ) -> Reply {
        let answer = async { Some((&mut calling).await) };
        let late = async {
            Timer::after(overdue.duration()).await;
            None
        };
        if let Some(reply) = answer.or(late).await {
            return reply;
        }
        self.handle(Event::Overdue { call: order });
        calling.await
    }
}

/// A start or a stop, as the log tells of it.
#[derive(Debug)]
struct Asked {
    event: &'static str,
    target: Arc<str>,
    name: Name,
    run: u32,
    fence: Fence,
}

impl Asked {
    /// What an action asks of a target; `None` for others, and where nobody reads that.
    fn of(action: &Action) -> Option<Self> {
        if !log::log_enabled!(log::Level::Debug) {
            return None;
        }
        let (event, target, name, run, fence) = match action {
            Action::Start { target, name, attempt: run, fence, .. } => {
                ("task-start", target, name, run, fence)
            }
            Action::Stop { target, name, attempt: run, fence, .. } => {
                ("task-stop", target, name, run, fence)
            }
            _ => return None,
        };
        let (target, name) = (Arc::clone(target), name.clone());
        Some(Self { event, target, name, run: *run, fence: *fence })
    }

    fn log(&self, reply: &Reply, took: Millis) {
        event!(
            debug,
            self.event,
            job = self.name.job,
            task = self.name,
            run = self.run,
            target = self.target,
            round = self.fence.round,
            outcome = reply,
            ms = took.0
        );
    }
}
