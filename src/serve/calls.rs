//! What other VMs ask and tell, and the tasks that go to them.

use std::sync::Arc;

use smol::Timer;

use crate::batch;
use crate::clock::Millis;
use crate::dispatch::{Attempt, Delegation, DelegationId, Event, Report};
use crate::event;
use crate::job::{Execution, Failure, Incarnation, Outcome, Reason};
use crate::membership::View;
use crate::wire::{Call, FRAME_MAX_BYTES, Notification, Reply};

use super::node::Node;

/// How long a VM of another domain is looked for again before a task's outcome counts as lost.
const FATE_PATIENCE: Millis = Millis(5000);

/// What a frame holds besides the answers, in bytes.
const FRAME_MARGIN_BYTES: usize = 64 << 10;

/// Answers a question of another VM.
pub async fn answer(node: Arc<Node>, from: Incarnation, call: Call) -> Reply {
    match call {
        Call::Submit { key, spec } => {
            let outcome = node.coordinate(&key, spec).await;
            Reply::Outcome(fit(&outcome))
        }
        Call::Lookup { key } => Reply::KeyStatus(node.look_own(&key)),
        Call::Cancel { key } => Reply::KeyStatus(node.cancel_own(&key)),
        Call::Delegate { attempt, delegation } => {
            if node.is_draining() {
                return Reply::Report(Report::Unsent("the VM is stopping".to_owned()));
            }
            let id = DelegationId { coordinator: from, attempt };
            Reply::Report(node.adopt(Event::Delegate { id, delegation }).await)
        }
        Call::ConfigSince { version } => Reply::Update(node.holder.snapshot().since(version)),
        Call::Versions => Reply::Versions(node.news()),
        Call::View => Reply::View(View::clone(&node.membership.view())),
        Call::Fate { attempt } => {
            let id = DelegationId { coordinator: from, attempt };
            Reply::Report(node.adopt(Event::Fate { id }).await)
        }
        // This VM owns no leased targets.
        Call::Batch { .. } => Reply::Batch(batch::Outcome::Moved),
        Call::Routes => Reply::Routes(Vec::new()),
    }
}

/// The outcome as it fits in a frame.
fn fit(outcome: &Outcome) -> Outcome {
    if outcome.bytes() + FRAME_MARGIN_BYTES <= FRAME_MAX_BYTES {
        return outcome.clone();
    }
    let detail =
        "the answers are too large to pass on; ask the VM that the key names, or split the job";
    Outcome::Failed(Failure::new(Reason::Large, Execution::Ran, detail))
}

/// Takes news from another VM.
pub fn take(node: &Arc<Node>, from: Incarnation, news: Notification) {
    match news {
        Notification::Slots(message) => node.handle(Event::Slots { from, message }),
        Notification::Versions(theirs) => node.catch_up(from, theirs),
        Notification::Abandon { .. }
        | Notification::Ownership(_)
        | Notification::Utilization(_) => {
            event!(debug, "note-ignored", reason = "this VM owns no leased targets");
        }
    }
}

impl Node {
    /// Hands an attempt to a VM of another domain. After a cut its fate is asked; it is never resent.
    pub(super) async fn relay(&self, peer: Incarnation, start: &Attempt) -> Report {
        let Some(link) = self.links.get(peer) else {
            return Report::Unsent("no link to the peer".to_owned());
        };
        let delegation = Delegation {
            name: start.name.clone(),
            service: start.service.clone(),
            payload: Arc::clone(&start.payload),
            expected: start.expected,
            repeatable: start.repeatable,
            remaining: start.timeout,
        };
        match link.call(Call::Delegate { attempt: start.id, delegation }).await {
            Ok(Reply::Report(report)) => report,
            _ => self.fate(peer, start).await,
        }
    }

    async fn fate(&self, peer: Incarnation, start: &Attempt) -> Report {
        loop {
            let Some(link) = self.links.wait_for(peer, FATE_PATIENCE).await else {
                return Report::Lost("the peer that had the task can't be reached".to_owned());
            };
            match link.call(Call::Fate { attempt: start.id }).await {
                Ok(Reply::Report(report)) => return report,
                Ok(_) => return Report::Lost("the peer's answer makes no sense".to_owned()),
                Err(_) => {
                    Timer::after(Millis(10).duration()).await;
                }
            }
        }
    }
}
