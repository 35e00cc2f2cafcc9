//! Decides which VM owns which target, and when a VM may acquire a target that has no owner.
//!
//! VMs with differing views may compete for a target, but its fencing token never admits two owners. The rules
//! here therefore serve availability alone: an owner that is alive keeps its targets, and a target without an
//! owner is acquired by the VM that every VM with the same view would choose.

mod quota;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Millis;
use crate::job::Incarnation;

pub use quota::Quota;

/// How long a VM waits for the first announcement of a newly known VM of its domain before it acquires targets.
/// Bounds the wait for a VM that is registered but has no link, as happens just after a start.
const ANNOUNCEMENT_WAIT_MAX: Millis = Millis(300);

/// How long a failure domain must have no VM that is alive before VMs of other domains acquire its targets.
const DOMAIN_EMPTY_MIN: Millis = Millis(1500);

/// How long the store must have been up before a missing registration counts as a sign that another domain has
/// no VM: registrations that lapsed during an outage or a partition are back within two seconds.
const STORE_STEADY_MIN: Millis = Millis(2500);

/// How long an outage of the store may last before the registrations that it last listed are ignored.
const STORE_OUTAGE_MAX: Millis = Millis(1500);

/// How long a VM waits before it acquires a lost target again: another VM has acquired it, or another worker
/// responds at its address.
const REACQUIRE_DELAY: Millis = Millis(1500);

/// The evidence on whether a VM is alive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Presence {
    /// Whether the store lists the VM's registration.
    pub registered: bool,
    /// Whether the link to the VM is up.
    pub linked: bool,
    /// Whether the VM's address refuses connections, because nothing listens there any more.
    pub refused: bool,
}

/// One incarnation of another VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name of the VM, which the choice of a target's owner is based on.
    pub vm: Arc<str>,
    /// Failure domain of the VM.
    pub domain: Arc<str>,
    /// Address at which other VMs reach the VM.
    pub address: SocketAddr,
    /// The evidence on whether the VM is alive.
    pub presence: Presence,
    /// Whether the VM is being stopped.
    pub draining: bool,
    /// Thousandths of a core that the VM may use; 0 if unknown.
    pub cpu: u32,
    /// How many targets the VM may own.
    pub quota: Quota,
    /// Targets that the VM last announced as its own; `None` before its first announcement.
    pub owns: Option<BTreeSet<Arc<str>>>,
    /// When this incarnation first became known; set by [`Ownership::set_peers`].
    pub known_since: Millis,
}

impl Peer {
    /// Whether the VM may still act as an owner: its link is up, or it is registered and `trust_registrations`
    /// is set.
    const fn is_alive(&self, trust_registrations: bool) -> bool {
        let Presence { registered, linked, refused } = self.presence;
        linked || (registered && trust_registrations && !refused)
    }
}

/// The last ownership announcement of another VM.
#[derive(Clone, Debug, Default)]
struct Announcement {
    owns: BTreeSet<Arc<str>>,
    draining: bool,
}

/// Whether the store is up, and when that last changed.
#[derive(Clone, Copy, Debug)]
struct StoreStatus {
    is_up: bool,
    changed_at: Millis,
}

/// The properties of a target that decide who may own it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Failure domain of the target.
    pub domain: Arc<str>,
    /// Whether the target may be acquired: it is listed and not draining.
    pub acquirable: bool,
}

/// The local VM's view of which VM owns which target.
#[derive(Debug)]
pub struct Ownership {
    vm: Arc<str>,
    address: SocketAddr,
    domain: Arc<str>,
    cpu: u32,
    quota: Quota,
    peers: BTreeMap<Incarnation, Peer>,
    /// The last announcement of each VM; it may arrive before the VM is among the peers.
    announcements: BTreeMap<Incarnation, Announcement>,
    targets: BTreeMap<Arc<str>, Target>,
    /// Targets that the local VM owns.
    owned: BTreeSet<Arc<str>>,
    /// When the local VM last lost a target whose reacquisition is delayed.
    lost_at: BTreeMap<Arc<str>, Millis>,
    /// Since when a domain has had no VM that is alive.
    empty_since: BTreeMap<Arc<str>, Millis>,
    store: StoreStatus,
    /// Whether a link to any peer has ever been up.
    ever_linked: bool,
    draining: bool,
}

impl Ownership {
    /// The view of the VM `vm` in `domain` at `address`, without peers and targets.
    pub fn new(vm: &str, domain: &str, address: SocketAddr) -> Self {
        Self {
            vm: Arc::from(vm),
            address,
            domain: Arc::from(domain),
            cpu: 0,
            quota: Quota::default(),
            peers: BTreeMap::new(),
            announcements: BTreeMap::new(),
            targets: BTreeMap::new(),
            owned: BTreeSet::new(),
            lost_at: BTreeMap::new(),
            empty_since: BTreeMap::new(),
            store: StoreStatus { is_up: true, changed_at: Millis::ZERO },
            ever_linked: false,
            draining: false,
        }
    }

    /// Sets how many thousandths of a core the local VM may use.
    #[must_use]
    pub fn with_cpu(self, cpu: u32) -> Self {
        Self { cpu, ..self }
    }

    /// Sets how many targets the local VM may own.
    #[must_use]
    pub fn with_quota(self, quota: Quota) -> Self {
        Self { quota, ..self }
    }

    /// Replaces the peers. The announcements of a VM are kept until it is no longer among the peers.
    pub fn set_peers(&mut self, now: Millis, peers: impl IntoIterator<Item = (Incarnation, Peer)>) {
        let old = std::mem::take(&mut self.peers);
        self.peers = peers.into_iter().collect();
        self.drop_former_incarnations();
        for (id, peer) in &mut self.peers {
            peer.known_since = old.get(id).map_or(now, |known| known.known_since);
        }
        for id in old.keys().filter(|id| !self.peers.contains_key(id)) {
            self.announcements.remove(id);
        }
        self.ever_linked |= self.peers.values().any(|peer| peer.presence.linked);
        self.apply_announcements();
    }

    /// Drops the registrations of incarnations whose address another incarnation, or the local VM, now uses. They
    /// stay in the store until their leases lapse and would delay the first acquisitions after a restart of all
    /// VMs.
    fn drop_former_incarnations(&mut self) {
        let linked = self.peers.values().filter(|peer| peer.presence.linked);
        let mut in_use = linked.map(|peer| peer.address).collect::<BTreeSet<_>>();
        in_use.insert(self.address);
        self.peers.retain(|_, peer| peer.presence.linked || !in_use.contains(&peer.address));
    }

    fn apply_announcements(&mut self) {
        for (id, announcement) in &self.announcements {
            if let Some(peer) = self.peers.get_mut(id) {
                peer.draining |= announcement.draining;
                peer.owns = Some(announcement.owns.clone());
            }
        }
    }

    /// Records whether the last request to the store succeeded.
    pub fn record_store_status(&mut self, now: Millis, is_up: bool) {
        if self.store.is_up != is_up {
            self.store = StoreStatus { is_up, changed_at: now };
        }
    }

    /// Whether a registration that the store lists, or last listed before an outage, shows that a VM is alive.
    fn trusts_registrations(&self, now: Millis) -> bool {
        self.store.is_up || now - self.store.changed_at < STORE_OUTAGE_MAX
    }

    /// Whether the local VM has lost all its links although other VMs may be up: it may be partitioned from them.
    fn is_partitioned(&self) -> bool {
        let mut presences = self.peers.values().map(|peer| peer.presence);
        let any_registered = presences.clone().any(|presence| presence.registered);
        let any_linked = presences.any(|presence| presence.linked);
        self.ever_linked && !any_linked && (any_registered || !self.store.is_up)
    }

    /// Replaces the targets.
    pub fn set_targets(&mut self, targets: BTreeMap<Arc<str>, Target>) {
        self.targets = targets;
    }

    /// Records which targets another VM announces as its own, and whether it is being stopped.
    pub fn record_announcement(
        &mut self,
        from: Incarnation,
        owns: BTreeSet<Arc<str>>,
        draining: bool,
    ) {
        self.announcements.insert(from, Announcement { owns, draining });
        self.apply_announcements();
    }

    /// Records that the local VM has acquired a target.
    pub fn record_acquired(&mut self, target: &Arc<str>) {
        self.owned.insert(Arc::clone(target));
    }

    /// Records that the local VM no longer owns a target. With `delay_reacquisition` it is not acquired again at
    /// once.
    pub fn record_lost(&mut self, now: Millis, target: &Arc<str>, delay_reacquisition: bool) {
        self.owned.remove(target);
        if delay_reacquisition {
            self.lost_at.insert(Arc::clone(target), now);
        }
    }

    /// Stops the acquisition of targets.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// The targets that the local VM owns.
    pub const fn owned(&self) -> &BTreeSet<Arc<str>> {
        &self.owned
    }

    /// The other VM that is alive and has announced the target as its own.
    pub fn owner(&self, now: Millis, target: &str) -> Option<Incarnation> {
        let owns = |peer: &Peer| peer.owns.as_ref().is_some_and(|owns| owns.contains(target));
        self.alive(now).find(|(_, peer)| owns(peer)).map(|(id, _)| id)
    }

    /// The VM that last announced the target as its own, alive or not.
    pub fn claimant(&self, target: &str) -> Option<&Peer> {
        self.peers
            .values()
            .find(|peer| peer.owns.as_ref().is_some_and(|owns| owns.contains(target)))
    }

    /// The targets of the local VM that another VM announces as its own for the first time.
    pub fn contested(&self, from: Incarnation, owns: &BTreeSet<Arc<str>>) -> Vec<Arc<str>> {
        let known = self.announcements.get(&from);
        let is_new = |target: &&Arc<str>| known.is_none_or(|known| !known.owns.contains(*target));
        owns.intersection(&self.owned).filter(is_new).cloned().collect()
    }

    /// The other VMs that are alive.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = (Incarnation, &Peer)> {
        let trusted = self.trusts_registrations(now);
        let alive = self.peers.iter().filter(move |(_, peer)| peer.is_alive(trusted));
        alive.map(|(&id, peer)| (id, peer))
    }

    /// Whether the acquisition of a target should be given up: another VM that is alive owns the target, or it is
    /// in another domain from which this VM may not acquire targets now.
    pub fn belongs_elsewhere(&mut self, now: Millis, target: &str) -> bool {
        self.update_empty_domains(now);
        let Some(listed) = self.targets.get(target) else { return false };
        let is_foreign = listed.domain != self.domain;
        (is_foreign && !self.may_acquire_from(now, &listed.domain))
            || self.owner(now, target).is_some()
    }

    /// The targets that the local VM should acquire now.
    pub fn to_acquire(&mut self, now: Millis) -> Vec<Arc<str>> {
        if self.draining || self.is_partitioned() {
            return Vec::new();
        }
        self.update_empty_domains(now);
        let domains = self.targets.values().map(|target| Arc::clone(&target.domain));
        let domains = domains.collect::<BTreeSet<_>>();
        domains.iter().flat_map(|domain| self.to_acquire_in(now, domain)).collect()
    }

    /// Updates which domains of targets have no VM that is alive, and since when.
    fn update_empty_domains(&mut self, now: Millis) {
        let alive = self.alive(now).map(|(_, peer)| Arc::clone(&peer.domain));
        let mut alive = alive.collect::<BTreeSet<_>>();
        alive.insert(Arc::clone(&self.domain));
        self.empty_since.retain(|domain, _| !alive.contains(domain));
        for target in self.targets.values() {
            if !alive.contains(&target.domain) && !self.empty_since.contains_key(&target.domain) {
                self.empty_since.insert(Arc::clone(&target.domain), now);
            }
        }
    }

    fn to_acquire_in(&self, now: Millis, domain: &Arc<str>) -> Vec<Arc<str>> {
        let is_foreign = *domain != self.domain;
        if is_foreign && !self.may_acquire_from(now, domain) {
            return Vec::new();
        }
        if !is_foreign && self.awaits_announcement(now) {
            return Vec::new();
        }
        let in_domain = |target: &Target| target.domain == *domain;
        let target_count = self.targets.values().filter(|target| in_domain(target)).count();
        let candidates = self.candidates(now, domain, is_foreign, target_count);
        let mut acquired = Vec::new();
        for (id, target) in &self.targets {
            let may_acquire = target.acquirable && in_domain(target) && !self.owned.contains(id);
            let delayed = self.lost_at.get(id).is_some_and(|&at| now - at < REACQUIRE_DELAY);
            if may_acquire
                && !delayed
                && self.owner(now, id).is_none()
                && self.is_chosen(id, &candidates)
            {
                acquired.push(Arc::clone(id));
            }
        }
        acquired
    }

    /// Whether the targets of another domain may be acquired: the domain has had no VM that is alive for
    /// [`DOMAIN_EMPTY_MIN`], and the store has been up for [`STORE_STEADY_MIN`].
    fn may_acquire_from(&self, now: Millis, domain: &str) -> bool {
        let is_empty = self.empty_since.get(domain).is_some_and(|&at| now - at >= DOMAIN_EMPTY_MIN);
        is_empty && self.store.is_up && now - self.store.changed_at >= STORE_STEADY_MIN
    }

    /// Whether a newly known VM of the local domain has not yet announced which targets it owns.
    fn awaits_announcement(&self, now: Millis) -> bool {
        self.alive(now).any(|(_, peer)| {
            let is_awaited = peer.owns.is_none() && now - peer.known_since < ANNOUNCEMENT_WAIT_MAX;
            peer.domain == self.domain && !peer.draining && is_awaited
        })
    }

    /// The VMs among which the `target_count` targets of a domain are divided: as many VMs of that domain, or of any
    /// domain if `is_foreign`, as their quotas require. Those with the most CPU come first, since an owner's scheduling
    /// takes CPU time.
    fn candidates(
        &self,
        now: Millis,
        domain: &str,
        is_foreign: bool,
        target_count: usize,
    ) -> Vec<Candidate> {
        let usable = self.alive(now).filter(|(_, peer)| !peer.draining);
        let usable = usable.filter(|(_, peer)| is_foreign || *peer.domain == *domain);
        let mut candidates = usable
            .map(|(_, peer)| Candidate {
                vm: Arc::clone(&peer.vm),
                cpu: peer.cpu,
                quota: peer.quota,
            })
            .collect::<Vec<_>>();
        candidates.push(Candidate { vm: Arc::clone(&self.vm), cpu: self.cpu, quota: self.quota });
        candidates.sort_by_key(|candidate| {
            let weight = weight(domain, &candidate.vm);
            (Reverse(candidate.cpu), Reverse(weight), Arc::clone(&candidate.vm))
        });
        candidates.dedup_by(|one, other| one.vm == other.vm);
        candidates.truncate(needed(&candidates, target_count));
        candidates
    }

    /// Whether the local VM has the highest score for the target.
    fn is_chosen(&self, target: &str, candidates: &[Candidate]) -> bool {
        let chosen = candidates
            .iter()
            .max_by(|one, other| one.score(target).total_cmp(&other.score(target)));
        chosen.is_some_and(|candidate| candidate.vm == self.vm)
    }
}

/// How many of the first candidates have quotas for `target_count` targets together; at least 1.
fn needed(candidates: &[Candidate], target_count: usize) -> usize {
    let mut targets = 0;
    for (index, candidate) in candidates.iter().enumerate() {
        targets += candidate.quota.targets();
        if targets >= target_count {
            return index + 1;
        }
    }
    candidates.len()
}

/// A VM that may own targets of a domain.
#[derive(Clone, Debug)]
struct Candidate {
    vm: Arc<str>,
    cpu: u32,
    quota: Quota,
}

impl Candidate {
    /// The score of the VM for a target in weighted rendezvous hashing. The VM with the highest score owns the
    /// target, so that each VM gets a share of many targets in proportion to its CPU and its quota.
    fn score(&self, target: &str) -> f64 {
        // Strictly between 0 and 1.
        let uniform = ((weight(target, &self.vm) >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
        -f64::from(self.cpu.max(1)) * self.quota.share() / uniform.ln()
    }
}

/// The rendezvous hash of a key and a VM: FNV-1a, then a multiplication that mixes the high bits. All VMs must
/// compute the same value.
fn weight(key: &str, vm: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in key.bytes().chain([0]).chain(vm.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^ (hash >> 29)
}
