//! Handles the calls and notifications of other VMs, and delegates tasks to them.

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

/// How long to wait for a new link to the VM that runs a delegated task before the outcome counts as lost.
const RELINK_TIMEOUT: Millis = Millis(5000);

/// The pause before a delegated task's fate is requested again, after the link was lost once more.
const FATE_RETRY_DELAY: Millis = Millis(10);

/// The part of a frame that is reserved for everything but the answers, in bytes.
const FRAME_MARGIN_BYTES: usize = 64 << 10;

/// Handles a call from another VM.
pub async fn handle_call(node: Arc<Node>, from: Incarnation, call: Call) -> Reply {
    match call {
        Call::Submit { key, spec } => {
            let outcome = node.coordinate(&key, spec).await;
            Reply::Outcome(limit_size(&outcome))
        }
        Call::Lookup { key } => Reply::KeyStatus(node.lookup_local(&key)),
        Call::Cancel { key } => Reply::KeyStatus(node.cancel_local(&key)),
        Call::Delegate { attempt, delegation } => {
            if node.is_draining() {
                let reason = format!("VM {} is stopping", node.settings.vm);
                return Reply::Report(Report::Unsent(reason));
            }
            let id = DelegationId { coordinator: from, attempt };
            Reply::Report(node.run_delegated(Event::Delegate { id, delegation }).await)
        }
        Call::ConfigSince { version } => Reply::Update(node.holder.snapshot().since(version)),
        Call::Versions => Reply::Versions(node.versions()),
        Call::View => Reply::View(View::clone(&node.membership.view())),
        Call::Fate { attempt } => {
            let id = DelegationId { coordinator: from, attempt };
            Reply::Report(node.run_delegated(Event::Fate { id }).await)
        }
        // This VM owns no leased targets.
        Call::Batch { .. } => Reply::Batch(batch::Outcome::Moved),
        Call::Routes => Reply::Routes(std::sync::Arc::default()),
    }
}

/// Replaces an outcome that does not fit in a frame by a failure.
fn limit_size(outcome: &Outcome) -> Outcome {
    if outcome.bytes() + FRAME_MARGIN_BYTES <= FRAME_MAX_BYTES {
        return outcome.clone();
    }
    let detail = "the answers are too large to forward between VMs; submit to the VM that the key \
                  names, or split the job";
    Outcome::Failed(Failure::new(Reason::Large, Execution::Ran, detail))
}

/// Handles a notification from another VM.
pub fn handle_notification(node: &Arc<Node>, from: Incarnation, notification: Notification) {
    match notification {
        Notification::Slots(message) => node.handle(Event::Slots { from, message }),
        Notification::Versions(versions) => node.fetch_newer(from, versions),
        Notification::Abandon { .. }
        | Notification::Ownership(_)
        | Notification::Utilization(_)
        | Notification::Evacuation(_) => {
            event!(debug, "note-ignored", reason = "this VM owns no leased targets");
        }
    }
}

impl Node {
    /// Delegates an attempt to a VM of another domain.
    ///
    /// The attempt is sent once. If the link is lost, the VM is only asked what became of it.
    pub(super) async fn delegate(&self, peer: Incarnation, attempt: &Attempt) -> Report {
        let Some(link) = self.links.get(peer) else {
            return Report::Unsent(format!("no link to VM {peer}"));
        };
        let delegation = Delegation {
            name: attempt.name.clone(),
            service: attempt.service.clone(),
            payload: Arc::clone(&attempt.payload),
            expected: attempt.expected,
            repeatable: attempt.repeatable,
            remaining: attempt.timeout,
        };
        match link.call(Call::Delegate { attempt: attempt.id, delegation }).await {
            Ok(Reply::Report(report)) => report,
            _ => self.request_fate(peer, attempt).await,
        }
    }

    async fn request_fate(&self, peer: Incarnation, attempt: &Attempt) -> Report {
        loop {
            let Some(link) = self.links.wait_for(peer, RELINK_TIMEOUT).await else {
                let reason = format!("no link to VM {peer}, which had the task");
                return Report::Lost(reason);
            };
            match link.call(Call::Fate { attempt: attempt.id }).await {
                Ok(Reply::Report(report)) => return report,
                Ok(_) => return Report::Lost(format!("unexpected kind of reply from VM {peer}")),
                Err(_) => {
                    Timer::after(FATE_RETRY_DELAY.duration()).await;
                }
            }
        }
    }
}
