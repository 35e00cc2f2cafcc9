//! Handles the calls and announcements of other VMs.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, PoisonError};

use crate::batch::Outcome;
use crate::event;
use crate::job::Incarnation;
use crate::peer::{Handler, Link};
use crate::wire::{Call, KeyStatus, Notification, Ownership, Reply, Utilization};

use super::core::{Forwarder, Origin, PeerLoad};
use super::node::Node;

impl Handler for Node {
    fn call(
        self: Arc<Self>,
        from: Incarnation,
        call: Call,
    ) -> Pin<Box<dyn Future<Output = Reply> + Send>> {
        match call {
            Call::Batch { spec, .. } if spec.check().is_err() => {
                event!(warn, "batch-invalid", job = spec.id, vm = from);
                Box::pin(async { Reply::Batch(Outcome::Moved) })
            }
            Call::Batch { id, spec, age, time_left } => {
                let vm = Arc::from(self.name_of_peer(from));
                let from = Forwarder { incarnation: from, vm, number: id };
                let outcome = self.with_core(|core, now, effects| {
                    core.submit_forwarded(now, from, Arc::new(spec), age, time_left, effects)
                });
                Box::pin(async move {
                    // The channel closes when the batch is abandoned; nobody reads this reply then.
                    Reply::Batch(outcome.recv().await.unwrap_or(Outcome::Expired))
                })
            }
            Call::Routes => {
                let reply = self.routes_reply();
                Box::pin(async move { reply })
            }
            Call::Cancel { key } => Box::pin(async move {
                let is_cancelled = self.cancellable.cancel(&key.suffix).await;
                Reply::KeyStatus(if is_cancelled {
                    KeyStatus::Cancelling
                } else {
                    KeyStatus::NeverSubmitted
                })
            }),
            other => {
                event!(warn, "call-ignored", call = format!("{other:?}"));
                Box::pin(async move { Reply::Routes(Arc::default()) })
            }
        }
    }

    fn frame_arrived(self: Arc<Self>) {
        self.notice_standstill();
    }

    fn notify(self: Arc<Self>, from: Incarnation, notification: Notification) {
        match notification {
            Notification::Abandon { id } => self.with_core(|core, now, effects| {
                if let Some(batch) = core.take_forwarded(from, id) {
                    core.abandon(now, batch, Origin::Vm, effects);
                }
            }),
            Notification::Ownership(ownership) => self.record_ownership(from, &ownership),
            Notification::Utilization(utilization) => self.record_load(from, utilization),
            Notification::Evacuation(evacuation) => self.receive_evacuation(from, &evacuation),
            Notification::Slots(_) | Notification::Versions(_) => {
                event!(
                    debug,
                    "note-ignored",
                    reason = "this platform has no slots and no configuration sections"
                );
            }
        }
    }

    fn links_changed(self: Arc<Self>) {
        self.notice_routes();
        self.owners_changed.notify(usize::MAX);
        self.update_ownership();
    }

    fn link_up(self: Arc<Self>, link: Arc<Link>) {
        let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        refused.remove(&link.hello.peer_address);
        drop(refused);
        self.announce_to(&link);
    }

    fn peer_disconnected(&self, from: Incarnation) {
        // The VM that forwarded the batches waits and then runs them again; their tasks here must have ended by then.
        let batches = {
            let mut core = self.lock();
            core.loads.remove(&from);
            core.take_forwarded_by(from)
        };
        if !batches.is_empty() {
            event!(
                warn,
                "batches-abandoned",
                vm = from,
                batches = batches.len(),
                reason = "the link to the VM was lost"
            );
        }
        self.abandoned.lock().unwrap_or_else(PoisonError::into_inner).extend(batches);
        self.wake_ticker();
    }

    fn connection_refused(&self, address: SocketAddr) {
        let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        if refused.insert(address) {
            event!(info, "vm-refused", address = address);
        }
        drop(refused);
        self.wake_ticker();
    }

    fn expects(&self, address: SocketAddr) -> bool {
        let view = self.membership.view();
        let mut members = view.members.value.values();
        self.settings.seeds.contains(&address)
            || members.any(|member| member.peer_address == address)
    }
}

impl Node {
    fn record_ownership(self: &Arc<Self>, from: Incarnation, ownership: &Ownership) {
        let targets = ownership.targets.iter().map(|id| Arc::from(id.as_str())).collect();
        let contested = self.with_core(|core, _, _| {
            core.round = core.round.max(ownership.round);
            let contested = core.ownership.contested(from, &targets);
            core.ownership.record_announcement(from, targets, ownership.draining);
            contested
        });
        for target in contested {
            event!(warn, "target-contested", target = target, vm = self.name_of_peer(from));
        }
        self.owners_changed.notify(usize::MAX);
        self.update_ownership();
    }

    fn record_load(self: &Arc<Self>, from: Incarnation, utilization: Utilization) {
        let load = PeerLoad { utilization, received_at: self.now() };
        let previous = self.lock().loads.insert(from, load);
        let had_capacity = previous.is_some_and(|previous| previous.utilization.load.total_cpu > 0);
        if !had_capacity && utilization.load.total_cpu > 0 {
            self.owners_changed.notify(usize::MAX);
        }
        if utilization.routes > self.routes.version() {
            self.notice_routes();
        }
    }
}
