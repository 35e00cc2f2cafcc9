//! The state of a VM that its concurrent tasks share, and the path of a job through it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use smol::Timer;
use smol::channel::{self, Receiver, Sender};
use smol::future::FutureExt as _;

use crate::clock::{Clock, Millis};
use crate::config::{Document, Holder};
use crate::dispatch::{Attempt, Destination, Engine, Event, Report};
use crate::http::Holdings;
use crate::http::server::Traffic;
use crate::job::{
    Closing, Execution, Failure, Incarnation, Key, Outcome, Prefix, Reason, Spec, Windows,
};
use crate::membership::Membership;
use crate::membership::claim::Budget;
use crate::metrics::{self, Metrics};
use crate::peer::{Handler, Link, Links};
use crate::runtime;
use crate::settings::Settings;
use crate::store::Store;
use crate::target::{self, Pools};
use crate::wire::{Call, KeyStatus, Notification, Reply};

use super::core::{Core, Effects, Ticket};

/// How long a VM waits for a link to the VM that a caller's key names.
const LINK_TIMEOUT: Millis = Millis(3000);

/// How long after the job's own timeout the reply of another VM may arrive before it counts as lost.
const REPLY_SLACK: Millis = Millis(2000);

/// The longest time between two ticks.
const TICK_MAX: Millis = Millis(1000);

/// The shared state of a running VM.
#[derive(Debug)]
pub struct Node {
    /// The settings of this VM, which do not change while it runs.
    pub settings: Settings,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The links to the other VMs.
    pub links: Arc<Links>,
    /// The configuration in force.
    pub holder: Arc<Holder>,
    /// The store with the configuration, the registrations, the claims and the closing records.
    pub store: Arc<dyn Store>,
    /// The registered VMs and the draining targets.
    pub membership: Membership,
    /// The connections and requests of callers.
    pub traffic: Arc<Traffic>,
    /// The metrics of this VM.
    pub metrics: Arc<Metrics>,
    clock: Clock,
    core: Mutex<Core>,
    pub(super) pools: Pools,
    draining: AtomicBool,
    /// The budget for claims of keys without a prefix.
    pub(super) claims: Mutex<Budget>,
    /// The time of the next tick, in milliseconds of `clock`.
    next_tick: AtomicU64,
    /// Makes the ticker look for an earlier wakeup than `next_tick`.
    earlier_wakeup: (Sender<()>, Receiver<()>),
}

impl Node {
    /// Creates a VM without links.
    pub fn new(
        settings: Settings,
        incarnation: Incarnation,
        links: Arc<Links>,
        store: Arc<dyn Store>,
        holder: Arc<Holder>,
        membership: Membership,
    ) -> Self {
        let clock = Clock::start();
        let seed = fastrand::u64(..);
        let engine = Engine::new(incarnation, &settings.domain, seed);
        let core = Core::new(engine, windows_of(&holder.snapshot().document));
        let holdings = Arc::new(Holdings::new(settings.callers.memory_max));
        Self {
            settings,
            incarnation,
            links,
            holder,
            store,
            membership,
            traffic: Arc::new(Traffic::new(holdings)),
            metrics: Arc::default(),
            clock,
            core: Mutex::new(core),
            pools: Pools::new(clock),
            draining: AtomicBool::new(false),
            claims: Mutex::default(),
            next_tick: AtomicU64::new(0),
            earlier_wakeup: channel::bounded(1),
        }
    }

    /// The configuration in force.
    pub fn document(&self) -> Arc<Document> {
        Arc::clone(&self.holder.snapshot().document)
    }

    /// The time since the process started.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Whether the VM is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Whether the VM accepts new jobs: it has a configuration with targets and is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && !self.document().targets.is_empty()
    }

    /// A prefix for new keys, and how long it may be used for new submissions.
    pub fn prefix(&self) -> (Prefix, Millis) {
        let window = self.lock().table().window();
        let rules = windows_of(&self.document());
        (Prefix { incarnation: self.incarnation, window }, rules.length * rules.kept.div_ceil(2))
    }

    /// Applies a configuration to the pools, the table of keys and the engine.
    pub fn configure(self: &Arc<Self>, document: &Arc<Document>) {
        self.pools.configure(document, self.domain_vms());
        self.lock().set_windows(windows_of(document));
        self.handle(Event::Configure(Arc::clone(document)));
    }

    /// Handles an event in the engine and performs the resulting actions.
    pub fn handle(self: &Arc<Self>, event: Event) {
        self.with_core(|core, now, effects| core.handle(now, event, effects));
    }

    /// Runs or joins a job and waits for its outcome, wherever its coordinator is.
    pub async fn submit(self: &Arc<Self>, key: &Key, spec: Spec) -> Arc<Outcome> {
        if key.prefix.incarnation == self.incarnation {
            return self.coordinate(key, spec).await;
        }
        let timeout = self.reply_timeout(&spec);
        let call = Call::Submit { key: key.clone(), spec };
        match self.call_coordinator(key, call, timeout).await {
            Ok(Reply::Outcome(outcome)) => Arc::new(outcome),
            Ok(_) => Arc::new(Outcome::Failed(unreachable_coordinator())),
            Err(failure) => Arc::new(Outcome::Failed(failure)),
        }
    }

    /// Looks up a key, wherever its coordinator is.
    pub async fn lookup(self: &Arc<Self>, key: &Key) -> Result<KeyStatus, Failure> {
        if key.prefix.incarnation == self.incarnation {
            return Ok(self.lock().lookup(key));
        }
        self.request_status(key, Call::Lookup { key: key.clone() }).await
    }

    /// Cancels the job of a key, wherever its coordinator is.
    pub async fn cancel(self: &Arc<Self>, key: &Key) -> Result<KeyStatus, Failure> {
        if key.prefix.incarnation == self.incarnation {
            return Ok(self.cancel_local(key));
        }
        self.request_status(key, Call::Cancel { key: key.clone() }).await
    }

    /// Runs or joins a job of a key that names this VM.
    pub async fn coordinate(self: &Arc<Self>, key: &Key, spec: Spec) -> Arc<Outcome> {
        let spec = Arc::new(spec);
        let fingerprint = spec.fingerprint();
        let ticket =
            self.with_core(|core, now, effects| core.submit(now, key, &spec, fingerprint, effects));
        match ticket {
            Ticket::Ready(outcome) => outcome,
            Ticket::Wait(outcome) => outcome.recv().await.unwrap_or_else(|_| {
                let detail = "the VM dropped the job; submit again with the same key";
                let failure = Failure::new(Reason::Unavailable, Execution::Unknown, detail);
                Arc::new(Outcome::Failed(failure))
            }),
        }
    }

    /// Cancels the job of a key that names this VM.
    pub fn cancel_local(self: &Arc<Self>, key: &Key) -> KeyStatus {
        self.with_core(|core, now, effects| core.cancel(now, key, effects))
    }

    /// Looks up a key that names this VM.
    pub fn lookup_local(&self, key: &Key) -> KeyStatus {
        self.lock().lookup(key)
    }

    /// Runs a task that another domain's VM delegates, or finds out what became of one, and waits for its end.
    ///
    /// `event` is [`Event::Delegate`] or [`Event::Fate`].
    pub async fn run_delegated(self: &Arc<Self>, event: Event) -> Report {
        let (Event::Delegate { id, .. } | Event::Fate { id }) = event else {
            return Report::Unsent("not a delegated task".to_owned());
        };
        let report =
            self.with_core(|core, now, effects| core.run_delegated(now, id, event, effects));
        let dropped =
            |_| Report::Lost(format!("VM {} dropped the task without a report", self.settings.vm));
        report.recv().await.unwrap_or_else(dropped)
    }

    /// Advances the windows of keys and the engine at each wakeup that the engine asks for, and at least every
    /// `TICK_MAX`.
    pub async fn tick(self: Arc<Self>) {
        loop {
            let now = self.clock.now();
            let wakeup = self.lock().engine().next_wakeup().unwrap_or(now + TICK_MAX);
            let wakeup = wakeup.min(now + TICK_MAX);
            self.next_tick.store(wakeup.0, Ordering::Relaxed);
            let timer = async {
                Timer::after((wakeup - now).duration()).await;
            };
            let earlier = async {
                let _ = self.earlier_wakeup.1.recv().await;
            };
            timer.or(earlier).await;
            self.with_core(|core, now, effects| {
                core.advance(now);
                core.handle(now, Event::Tick, effects);
            });
        }
    }

    /// Stops accepting new jobs, for good.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.lock().close();
        self.membership.drain();
    }

    /// The content of the closing record. The VM has to be draining.
    pub fn closing(&self) -> Closing {
        self.lock().table().closing()
    }

    /// How much a stop has to wait for: unfinished jobs and delegated tasks, open requests of callers, and replies to
    /// other VMs that are not yet sent.
    pub fn unfinished(&self) -> usize {
        self.lock().unfinished() + self.traffic.busy() + self.links.unsent_replies()
    }

    /// Locks the state that changes while jobs run.
    pub fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the core under its lock, wakes the ticker if needed, and performs the effects.
    fn with_core<T>(
        self: &Arc<Self>,
        change: impl FnOnce(&mut Core, Millis, &mut Effects) -> T,
    ) -> T {
        let mut effects = Effects::default();
        let (result, wakeup) = {
            let mut core = self.lock();
            let result = change(&mut core, self.clock.now(), &mut effects);
            (result, core.engine().next_wakeup())
        };
        if wakeup.is_some_and(|wakeup| wakeup.0 < self.next_tick.load(Ordering::Relaxed)) {
            let _ = self.earlier_wakeup.0.try_send(());
        }
        self.perform(effects);
        result
    }

    fn perform(self: &Arc<Self>, effects: Effects) {
        for (to, message) in effects.messages {
            if let Some(link) = self.links.get(to) {
                link.notify(Notification::Slots(message));
            }
        }
        for attempt in effects.attempts {
            let node = Arc::clone(self);
            runtime::spawn(async move {
                let started_at = node.clock.now();
                let report = node.run_attempt(&attempt).await;
                node.metrics.time(metrics::Timer::TaskTime, node.clock.now() - started_at);
                node.handle(Event::Report { attempt: attempt.id, report });
            })
            .detach();
        }
    }

    async fn run_attempt(&self, attempt: &Attempt) -> Report {
        match &attempt.destination {
            Destination::Target(target) => {
                let Some(pool) = self.pools.get(target) else {
                    return Report::Unsent(format!("target {target} is no longer configured"));
                };
                pool.run(attempt, self.target_rules()).await
            }
            Destination::Peer(peer) => self.delegate(*peer, attempt).await,
        }
    }

    const fn target_rules(&self) -> target::Rules {
        let targets = &self.settings.targets;
        target::Rules { connect_timeout: targets.connect_timeout, prove_after: targets.prove_after }
    }

    /// How long to wait for the reply to a submission that is forwarded.
    fn reply_timeout(&self, spec: &Spec) -> Millis {
        let document = self.document();
        let service = document.services.iter().find(|service| service.name == spec.service);
        let max = document.limits.timeout_max;
        let timeout = spec.timeout.or_else(|| service.map(|service| service.timeout));
        timeout.unwrap_or(max).min(max) + REPLY_SLACK
    }

    async fn request_status(&self, key: &Key, call: Call) -> Result<KeyStatus, Failure> {
        match self.call_coordinator(key, call, LINK_TIMEOUT + REPLY_SLACK).await? {
            Reply::KeyStatus(status) => Ok(status),
            _ => Err(unreachable_coordinator()),
        }
    }

    /// Calls the VM that a key names. The call has to be idempotent: it is sent again on each new link.
    async fn call_coordinator(
        &self,
        key: &Key,
        call: Call,
        timeout: Millis,
    ) -> Result<Reply, Failure> {
        if self.is_coordinator_gone(key) {
            let failure = self.unreachable_failure(key).await;
            if failure.reason == Reason::Gone && failure.execution != Execution::Unknown {
                return Err(failure);
            }
        }
        let calling = async {
            loop {
                let link = self.links.wait_for(key.prefix.incarnation, LINK_TIMEOUT).await;
                let Some(link) = link else { return Err(self.unreachable_failure(key).await) };
                if let Ok(reply) = link.call(call.clone()).await {
                    return Ok(reply);
                }
            }
        };
        let expired = async {
            Timer::after(timeout.duration()).await;
            Err(unreachable_coordinator())
        };
        calling.or(expired).await
    }
}

/// The failure for a key whose VM did not reply in time, or with the wrong kind of reply.
pub(super) fn unreachable_coordinator() -> Failure {
    let detail = "the VM that the key names can't be reached; submit again later with the same key";
    Failure::new(Reason::Unavailable, Execution::Unknown, detail).retry_after(Millis::from_secs(1))
}

fn windows_of(document: &Document) -> Windows {
    let limits = &document.limits.windows;
    Windows {
        length: limits.length,
        kept: limits.kept,
        keys_max: limits.keys_max,
        outcome_bytes_max: usize::try_from(limits.answers_max).unwrap_or(usize::MAX),
    }
}

impl Handler for Node {
    fn call(
        self: Arc<Self>,
        from: Incarnation,
        call: Call,
    ) -> std::pin::Pin<Box<dyn Future<Output = Reply> + Send>> {
        Box::pin(super::calls::handle_call(self, from, call))
    }

    fn notify(self: Arc<Self>, from: Incarnation, notification: Notification) {
        super::calls::handle_notification(&self, from, notification);
    }

    fn links_changed(self: Arc<Self>) {
        self.refresh_members();
    }

    fn link_up(self: Arc<Self>, link: Arc<Link>) {
        runtime::spawn(self.request_versions(link)).detach();
    }

    fn expects(&self, address: SocketAddr) -> bool {
        let view = self.membership.view();
        let mut members = view.members.value.values();
        self.settings.peers.contains(&address)
            || members.any(|member| member.peer_address == address)
    }
}
