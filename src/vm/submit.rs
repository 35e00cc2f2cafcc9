//! The path of a batch: to an owner of targets, here or on another VM, and back to its caller.

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
use crate::wire::{Call, Note, Reply};

use super::node::Node;

/// How long a batch waits for any VM to own targets, as just after a start.
const OWNER_WAIT_MAX: Millis = Millis(400);

/// The most VMs that are tried for one batch.
const TRIES_MAX: usize = 4;

/// When a refused caller may come back where no VM owns targets.
const UNOWNED_RETRY: Millis = Millis(1000);

/// How long after the end of a link everything has surely ended that ran for it: the other VM notices the
/// silence and stops it, or is gone and leases lapse.
const LINK_REMAINS: Millis = Millis(1150);

/// How many times its longest chain a batch may last: declared times are off by half, targets differ as much,
/// and it may have to wait.
const STOP_CHAINS: u64 = 4;

/// How long a submission may wait.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    /// When it came.
    pub since: Millis,
    /// When its caller leaves.
    pub until: Millis,
}

/// Who runs a batch.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Owner {
    Own,
    Peer(Incarnation),
}

impl Node {
    /// Runs a batch and waits for its end. Dropped before that, what runs is stopped.
    pub async fn submit(self: &Arc<Self>, spec: Spec, wait: Wait) -> Outcome {
        let spec = Arc::new(spec);
        let outcome = if self.may_outlast(&spec) {
            Outcome::Refused { reason: Refusal::Stopping, retry_after: UNOWNED_RETRY }
        } else {
            self.run_somewhere(&spec, wait).await
        };
        let took = self.now() - wait.since;
        self.metrics.time(Timing::Batch, took);
        self.metrics.count(match outcome {
            Outcome::Done => Counter::BatchesDone,
            Outcome::Failed => Counter::BatchesFailed,
            Outcome::Expired => Counter::BatchesExpired,
            _ => Counter::BatchesRefused,
        });
        outcome
    }

    /// Whether a batch may last beyond the end of a VM that is being stopped.
    fn may_outlast(&self, spec: &Spec) -> bool {
        let Some(left) = self.time_left() else { return false };
        let chain = spec.critical_path(|step| step.estimate);
        chain * STOP_CHAINS + spec.terms.allowance > left
    }

    async fn run_somewhere(self: &Arc<Self>, spec: &Arc<Spec>, wait: Wait) -> Outcome {
        let mut tried = BTreeSet::new();
        let mut has_started = false;
        let mut refused = None;
        loop {
            if self.now() >= wait.until {
                break;
            }
            let may_wait = refused.is_none();
            let Some(chosen) = self.find_owner(spec, &tried, wait, may_wait).await else { break };
            let vm = self.name_of(chosen.vm);
            self.log_route(spec, &chosen, &vm);
            let outcome = match chosen.vm {
                Owner::Own => self.run_here(spec, wait).await,
                Owner::Peer(vm) => self.run_there(vm, spec, wait).await,
            };
            tried.insert(chosen.vm);
            match outcome {
                Outcome::Moved => {}
                Outcome::Interrupted => {
                    has_started = true;
                    tried.clear();
                }
                Outcome::Refused { .. } => refused = Some(outcome.clone()),
                Outcome::Done | Outcome::Failed | Outcome::Expired => return outcome,
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
        let unowned = Outcome::Refused { reason: Refusal::Unowned, retry_after: UNOWNED_RETRY };
        if has_started { Outcome::Expired } else { refused.unwrap_or(unowned) }
    }

    /// The owner for a batch. Where none is known, waits a little for one if it may.
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
        let late = async {
            let most = (wait.until - self.now()).min(OWNER_WAIT_MAX);
            Timer::after(most.duration()).await;
            None
        };
        find.or(late).await
    }

    /// The VM that can end the batch soonest, of those that were not tried yet.
    fn choose_owner(&self, spec: &Spec, tried: &BTreeSet<Owner>) -> Option<Candidate<Owner>> {
        let places = self.places.load();
        let rack = spec.steps.iter().find_map(|step| step.near_rack.as_ref());
        let near = rack.and_then(|rack| places.racks.get(rack));
        let mut candidates = self.candidates(near.map(|targets| &targets[..]));
        candidates.retain(|candidate| !tried.contains(&candidate.vm));
        let demand = Demand::of(spec, near.map(|_| self.settings.rules.far_factor));
        route::choose(candidates, demand)
    }

    /// Tells which VM gets a batch, and how old what is known of it is.
    fn log_route(&self, spec: &Spec, chosen: &Candidate<Owner>, vm: &str) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let now = self.now();
        let age = match chosen.vm {
            Owner::Own => Millis::ZERO,
            Owner::Peer(vm) => self.lock().said.get(&vm).map_or(now, |said| now - said.at),
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

    fn name_of(&self, owner: Owner) -> String {
        match owner {
            Owner::Own => self.settings.vm.clone(),
            Owner::Peer(vm) => {
                self.links.get(vm).map_or_else(|| vm.to_string(), |link| link.hello.vm.clone())
            }
        }
    }

    /// The VMs that own targets. Those of `near`, if given, are where the batch belongs.
    fn candidates(&self, near: Option<&[Arc<str>]>) -> Vec<Candidate<Owner>> {
        let core = self.lock();
        let own = core.engine.load(self.clock.now());
        let mut candidates = Vec::new();
        if own.total_cpu > 0 {
            let is_near = near.is_none_or(|targets| {
                targets.iter().any(|target| core.ownership.owned().contains(target))
            });
            candidates.push(Candidate { vm: Owner::Own, load: own, is_near });
        }
        for (vm, peer) in core.ownership.alive(self.clock.now()) {
            let Some(owns) = peer.owns.as_ref().filter(|_| peer.presence.linked && !peer.draining)
            else {
                continue;
            };
            let Some(load) = core.said.get(&vm).map(|said| said.busy.load) else { continue };
            if load.total_cpu == 0 {
                continue;
            }
            let is_near = match near {
                Some(targets) => targets.iter().any(|target| owns.contains(target)),
                None => *peer.domain == *self.settings.domain,
            };
            candidates.push(Candidate { vm: Owner::Peer(vm), load, is_near });
        }
        candidates
    }

    async fn run_here(self: &Arc<Self>, spec: &Arc<Spec>, wait: Wait) -> Outcome {
        let (job, outcome) = self.with_core(|core, now, work| {
            core.submit(now, Arc::clone(spec), now - wait.since, wait.until - now, work)
        });
        let guard = Guard { node: self, running: Running::Here(job) };
        let outcome = outcome.recv().await.unwrap_or(Outcome::Expired);
        guard.close();
        outcome
    }

    async fn run_there(self: &Arc<Self>, vm: Incarnation, spec: &Arc<Spec>, wait: Wait) -> Outcome {
        let Some(link) = self.links.get(vm) else { return Outcome::Moved };
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let now = self.now();
        let (age, patience) = (now - wait.since, wait.until - now);
        let guard = Guard { node: self, running: Running::There(Arc::clone(&link), number) };
        let call = Call::Batch { number, spec: Spec::clone(spec), age, patience };
        let reply = link.call(call).await;
        guard.close();
        match reply {
            Ok(Reply::Batch(outcome)) => outcome,
            Ok(_) => Outcome::Moved,
            Err(cut) => {
                event!(warn, "batch-cut", job = spec.id, vm = link.hello.vm, reason = cut);
                Timer::after(LINK_REMAINS.duration()).await;
                Outcome::Interrupted
            }
        }
    }
}

/// Stops a batch whose caller has left.
struct Guard<'a> {
    node: &'a Arc<Node>,
    running: Running,
}

enum Running {
    Here(BatchId),
    There(Arc<Link>, u64),
    Nowhere,
}

impl Guard<'_> {
    /// Ends the watch: the batch has ended by itself.
    fn close(mut self) {
        self.running = Running::Nowhere;
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        match &self.running {
            Running::Here(job) => {
                let job = *job;
                self.node.with_core(|core, now, work| core.abandon(now, job, work));
            }
            Running::There(link, number) => link.note(Note::Abandon { number: *number }),
            Running::Nowhere => return,
        }
        self.node.metrics.count(Counter::BatchesAbandoned);
    }
}
