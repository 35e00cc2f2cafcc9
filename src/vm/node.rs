//! A running VM: the state that its background tasks share.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use event_listener::Event as Signal;
use smol::Timer;
use smol::future::FutureExt as _;

use crate::clock::{Clock, Millis};
use crate::event;
use crate::http::Holdings;
use crate::http::server::Traffic;
use crate::job::Incarnation;
use crate::membership::Membership;
use crate::metrics::{Counter, Metrics, Timer as Timing};
use crate::ownership::{self, Ownership, Peer, Presence};
use crate::peer::Links;
use crate::route::{Holder, Table};
use crate::schedule::{BatchId, Engine, Event, Loss};
use crate::store::Store;

use super::adapter::{Adapter, Client, Site};
use super::cancel::Cancellable;
use super::core::{Core, Effects, Origin, Standstill};
use super::settings::Settings;

/// The longest time between two ticks.
const TICK_MAX: Millis = Millis(250);

/// The lag of a tick above which it is logged: half the time after which peers give a silent link up.
const TICK_LAG_MAX: Millis = Millis(300);

/// How long a starting VM waits until the store lists its registration, and until it has read the stored round, before it
/// acquires targets anyway.
const REGISTRATION_WAIT_MAX: Millis = Millis(600);

/// A running VM.
#[derive(Debug)]
pub struct Node {
    /// The VM's settings.
    pub settings: Settings,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The links to the other VMs.
    pub links: Arc<Links>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The registrations of the VMs.
    pub membership: Membership,
    /// The connections and requests of the callers' server.
    pub traffic: Arc<Traffic>,
    /// The VM's metrics.
    pub metrics: Arc<Metrics>,
    pub(super) adapter: Arc<dyn Adapter>,
    pub(super) clock: Clock,
    core: Mutex<Core>,
    pub(super) targets: Mutex<HashMap<Arc<str>, Target>>,
    /// The racks and failure domains of the listed targets.
    pub(super) topology: ArcSwap<Topology>,
    pub(super) routes: Holder,
    /// When the routes came into force, in milliseconds of the clock.
    pub(super) routes_applied_at: AtomicU64,
    /// When the store last answered a read of the routes, in milliseconds of the clock.
    pub(super) routes_read_at: AtomicU64,
    /// When the list of targets was last read, in milliseconds of the clock.
    pub(super) targets_read_at: AtomicU64,
    /// Addresses of VMs that refuse connections.
    pub(super) refused: Mutex<BTreeSet<SocketAddr>>,
    /// Forwarded batches to abandon because their links have ended.
    pub(super) abandoned: Mutex<Vec<BatchId>>,
    /// The batches whose callers wait here.
    pub(super) cancellable: Cancellable,
    draining: AtomicBool,
    /// When the drain began, in milliseconds of the clock.
    drain_began_at: AtomicU64,
    pub(super) next_batch_number: AtomicU64,
    /// Whether the stored round of the fencing tokens has been read.
    pub(super) round_is_known: AtomicBool,
    /// Notified when a waiting batch may find an owner.
    pub(super) owners_changed: Signal,
    /// Notified when another VM may have announced newer routes.
    pub(super) routes_announced: Signal,
    ticker_wakeup: Signal,
    /// The time of the next tick, in milliseconds of the clock.
    next_tick: AtomicU64,
}

/// A target that is or was listed, and the client that calls it.
#[derive(Debug)]
pub(super) struct Target {
    site: Site,
    pub(super) client: Arc<dyn Client>,
}

/// Where the listed targets are.
#[derive(Debug, Default)]
pub(super) struct Topology {
    /// The targets on each rack.
    pub racks: BTreeMap<String, Vec<Arc<str>>>,
    /// The failure domain of each target.
    pub domains: BTreeMap<Arc<str>, Arc<str>>,
}

impl Node {
    /// Creates a VM without routes and links.
    pub fn new(
        settings: Settings,
        incarnation: Incarnation,
        links: Arc<Links>,
        store: Arc<dyn Store>,
        adapter: Arc<dyn Adapter>,
        membership: Membership,
    ) -> Self {
        let engine = Engine::new(incarnation.0, settings.rules);
        let ownership = Ownership::new(&settings.vm, &settings.domain, settings.peers);
        let ownership = ownership.with_cpu(settings.cpu).with_quota(settings.quota);
        let clock = Clock::start();
        Self {
            incarnation,
            links,
            store,
            membership,
            traffic: Arc::new(Traffic::new(Arc::new(Holdings::new(settings.callers_max.bytes)))),
            metrics: Arc::default(),
            adapter,
            clock,
            core: Mutex::new(Core::new(engine, ownership, clock)),
            targets: Mutex::default(),
            topology: ArcSwap::default(),
            routes: Holder::default(),
            routes_applied_at: AtomicU64::new(0),
            routes_read_at: AtomicU64::new(0),
            targets_read_at: AtomicU64::new(0),
            refused: Mutex::default(),
            abandoned: Mutex::default(),
            cancellable: Cancellable::default(),
            draining: AtomicBool::new(false),
            drain_began_at: AtomicU64::new(0),
            next_batch_number: AtomicU64::new(1),
            round_is_known: AtomicBool::new(false),
            owners_changed: Signal::new(),
            routes_announced: Signal::new(),
            ticker_wakeup: Signal::new(),
            next_tick: AtomicU64::new(0),
            settings,
        }
    }

    /// The time since the VM started.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The time since `point`, an instant of this VM's clock; zero if another thread has just set it.
    pub(super) fn age(&self, point: &AtomicU64) -> Millis {
        self.now() - Millis(point.load(Ordering::Relaxed))
    }

    /// The routes in force.
    pub fn routes(&self) -> Arc<Table> {
        self.routes.table()
    }

    /// Whether the VM is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Whether the platform should send callers to this VM.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.routes.version() > 0
    }

    /// The time until the process exits at the latest; `None` unless the VM is draining.
    pub(super) fn time_left(&self) -> Option<Millis> {
        let began_at = self.drain_began_at.load(Ordering::Relaxed);
        let end = Millis(began_at) + self.settings.drain_max;
        self.is_draining().then(|| end - self.now())
    }

    /// The number of batches without an outcome.
    pub fn unfinished(&self) -> usize {
        self.lock().engine.unfinished()
    }

    /// The number of batches of a queue none of whose tasks has started on this VM.
    pub fn pending(&self, queue: &str) -> usize {
        self.lock().engine.pending(queue)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes an event to the scheduler and carries out the effects.
    pub(super) fn handle(self: &Arc<Self>, event: Event) {
        self.with_core(|core, now, effects| core.handle(now, event, effects));
    }

    /// Detects a standstill of this VM before anything that has waited meanwhile is acted on.
    pub(super) fn notice_standstill(self: &Arc<Self>) {
        let timeout = self.settings.heartbeat.timeout;
        let has_stood_still = self.lock().has_stood_still(self.clock.now(), timeout);
        if has_stood_still {
            self.with_core(|_, _, _| ());
        }
    }

    /// Changes the core under its lock, then carries out the effects without it.
    pub(super) fn with_core<T>(
        self: &Arc<Self>,
        change: impl FnOnce(&mut Core, Millis, &mut Effects) -> T,
    ) -> T {
        let mut effects = Effects::default();
        let result = {
            let mut core = self.lock();
            let now = self.clock.now();
            core.record_active(now, self.settings.heartbeat.timeout, &mut effects);
            let result = change(&mut core, now, &mut effects);
            let wakeup = core.engine.next_wakeup(now);
            if wakeup.is_some_and(|wakeup| wakeup.0 < self.next_tick.load(Ordering::Relaxed)) {
                self.wake_ticker();
            }
            result
        };
        self.execute(effects);
        result
    }

    /// Counts and logs changes of ownership, makes the calls to targets, and announces the owned targets.
    fn execute(self: &Arc<Self>, effects: Effects) {
        if let Some(Standstill { duration, abandoned }) = effects.standstill {
            self.metrics.count(Counter::Standstills);
            event!(warn, "stood-still", ms = duration.0, batches = abandoned);
        }
        for batch in &effects.abandoned {
            event!(
                warn,
                "batch-abandoned",
                job = batch.job,
                origin = batch.origin,
                from = batch.from,
                ms = batch.age.0,
                started = batch.started
            );
        }
        for target in &effects.acquired {
            self.metrics.count(Counter::TargetsAcquired);
            event!(info, "target-owned", target = target);
        }
        for taken in &effects.taken {
            let Presence { registered, linked, refused } = taken.presence;
            let may_be_alive = linked || (registered && !refused);
            event!(
                at if may_be_alive { log::Level::Warn } else { log::Level::Info },
                "target-taken",
                target = taken.target,
                vm = taken.vm,
                registered = registered,
                linked = linked,
                refused = refused
            );
        }
        for (target, loss) in &effects.lost {
            let is_fenced = *loss == Loss::Fenced;
            let counter = if is_fenced { Counter::TargetsFenced } else { Counter::TargetsReleased };
            self.metrics.count(counter);
            event!(info, "target-left", target = target, reason = loss);
        }
        for &wait in &effects.waits {
            self.metrics.time(Timing::Wait, wait);
        }
        for call in effects.calls {
            self.call(call);
        }
        if effects.standstill.is_some() {
            self.links.close_accepted();
        }
        if effects.ownership_changed {
            self.owners_changed.notify(usize::MAX);
            self.announce_ownership();
        }
    }

    /// Replaces the targets by those that the store lists.
    pub(super) fn set_targets(self: &Arc<Self>, sites: Vec<Site>) {
        let mut topology = Topology::default();
        let mut candidates = BTreeMap::new();
        {
            let mut targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
            for site in &sites {
                let listing = &site.listing;
                let id = Arc::clone(&listing.id);
                let candidate = ownership::Target {
                    domain: Arc::clone(&listing.domain),
                    acquirable: !listing.draining,
                };
                candidates.insert(Arc::clone(&id), candidate);
                topology.domains.insert(Arc::clone(&id), Arc::clone(&listing.domain));
                if let Some(rack) = &listing.rack {
                    topology.racks.entry(rack.to_string()).or_default().push(Arc::clone(&id));
                }
                let is_new =
                    targets.get(&id).is_none_or(|known| known.site.address != site.address);
                if is_new {
                    let client = self.adapter.client(site);
                    targets.insert(id, Target { site: site.clone(), client });
                }
            }
        }
        self.topology.store(Arc::new(topology));
        let listings = sites.into_iter().map(|site| site.listing).collect();
        self.with_core(|core, now, effects| {
            core.ownership.set_targets(candidates);
            core.handle(now, Event::Targets(listings), effects);
        });
        self.update_ownership();
    }

    /// Updates the view of the other VMs, and acquires the targets that this VM should own.
    pub(super) fn update_ownership(self: &Arc<Self>) {
        let peers = self.known_peers();
        // Of two VMs that start at the same time, at least one sees both registrations.
        let is_prepared =
            self.membership.is_registered() && self.round_is_known.load(Ordering::Relaxed);
        let may_acquire = is_prepared || self.now() > REGISTRATION_WAIT_MAX;
        self.with_core(|core, now, effects| {
            core.ownership.set_peers(now, peers);
            for target in core.engine.acquiring() {
                if core.ownership.belongs_elsewhere(now, &target) {
                    core.handle(now, Event::CancelAcquire { target }, effects);
                }
            }
            if !may_acquire {
                return;
            }
            for target in core.ownership.to_acquire(now) {
                let round = core.round;
                core.handle(now, Event::Acquire { target, round }, effects);
            }
        });
    }

    /// The other VMs that are registered or linked.
    pub(super) fn known_peers(&self) -> BTreeMap<Incarnation, Peer> {
        let (up, view) = (self.links.up(), self.membership.view());
        let refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        let mut peers = BTreeMap::new();
        for (&id, member) in &view.members.value {
            if id == self.incarnation {
                continue;
            }
            let peer = Peer {
                vm: Arc::from(member.vm.as_str()),
                domain: Arc::from(member.domain.as_str()),
                address: member.peer_address,
                presence: Presence {
                    registered: true,
                    linked: up.contains_key(&id),
                    refused: refused.contains(&member.peer_address),
                },
                draining: member.draining,
                cpu: member.cpu,
                quota: member.quota,
                owns: None,
                known_since: Millis::ZERO,
            };
            peers.insert(id, peer);
        }
        for (&id, link) in up.iter() {
            peers.entry(id).or_insert_with(|| Peer {
                vm: Arc::from(link.hello.vm.as_str()),
                domain: Arc::from(link.hello.domain.as_str()),
                address: link.hello.peer_address,
                presence: Presence { registered: false, linked: true, refused: false },
                draining: false,
                cpu: link.hello.cpu,
                quota: link.hello.quota,
                owns: None,
                known_since: Millis::ZERO,
            });
        }
        peers
    }

    /// Sends ticks to the scheduler and regularly updates the ownership of targets, until the process ends.
    pub(super) async fn tick(self: Arc<Self>) {
        let mut ownership_updated_at = Millis::ZERO;
        loop {
            let now = self.clock.now();
            let wakeup = self.lock().engine.next_wakeup(now).unwrap_or(now + TICK_MAX);
            self.next_tick.store(wakeup.0, Ordering::Relaxed);
            let notified = self.ticker_wakeup.listen();
            let timer = async {
                Timer::after((wakeup - now).duration()).await;
            };
            timer.or(notified).await;
            self.record_tick_lag(wakeup);
            if self.clock.now() < wakeup
                && self.lock().engine.next_wakeup(self.clock.now()).is_some()
            {
                // The engine was idle and got effects: its next tick counts from now.
                self.next_tick.store(0, Ordering::Relaxed);
            }
            self.drop_abandoned();
            self.handle(Event::Tick);
            if self.clock.now() - ownership_updated_at >= TICK_MAX {
                ownership_updated_at = self.clock.now();
                self.update_ownership();
            }
        }
    }

    /// Records how much later than due a tick comes. One that was triggered before it was due has no lag.
    fn record_tick_lag(&self, due: Millis) {
        let now = self.clock.now();
        if now < due {
            return;
        }
        let lag = now - due;
        self.metrics.time(Timing::TickLag, lag);
        if lag > TICK_LAG_MAX {
            event!(warn, "tick-late", ms = lag.0);
        }
    }

    /// Triggers the next tick at once.
    pub(super) fn wake_ticker(&self) {
        self.ticker_wakeup.notify(1);
    }

    fn drop_abandoned(self: &Arc<Self>) {
        let mut abandoned = self.abandoned.lock().unwrap_or_else(PoisonError::into_inner);
        let batches = std::mem::take(&mut *abandoned);
        drop(abandoned);
        self.with_core(|core, now, effects| {
            for batch in batches {
                core.abandon(now, batch, Origin::Link, effects);
            }
        });
    }

    /// Starts to drain: no more targets are acquired, and idle ones are released.
    pub(super) fn drain(self: &Arc<Self>) {
        self.drain_began_at.store(self.now().0, Ordering::Relaxed);
        self.draining.store(true, Ordering::Relaxed);
        self.membership.drain();
        self.with_core(|core, now, effects| {
            core.ownership.drain();
            core.handle(now, Event::Drain, effects);
            effects.ownership_changed = true;
        });
    }
}
