//! One VM: what its tasks share.

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
use crate::http::server::Traffic;
use crate::job::Incarnation;
use crate::membership::Membership;
use crate::metrics::{Counter, Metrics, Timer as Timing};
use crate::ownership::{self, Ownership, Peer, Presence};
use crate::peer::Links;
use crate::route::Table;
use crate::schedule::{BatchId, Engine, Event, Loss, Rules};
use crate::settings::Lease;
use crate::store::Store;

use super::adapter::{Adapter, Runner, Site};
use super::core::{Core, Work};

/// The longest time between two ticks.
const TICK_MAX: Millis = Millis(250);

/// How long a VM that starts waits for its registration to show in the store before it takes targets.
const REGISTER_MAX: Millis = Millis(600);

/// What a VM is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub vm: String,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// Where other VMs reach it.
    pub peers: SocketAddr,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Thousandths of a core that it may use; 0 if the platform does not say.
    pub cpu: u32,
    /// VMs to ask first, for a start while the store is out.
    pub seeds: Vec<SocketAddr>,
    /// What all its own keys in the store start with.
    pub prefix: String,
    /// Its registration in the store.
    pub lease: Lease,
    /// How links prove that they live.
    pub heartbeat: crate::peer::Rules,
    /// How the platform's targets behave.
    pub rules: Rules,
    /// How long a planned stop takes at least, so that nobody still sends callers.
    pub stop_min: Millis,
    /// How long it takes at most.
    pub stop_max: Millis,
    /// Where metrics are served.
    pub metrics: SocketAddr,
}

/// A running VM.
#[derive(Debug)]
pub struct Node {
    /// What it was told.
    pub settings: Settings,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its links to the other VMs.
    pub links: Arc<Links>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The other VMs.
    pub membership: Membership,
    /// What the callers' server is doing.
    pub traffic: Arc<Traffic>,
    /// What is counted.
    pub metrics: Arc<Metrics>,
    pub(super) adapter: Arc<dyn Adapter>,
    pub(super) clock: Clock,
    core: Mutex<Core>,
    pub(super) runners: Mutex<HashMap<Arc<str>, Reached>>,
    /// The racks' failure domains, the targets' too.
    pub(super) places: ArcSwap<Places>,
    pub(super) routes: ArcSwap<Table>,
    /// When the routes came into force, in milliseconds of the clock.
    pub(super) routes_since: AtomicU64,
    /// When the list of targets was read last, in milliseconds of the clock.
    pub(super) targets_since: AtomicU64,
    /// The text that the routes were read from.
    pub(super) routes_text: ArcSwap<Vec<u8>>,
    /// Addresses of VMs at which nothing listens.
    pub(super) refused: Mutex<BTreeSet<SocketAddr>>,
    /// Batches to give up: their links have ended.
    pub(super) abandoned: Mutex<Vec<BatchId>>,
    draining: AtomicBool,
    /// When the stop began, in milliseconds of the clock.
    draining_since: AtomicU64,
    pub(super) next_number: AtomicU64,
    /// Something changed by which a batch may find an owner.
    pub(super) owners_changed: Signal,
    earlier: Signal,
    /// When the ticker ticks next, in milliseconds of the clock.
    next_tick: AtomicU64,
}

/// A target that can be called.
#[derive(Debug)]
pub(super) struct Reached {
    site: Site,
    pub(super) runner: Arc<dyn Runner>,
}

/// Which targets stand on which rack.
#[derive(Debug, Default)]
pub(super) struct Places {
    pub racks: BTreeMap<String, Vec<Arc<str>>>,
    pub domains: BTreeMap<Arc<str>, Arc<str>>,
}

impl Node {
    /// A VM that has no routes and no links yet.
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
        let ownership = ownership.with_cpu(settings.cpu);
        let clock = Clock::start();
        Self {
            incarnation,
            links,
            store,
            membership,
            traffic: Arc::default(),
            metrics: Arc::default(),
            adapter,
            clock,
            core: Mutex::new(Core::new(engine, ownership, clock)),
            runners: Mutex::default(),
            places: ArcSwap::default(),
            routes: ArcSwap::default(),
            routes_since: AtomicU64::new(0),
            targets_since: AtomicU64::new(0),
            routes_text: ArcSwap::default(),
            refused: Mutex::default(),
            abandoned: Mutex::default(),
            draining: AtomicBool::new(false),
            draining_since: AtomicU64::new(0),
            next_number: AtomicU64::new(1),
            owners_changed: Signal::new(),
            earlier: Signal::new(),
            next_tick: AtomicU64::new(0),
            settings,
        }
    }

    /// The time since the VM was started.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// How long ago `point` of this VM's clock was; zero if another thread has just set it.
    pub(super) fn age(&self, point: &AtomicU64) -> Millis {
        self.now() - Millis(point.load(Ordering::Relaxed))
    }

    /// The routes in force.
    pub fn routes(&self) -> Arc<Table> {
        self.routes.load_full()
    }

    /// Whether the VM is being stopped.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Whether callers are to be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.routes.load().version > 0
    }

    /// How long a VM that is being stopped still runs.
    pub(super) fn time_left(&self) -> Option<Millis> {
        let since = self.draining_since.load(Ordering::Relaxed);
        let end = Millis(since) + self.settings.stop_max;
        self.is_draining().then(|| end - self.now())
    }

    /// How many batches have no end yet.
    pub fn unfinished(&self) -> usize {
        self.lock().engine.unfinished()
    }

    /// How many batches of a queue have not started here.
    pub fn pending(&self, queue: &str) -> usize {
        self.lock().engine.pending(queue)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives one event to the scheduler and does what it says.
    pub(super) fn handle(self: &Arc<Self>, event: Event) {
        self.with_core(|core, now, work| core.handle(now, event, work));
    }

    /// Changes the core and does what follows outside the lock.
    pub(super) fn with_core<T>(
        self: &Arc<Self>,
        change: impl FnOnce(&mut Core, Millis, &mut Work) -> T,
    ) -> T {
        let mut work = Work::default();
        let result = {
            let mut core = self.lock();
            let now = self.clock.now();
            let result = change(&mut core, now, &mut work);
            let wake = core.engine.next_wakeup(now);
            if wake.is_some_and(|wake| wake.0 < self.next_tick.load(Ordering::Relaxed)) {
                self.wake_early();
            }
            result
        };
        self.execute(work);
        result
    }

    fn execute(self: &Arc<Self>, work: Work) {
        for target in &work.gained {
            self.metrics.count(Counter::TargetsTaken);
            event!(info, "target-owned", target = target);
        }
        for (target, loss) in &work.left {
            let is_fenced = *loss == Loss::Fenced;
            let counter = if is_fenced { Counter::TargetsFenced } else { Counter::TargetsLeft };
            self.metrics.count(counter);
            event!(info, "target-left", target = target, reason = loss);
        }
        for &wait in &work.waits {
            self.metrics.time(Timing::Wait, wait);
        }
        for call in work.calls {
            self.call(call);
        }
        if work.owns_changed {
            self.owners_changed.notify(usize::MAX);
            self.tell_owns();
        }
    }

    /// Takes the targets that the store lists.
    pub(super) fn set_targets(self: &Arc<Self>, sites: Vec<Site>) {
        let mut places = Places::default();
        let mut owned_places = BTreeMap::new();
        {
            let mut runners = self.runners.lock().unwrap_or_else(PoisonError::into_inner);
            for site in &sites {
                let listing = &site.listing;
                let id = Arc::clone(&listing.id);
                let place = ownership::Target {
                    domain: Arc::clone(&listing.domain),
                    acquirable: !listing.draining,
                };
                owned_places.insert(Arc::clone(&id), place);
                places.domains.insert(Arc::clone(&id), Arc::clone(&listing.domain));
                if let Some(rack) = &listing.rack {
                    places.racks.entry(rack.to_string()).or_default().push(Arc::clone(&id));
                }
                let is_new =
                    runners.get(&id).is_none_or(|known| known.site.address != site.address);
                if is_new {
                    let runner = self.adapter.runner(site);
                    runners.insert(id, Reached { site: site.clone(), runner });
                }
            }
        }
        self.places.store(Arc::new(places));
        let listings = sites.into_iter().map(|site| site.listing).collect();
        self.with_core(|core, now, work| {
            core.ownership.set_targets(owned_places);
            core.handle(now, Event::Targets(listings), work);
        });
        self.review();
    }

    /// Brings the view of the other VMs up to date, and takes the targets that this VM should own.
    pub(super) fn review(self: &Arc<Self>) {
        let peers = self.known_peers();
        // Of two VMs that start at once at least one sees the other's registration beside its own.
        let may_take = self.membership.is_registered() || self.now() > REGISTER_MAX;
        self.with_core(|core, now, work| {
            core.ownership.set_peers(now, peers);
            for target in core.engine.acquiring() {
                if core.ownership.belongs_elsewhere(now, &target) {
                    core.handle(now, Event::CancelAcquire { target }, work);
                }
            }
            if !may_take {
                return;
            }
            for target in core.ownership.to_acquire(now) {
                let round = core.round;
                core.handle(now, Event::Acquire { target, round }, work);
            }
        });
    }

    fn known_peers(&self) -> BTreeMap<Incarnation, Peer> {
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
                owns: None,
                known_since: Millis::ZERO,
            };
            peers.insert(id, peer);
        }
        for (&id, link) in up.iter() {
            peers.entry(id).or_insert_with(|| Peer {
                vm: Arc::from(link.hello.vm.as_str()),
                domain: Arc::from(link.hello.domain.as_str()),
                address: link.hello.peers,
                presence: Presence { registered: false, linked: true, refused: false },
                draining: false,
                cpu: link.hello.cpu,
                owns: None,
                known_since: Millis::ZERO,
            });
        }
        peers
    }

    /// Keeps the scheduler's time going, and looks at who owns what.
    pub(super) async fn tick(self: Arc<Self>) {
        let mut reviewed = Millis::ZERO;
        loop {
            let now = self.clock.now();
            let wake = self.lock().engine.next_wakeup(now).unwrap_or(now + TICK_MAX);
            self.next_tick.store(wake.0, Ordering::Relaxed);
            let earlier = self.earlier.listen();
            let timer = async {
                Timer::after((wake - now).duration()).await;
            };
            timer.or(earlier).await;
            if self.clock.now() < wake && self.lock().engine.next_wakeup(self.clock.now()).is_some()
            {
                // An idle engine got work: its ticks begin now.
                self.next_tick.store(0, Ordering::Relaxed);
            }
            self.give_up_abandoned();
            self.handle(Event::Tick);
            if self.clock.now() - reviewed >= TICK_MAX {
                reviewed = self.clock.now();
                self.review();
            }
        }
    }

    /// Makes the next tick come at once.
    pub(super) fn wake_early(&self) {
        self.earlier.notify(1);
    }

    fn give_up_abandoned(self: &Arc<Self>) {
        let mut abandoned = self.abandoned.lock().unwrap_or_else(PoisonError::into_inner);
        let jobs = std::mem::take(&mut *abandoned);
        drop(abandoned);
        self.with_core(|core, now, work| {
            for job in jobs {
                core.abandon(now, job, work);
            }
        });
    }

    /// Stops taking targets, and lets go of those that are idle.
    pub(super) fn drain(self: &Arc<Self>) {
        self.draining_since.store(self.now().0, Ordering::Relaxed);
        self.draining.store(true, Ordering::Relaxed);
        self.membership.drain();
        self.with_core(|core, now, work| {
            core.ownership.drain();
            core.handle(now, Event::Drain, work);
            work.owns_changed = true;
        });
    }
}
