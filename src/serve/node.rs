//! One VM: what its tasks share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use smol::Timer;
use smol::channel::{self, Receiver, Sender};
use smol::future::FutureExt as _;

use crate::clock::{Clock, Millis};
use crate::config::{Document, Holder};
use crate::dispatch::{Attempt, Destination, Engine, Event, Report};
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

use super::core::{Core, Ticket, Work};

/// How long a caller's VM waits for a link to the VM that its key names.
const LINK_PATIENCE: Millis = Millis(3000);

/// What an answer may take beyond the job's own timeout before it counts as lost.
const ANSWER_SLACK: Millis = Millis(2000);

/// The longest time between two ticks.
const TICK_MAX: Millis = Millis(1000);

/// A running VM.
#[derive(Debug)]
pub struct Node {
    /// What differs from VM to VM.
    pub settings: Settings,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its links to the other VMs.
    pub links: Arc<Links>,
    /// The configuration in force.
    pub holder: Arc<Holder>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The other VMs, and the targets that leave.
    pub membership: Membership,
    /// What the callers' server is doing.
    pub traffic: Arc<Traffic>,
    /// What is counted on the path of a request.
    pub metrics: Arc<Metrics>,
    clock: Clock,
    core: Mutex<Core>,
    pub(super) pools: Pools,
    draining: AtomicBool,
    /// What may still be claimed of keys that callers made up.
    pub(super) claims: Mutex<Budget>,
    /// When the ticker will tick next, in milliseconds of the clock.
    next_tick: AtomicU64,
    earlier: (Sender<()>, Receiver<()>),
}

impl Node {
    /// A VM that has no configuration and no links yet.
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
        Self {
            settings,
            incarnation,
            links,
            holder,
            store,
            membership,
            traffic: Arc::default(),
            metrics: Arc::default(),
            clock,
            core: Mutex::new(core),
            pools: Pools::new(clock),
            draining: AtomicBool::new(false),
            claims: Mutex::default(),
            next_tick: AtomicU64::new(0),
            earlier: channel::bounded(1),
        }
    }

    /// The configuration in force.
    pub fn document(&self) -> Arc<Document> {
        Arc::clone(&self.holder.snapshot().document)
    }

    /// The time since the VM was started.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Whether the VM is being stopped.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Whether the VM takes new jobs.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && !self.document().targets.is_empty()
    }

    /// A prefix for new keys, and how long it may be used for them.
    pub fn prefix(&self) -> (Prefix, Millis) {
        let window = self.lock().table().window();
        let rules = windows_of(&self.document());
        (Prefix { incarnation: self.incarnation, window }, rules.length * rules.kept.div_ceil(2))
    }

    /// Hands a configuration to all that go by it.
    pub fn configure(self: &Arc<Self>, document: &Arc<Document>) {
        self.pools.configure(document, self.sharers());
        self.lock().keep(windows_of(document));
        self.handle(Event::Configure(Arc::clone(document)));
    }

    /// Gives one event to the engine and does what it says.
    pub fn handle(self: &Arc<Self>, event: Event) {
        self.with_core(|core, now, work| core.handle(now, event, work));
    }

    /// Runs or joins a job and waits for its outcome, wherever its coordinator is.
    pub async fn submit(self: &Arc<Self>, key: &Key, spec: Spec) -> Arc<Outcome> {
        if key.prefix.incarnation == self.incarnation {
            return self.coordinate(key, spec).await;
        }
        let patience = self.patience(&spec);
        let call = Call::Submit { key: key.clone(), spec };
        match self.ask(key, call, patience).await {
            Ok(Reply::Outcome(outcome)) => Arc::new(outcome),
            Ok(_) => Arc::new(Outcome::Failed(unreachable_coordinator())),
            Err(failure) => Arc::new(Outcome::Failed(failure)),
        }
    }

    /// What is known of a key, wherever its coordinator is.
    pub async fn look(self: &Arc<Self>, key: &Key) -> Result<KeyStatus, Failure> {
        if key.prefix.incarnation == self.incarnation {
            return Ok(self.lock().look(key));
        }
        self.ask_seen(key, Call::Lookup { key: key.clone() }).await
    }

    /// Cancels the job of a key, wherever its coordinator is.
    pub async fn cancel(self: &Arc<Self>, key: &Key) -> Result<KeyStatus, Failure> {
        if key.prefix.incarnation == self.incarnation {
            return Ok(self.cancel_own(key));
        }
        self.ask_seen(key, Call::Cancel { key: key.clone() }).await
    }

    /// Runs or joins a job of a key that names this VM.
    pub async fn coordinate(self: &Arc<Self>, key: &Key, spec: Spec) -> Arc<Outcome> {
        let spec = Arc::new(spec);
        let fingerprint = spec.fingerprint();
        let ticket =
            self.with_core(|core, now, work| core.submit(now, key, &spec, fingerprint, work));
        match ticket {
            Ticket::Ready(outcome) => outcome,
            Ticket::Wait(outcome) => outcome.recv().await.unwrap_or_else(|_| {
                let detail = "the VM gave the job up; submit again with the same key";
                let failure = Failure::new(Reason::Unavailable, Execution::Unknown, detail);
                Arc::new(Outcome::Failed(failure))
            }),
        }
    }

    /// Cancels the job of a key that names this VM.
    pub fn cancel_own(self: &Arc<Self>, key: &Key) -> KeyStatus {
        self.with_core(|core, now, work| core.cancel(now, key, work))
    }

    /// What this VM knows of a key that names it.
    pub fn look_own(&self, key: &Key) -> KeyStatus {
        self.lock().look(key)
    }

    /// Takes over a task of another domain, or asks for its fate, and waits for its end.
    pub async fn adopt(self: &Arc<Self>, event: Event) -> Report {
        let (Event::Delegate { id, .. } | Event::Fate { id }) = event else {
            return Report::Unsent("not a task of another domain".to_owned());
        };
        let report = self.with_core(|core, now, work| core.adopt(now, id, event, work));
        let gone = |_| Report::Lost("the VM gave the task up".to_owned());
        report.recv().await.unwrap_or_else(gone)
    }

    /// Keeps the engine's time going.
    pub async fn tick(self: Arc<Self>) {
        loop {
            let now = self.clock.now();
            let wake = self.lock().engine().next_wakeup().unwrap_or(now + TICK_MAX);
            let wake = wake.min(now + TICK_MAX);
            self.next_tick.store(wake.0, Ordering::Relaxed);
            let timer = async {
                Timer::after((wake - now).duration()).await;
            };
            let earlier = async {
                let _ = self.earlier.1.recv().await;
            };
            timer.or(earlier).await;
            self.with_core(|core, now, work| {
                core.advance(now);
                core.handle(now, Event::Tick, work);
            });
        }
    }

    /// Stops taking new jobs, for good.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.lock().close();
        self.membership.drain();
    }

    /// Stops for good what a closing record is about to tell.
    pub fn closing(&self) -> Closing {
        self.lock().table().closing()
    }

    /// How much a stop has to wait for: jobs, requests and questions of other VMs without an answer.
    pub fn unfinished(&self) -> usize {
        self.lock().running() + self.traffic.busy() + self.links.unsent_replies()
    }

    /// The state behind the lock.
    pub fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with_core<T>(self: &Arc<Self>, change: impl FnOnce(&mut Core, Millis, &mut Work) -> T) -> T {
        let mut work = Work::default();
        let (result, wake) = {
            let mut core = self.lock();
            let result = change(&mut core, self.clock.now(), &mut work);
            (result, core.engine().next_wakeup())
        };
        if wake.is_some_and(|wake| wake.0 < self.next_tick.load(Ordering::Relaxed)) {
            let _ = self.earlier.0.try_send(());
        }
        self.perform(work);
        result
    }

    fn perform(self: &Arc<Self>, work: Work) {
        for (to, message) in work.tells {
            if let Some(link) = self.links.get(to) {
                link.notify(Notification::Slots(message));
            }
        }
        for start in work.starts {
            let node = Arc::clone(self);
            runtime::spawn(async move {
                let begun = node.clock.now();
                let report = node.attempt(&start).await;
                node.metrics.time(metrics::Timer::TaskTime, node.clock.now() - begun);
                node.handle(Event::Report { attempt: start.id, report });
            })
            .detach();
        }
    }

    async fn attempt(&self, start: &Attempt) -> Report {
        match &start.destination {
            Destination::Target(target) => {
                let Some(pool) = self.pools.get(target) else {
                    return Report::Unsent("the target is no longer configured".to_owned());
                };
                pool.run(start, self.target_rules()).await
            }
            Destination::Peer(peer) => self.relay(*peer, start).await,
        }
    }

    const fn target_rules(&self) -> target::Rules {
        let targets = &self.settings.targets;
        target::Rules { connect_timeout: targets.connect_timeout, prove_after: targets.prove_after }
    }

    /// How long the answer to a submission is waited for.
    fn patience(&self, spec: &Spec) -> Millis {
        let document = self.document();
        let service = document.services.iter().find(|service| service.name == spec.service);
        let most = document.limits.timeout_max;
        let asked = spec.timeout.or_else(|| service.map(|service| service.timeout)).unwrap_or(most);
        asked.min(most) + ANSWER_SLACK
    }

    async fn ask_seen(&self, key: &Key, call: Call) -> Result<KeyStatus, Failure> {
        match self.ask(key, call, LINK_PATIENCE + ANSWER_SLACK).await? {
            Reply::KeyStatus(seen) => Ok(seen),
            _ => Err(unreachable_coordinator()),
        }
    }

    /// Asks the VM that a key names. The calls are idempotent, so a cut link is followed by another try.
    async fn ask(&self, key: &Key, call: Call, patience: Millis) -> Result<Reply, Failure> {
        if self.is_missing(key) {
            let known = self.absent(key).await;
            if known.reason == Reason::Gone && known.execution != Execution::Unknown {
                return Err(known);
            }
        }
        let asking = async {
            loop {
                let link = self.links.wait_for(key.prefix.incarnation, LINK_PATIENCE).await;
                let Some(link) = link else { return Err(self.absent(key).await) };
                if let Ok(reply) = link.call(call.clone()).await {
                    return Ok(reply);
                }
            }
        };
        let late = async {
            Timer::after(patience.duration()).await;
            Err(unreachable_coordinator())
        };
        asking.or(late).await
    }
}

/// How long the answer of the VM that the key names is waited for, and what is said without it.
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

/// What a peer's note or call does here.
impl Handler for Node {
    fn call(
        self: Arc<Self>,
        from: Incarnation,
        call: Call,
    ) -> std::pin::Pin<Box<dyn Future<Output = Reply> + Send>> {
        Box::pin(super::calls::answer(self, from, call))
    }

    fn notify(self: Arc<Self>, from: Incarnation, notification: Notification) {
        super::calls::take(&self, from, notification);
    }

    fn links_changed(self: Arc<Self>) {
        self.refresh_members();
    }

    fn link_up(self: Arc<Self>, link: Arc<Link>) {
        runtime::spawn(self.ask_news(link)).detach();
    }

    fn expects(&self, address: SocketAddr) -> bool {
        let view = self.membership.view();
        let mut members = view.members.value.values();
        self.settings.peers.contains(&address)
            || members.any(|member| member.peer_address == address)
    }
}
