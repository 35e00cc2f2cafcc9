//! What other VMs ask and tell.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, PoisonError};

use crate::batch::Outcome;
use crate::event;
use crate::job::Incarnation;
use crate::peer::{Handler, Link};
use crate::runtime;
use crate::wire::{Busy, Call, Note, Owns, Reply};

use super::core::Said;
use super::node::Node;

impl Handler for Node {
    fn call(
        self: Arc<Self>,
        from: Incarnation,
        call: Call,
    ) -> Pin<Box<dyn Future<Output = Reply> + Send>> {
        match call {
            Call::Batch { number, spec, age, patience } => {
                let outcome = self.with_core(|core, now, work| {
                    let (job, outcome) = core.submit(now, Arc::new(spec), age, patience, work);
                    core.pass_on(from, number, job);
                    outcome
                });
                Box::pin(async move {
                    // The channel is closed when the batch was abandoned, and nobody reads the answer.
                    Reply::Batch(outcome.recv().await.unwrap_or(Outcome::Expired))
                })
            }
            Call::Routes => {
                let text = Vec::clone(&self.routes_text.load());
                Box::pin(async move { Reply::Routes(text) })
            }
            other => {
                event!(warn, "call-ignored", call = format!("{other:?}"));
                Box::pin(async move { Reply::Routes(Vec::new()) })
            }
        }
    }

    fn note(self: Arc<Self>, from: Incarnation, note: Note) {
        match note {
            Note::Abandon { number } => self.with_core(|core, now, work| {
                if let Some(job) = core.passed_on(from, number) {
                    core.abandon(now, job, work);
                }
            }),
            Note::Owns(owns) => self.take_owns(from, &owns),
            Note::Busy(busy) => self.take_busy(from, busy),
            Note::Slots(_) | Note::News(_) => {
                event!(debug, "note-ignored", reason = "no slots and no sections on this platform");
            }
        }
    }

    fn changed(self: Arc<Self>) {
        self.owners_changed.notify(usize::MAX);
        self.review();
    }

    fn met(self: Arc<Self>, link: Arc<Link>) {
        let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        refused.remove(&link.hello.peers);
        drop(refused);
        self.greet(&link);
    }

    fn left(&self, from: Incarnation) {
        // The VM that passed the batches on counts on their end: it runs them anew after a while.
        let jobs = {
            let mut core = self.lock();
            core.said.remove(&from);
            core.passed_on_by(from)
        };
        if !jobs.is_empty() {
            event!(
                warn,
                "batches-abandoned",
                vm = from,
                batches = jobs.len(),
                reason = "link ended"
            );
        }
        self.abandoned.lock().unwrap_or_else(PoisonError::into_inner).extend(jobs);
        self.wake_early();
    }

    fn refused(&self, address: SocketAddr) {
        let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        if refused.insert(address) {
            event!(info, "vm-refused", address = address);
        }
        drop(refused);
        self.wake_early();
    }

    fn expects(&self, address: SocketAddr) -> bool {
        let view = self.membership.view();
        let mut members = view.members.value.values();
        self.settings.seeds.contains(&address)
            || members.any(|member| member.peer_address == address)
    }
}

impl Node {
    fn take_owns(self: &Arc<Self>, from: Incarnation, owns: &Owns) {
        let targets = owns.targets.iter().map(|id| Arc::from(id.as_str())).collect();
        self.with_core(|core, _, _| {
            core.round = core.round.max(owns.round);
            core.ownership.record_announcement(from, targets, owns.draining);
        });
        self.owners_changed.notify(usize::MAX);
        self.review();
    }

    fn take_busy(self: &Arc<Self>, from: Incarnation, busy: Busy) {
        let said = Said { busy, at: self.now() };
        let old = self.lock().said.insert(from, said);
        let had_room = old.is_some_and(|old| old.busy.load.total_cpu > 0);
        if !had_room && busy.load.total_cpu > 0 {
            self.owners_changed.notify(usize::MAX);
        }
        if busy.routes > self.routes.load().version {
            runtime::spawn(Arc::clone(self).fetch_routes(from)).detach();
        }
    }
}
