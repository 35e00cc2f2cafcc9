//! Routes a batch to a VM that owns targets, this one or another, and returns its outcome.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use smol::Timer;
use smol::future::FutureExt as _;

use crate::batch::{Outcome, Refusal, Spec};
use crate::clock::Millis;
use crate::event;
use crate::job::Incarnation;
use crate::metrics::{Counter, Timer as Timing};
use crate::peer::Link;
use crate::route::{self, Candidate, Demand};
use crate::schedule::BatchId;
use crate::wire::{Call, Notification, Reply};

use super::core::Origin;
use super::node::Node;

/// How long a batch waits while no VM owns targets, as shortly after the VMs have started.
const OWNER_WAIT_MAX: Millis = Millis(400);

/// The most VMs that a batch is routed to before it is refused.
const TRIES_MAX: usize = 4;

/// The time after which a caller may retry if no VM owns targets or this VM stops.
const RETRY_AFTER: Millis = Millis(1000);

/// The time within which a peer's tasks for this VM end after their link has broken: the peer detects the loss and stops
/// them, or its process has ended and their leases lapse.
const PEER_CLEANUP_MAX: Millis = Millis(1150);

/// The factor by which a batch may take longer than its estimated critical path: estimates are off by half, target
/// speeds differ as much, and the batch may have to wait.
const CRITICAL_PATH_FACTOR: u64 = 4;

/// The time that a submission may take.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    /// When the submission arrived.
    pub received_at: Millis,
    /// When the caller stops waiting.
    pub deadline: Millis,
}

/// The VM that runs a batch.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Owner {
    Local,
    Peer(Incarnation),
}

impl Node {
    /// Runs a batch and waits for its outcome. If the future is dropped before, the batch is abandoned and its
    /// running tasks are stopped.
    pub async fn submit(self: &Arc<Self>, spec: Spec, wait: Wait) -> Outcome {
        let spec = Arc::new(spec);
        let outcome = if self.may_outlast(&spec) {
            Outcome::Refused { reason: Refusal::Stopping, retry_after: RETRY_AFTER }
        } else {
            self.route_until_cancelled(&spec, wait).await
        };
        let took = self.now() - wait.received_at;
        self.metrics.time(Timing::Batch, took);
        self.metrics.count(match outcome {
            Outcome::Done => Counter::BatchesDone,
            Outcome::Failed => Counter::BatchesFailed,
            Outcome::Expired => Counter::BatchesExpired,
            Outcome::Cancelled => Counter::BatchesCancelled,
            _ => Counter::BatchesRefused,
        });
        outcome
    }

    /// Whether this VM is draining and may stop before the batch has ended.
    fn may_outlast(&self, spec: &Spec) -> bool {
        let Some(time_left) = self.time_left() else { return false };
        let critical_path = spec.critical_path(|step| step.estimate);
        critical_path * CRITICAL_PATH_FACTOR + spec.terms.allowance > time_left
    }

    /// Routes a batch until it has an outcome or is cancelled. What runs of it is abandoned before the cancelling is
    /// confirmed.
    async fn route_until_cancelled(self: &Arc<Self>, spec: &Arc<Spec>, wait: Wait) -> Outcome {
        let number = self.next_batch_number.fetch_add(1, Ordering::Relaxed);
        let entry = self.cancellable.register(&spec.queue, &spec.id, number);
        let routed = async { Err(self.route(spec, wait).await) };
        let cancelled = async { Ok(entry.requested().await) };
        let result = routed.or(cancelled).await;
        match result {
            Err(outcome) => outcome,
            Ok(confirmation) => {
                if confirmation.try_send(()).is_err() {
                    event!(debug, "cancel-unconfirmed", job = spec.id);
                }
                Outcome::Cancelled
            }
        }
    }

    /// Routes a batch to one VM after another until one runs it, all are tried or the time is up.
    async fn route(self: &Arc<Self>, spec: &Arc<Spec>, wait: Wait) -> Outcome {
        let mut tried = BTreeSet::new();
        let mut has_started = false;
        let mut refused = None;
        loop {
            if self.now() >= wait.deadline {
                break;
            }
            let may_wait = refused.is_none();
            let Some(chosen) = self.find_owner(spec, &tried, wait, may_wait).await else { break };
            let vm = self.name_of(chosen.vm);
            self.log_route(spec, &chosen, &vm);
            let outcome = match chosen.vm {
                Owner::Local => self.run_locally(spec, wait).await,
                Owner::Peer(vm) => self.run_on_peer(vm, spec, wait).await,
            };
            tried.insert(chosen.vm);
            match outcome {
                Outcome::Moved => {}
                Outcome::Interrupted => {
                    has_started = true;
                    tried.clear();
                }
                Outcome::Refused { .. } => refused = Some(outcome.clone()),
                Outcome::Done | Outcome::Failed | Outcome::Expired | Outcome::Cancelled => {
                    return outcome;
                }
            }
            event!(
                info,
                "batch-again",
                job = spec.id,
                vm = vm,
                outcome = outcome,
                tried = tried.len(),
                started = has_started
            );
            if tried.len() >= TRIES_MAX {
                break;
            }
        }
        let unowned = Outcome::Refused { reason: Refusal::Unowned, retry_after: RETRY_AFTER };
        if has_started { Outcome::Expired } else { refused.unwrap_or(unowned) }
    }

    /// The VM to run a batch. If there is none, waits up to [`OWNER_WAIT_MAX`] for one, provided `may_wait`.
    async fn find_owner(
        &self,
        spec: &Spec,
        tried: &BTreeSet<Owner>,
        wait: Wait,
        may_wait: bool,
    ) -> Option<Candidate<Owner>> {
        let find = async {
            loop {
                let changed = self.owners_changed.listen();
                if let Some(chosen) = self.choose_owner(spec, tried) {
                    return Some(chosen);
                }
                if !may_wait {
                    return None;
                }
                changed.await;
            }
        };
        let timeout = async {
            let time_left = (wait.deadline - self.now()).min(OWNER_WAIT_MAX);
            Timer::after(time_left.duration()).await;
            None
        };
        find.or(timeout).await
    }

    /// The VM that can finish the batch soonest, of those not tried yet.
    fn choose_owner(&self, spec: &Spec, tried: &BTreeSet<Owner>) -> Option<Candidate<Owner>> {
        let topology = self.topology.load();
        let rack = spec.steps.iter().find_map(|step| step.near_rack.as_ref());
        let near = rack.and_then(|rack| topology.racks.get(rack));
        let mut candidates = self.candidates(near.map(|targets| &targets[..]));
        candidates.retain(|candidate| !tried.contains(&candidate.vm));
        let demand = Demand::of(spec, near.map(|_| self.settings.rules.far_factor));
        route::choose(candidates, demand)
    }

    /// Logs which VM gets a batch, and how old the information about its load is.
    fn log_route(&self, spec: &Spec, chosen: &Candidate<Owner>, vm: &str) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let now = self.now();
        let age = match chosen.vm {
            Owner::Local => Millis::ZERO,
            Owner::Peer(vm) => {
                self.lock().loads.get(&vm).map_or(now, |load| now - load.received_at)
            }
        };
        event!(
            debug,
            "batch-routed",
            job = spec.id,
            vm = vm,
            near = chosen.is_near,
            free_cpu = chosen.load.free_cpu,
            backlog_ms = chosen.load.backlog.0,
            age_ms = age.0
        );
    }

    /// The name of a VM, or its incarnation if its link has ended.
    fn name_of(&self, owner: Owner) -> String {
        match owner {
            Owner::Local => self.settings.vm.clone(),
            Owner::Peer(vm) => self.name_of_peer(vm),
        }
    }

    /// The name of another VM, or its incarnation if its link has ended.
    pub(super) fn name_of_peer(&self, vm: Incarnation) -> String {
        self.links.get(vm).map_or_else(|| vm.to_string(), |link| link.hello.vm.clone())
    }

    /// The VMs that own healthy targets. Near the batch's data are the owners of the targets in `near`; without such
    /// targets, the VMs of this failure domain are near.
    fn candidates(&self, near: Option<&[Arc<str>]>) -> Vec<Candidate<Owner>> {
        let core = self.lock();
        let load = core.engine.load(self.clock.now());
        let mut candidates = Vec::new();
        if load.total_cpu > 0 {
            let is_near = near.is_none_or(|targets| {
                targets.iter().any(|target| core.ownership.owned().contains(target))
            });
            candidates.push(Candidate { vm: Owner::Local, load, is_near });
        }
        for (vm, peer) in core.ownership.alive(self.clock.now()) {
            let Some(owned) = peer.owns.as_ref().filter(|_| peer.presence.linked && !peer.draining)
            else {
                continue;
            };
            let Some(load) = core.loads.get(&vm).map(|load| load.utilization.load) else {
                continue;
            };
            if load.total_cpu == 0 {
                continue;
            }
            let is_near = match near {
                Some(targets) => targets.iter().any(|target| owned.contains(target)),
                None => *peer.domain == *self.settings.domain,
            };
            candidates.push(Candidate { vm: Owner::Peer(vm), load, is_near });
        }
        candidates
    }

    /// Runs a batch on this VM's targets.
    async fn run_locally(self: &Arc<Self>, spec: &Arc<Spec>, wait: Wait) -> Outcome {
        let (batch, outcome) = self.with_core(|core, now, effects| {
            core.submit(now, Arc::clone(spec), now - wait.received_at, wait.deadline - now, effects)
        });
        let guard = Guard { node: self, job: &spec.id, running: Running::Local(batch) };
        let outcome = outcome.recv().await.unwrap_or(Outcome::Expired);
        guard.close();
        outcome
    }

    /// Forwards a batch to another VM and waits for its outcome.
    async fn run_on_peer(
        self: &Arc<Self>,
        vm: Incarnation,
        spec: &Arc<Spec>,
        wait: Wait,
    ) -> Outcome {
        let Some(link) = self.links.get(vm) else { return Outcome::Moved };
        let number = self.next_batch_number.fetch_add(1, Ordering::Relaxed);
        let now = self.now();
        let (age, time_left) = (now - wait.received_at, wait.deadline - now);
        let running = Running::Peer(Arc::clone(&link), number);
        let guard = Guard { node: self, job: &spec.id, running };
        let call = Call::Batch { id: number, spec: Spec::clone(spec), age, time_left };
        let reply = link.call(call).await;
        guard.close();
        match reply {
            Ok(Reply::Batch(outcome)) => outcome,
            Ok(_) => Outcome::Moved,
            Err(error) => {
                event!(warn, "batch-cut", job = spec.id, vm = link.hello.vm, reason = error);
                Timer::after(PEER_CLEANUP_MAX.duration()).await;
                Outcome::Interrupted
            }
        }
    }
}

/// Abandons a batch when it is dropped, unless the batch has ended.
struct Guard<'a> {
    node: &'a Arc<Node>,
    /// The id that the caller gave the batch.
    job: &'a str,
    running: Running,
}

enum Running {
    Local(BatchId),
    /// On another VM: the link to it, and this VM's number for the batch.
    Peer(Arc<Link>, u64),
    /// The batch has ended.
    Ended,
}

impl Guard<'_> {
    /// Disarms the guard: the batch has ended.
    fn close(mut self) {
        self.running = Running::Ended;
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        match &self.running {
            Running::Local(batch) => {
                let batch = *batch;
                self.node.with_core(|core, now, effects| {
                    core.abandon(now, batch, Origin::Caller, effects);
                });
            }
            Running::Peer(link, number) => {
                let (job, vm) = (self.job, &link.hello.vm);
                event!(warn, "batch-abandoned", job = job, origin = Origin::Caller, vm = vm);
                link.notify(Notification::Abandon { id: *number });
            }
            Running::Ended => return,
        }
        self.node.metrics.count(Counter::BatchesAbandoned);
    }
}
