//! Which VM owns which targets: who takes one that has no owner, and when.
//!
//! A wrong view costs a duel, which the target's fencing token settles, and never a second owner. So the rules
//! here are about availability alone: an owner that is alive keeps what it has, and what has no owner is taken
//! by the VM that all would choose.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Millis;
use crate::job::Incarnation;

/// The most targets of a failure domain for one owner, where the domain has VMs enough. One scheduler that
/// sees many targets packs better than many that see few; a quarter of a core carries this many.
const TARGETS_PER_OWNER: usize = 24;

/// How long a registered VM without a link may keep others from taking targets, just after a start.
const HELLO_MAX: Millis = Millis(300);

/// How long a failure domain must have no VM until those of others take its targets.
const DOMAIN_EMPTY_MIN: Millis = Millis(1500);

/// How long the store must have answered until what it says of other domains counts: registrations that lapsed
/// while it was away, or while this VM was cut off from it, are back within two seconds.
const STORE_STEADY_MIN: Millis = Millis(2500);

/// How long the store must have been away until registrations that it showed no longer count.
const STORE_OUT_MAX: Millis = Millis(1500);

/// The pause before a target that was lost is tried again: another VM took it, or another worker answers at its
/// address.
const RETAKE_AFTER: Millis = Millis(1500);

/// What tells whether a VM lives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Presence {
    /// Whether the store lists it.
    pub registered: bool,
    /// Whether its link is up.
    pub linked: bool,
    /// Whether nothing listens at its address any longer.
    pub refused: bool,
}

/// Another VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Its name, which decides with others' what it should own.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Where other VMs reach it.
    pub address: SocketAddr,
    /// What tells whether it lives.
    pub presence: Presence,
    /// Whether it is being stopped.
    pub draining: bool,
    /// Thousandths of a core that it may use; 0 if it does not say.
    pub cpu: u32,
    /// What it says that it owns; `None` until it has said anything.
    pub owns: Option<BTreeSet<Arc<str>>>,
    /// When it was heard of first.
    pub known_since: Millis,
}

impl Peer {
    /// Whether it may still act as an owner: its link is up, or the store lists it.
    const fn is_alive(&self, store_counts: bool) -> bool {
        let Presence { registered, linked, refused } = self.presence;
        linked || (registered && store_counts && !refused)
    }
}

/// What a VM said of itself.
#[derive(Clone, Debug, Default)]
struct Said {
    owns: BTreeSet<Arc<str>>,
    draining: bool,
}

/// Whether the store answers, and since when that is so.
#[derive(Clone, Copy, Debug)]
struct Contact {
    is_up: bool,
    since: Millis,
}

/// A target, as far as its owner matters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it may be taken: it is listed and does not leave.
    pub acquirable: bool,
}

/// This VM's view of who owns what.
#[derive(Debug)]
pub struct Ownership {
    vm: Arc<str>,
    address: SocketAddr,
    domain: Arc<str>,
    cpu: u32,
    peers: BTreeMap<Incarnation, Peer>,
    /// What VMs said, which may come before anything else is known of them.
    said: BTreeMap<Incarnation, Said>,
    targets: BTreeMap<Arc<str>, Target>,
    own: BTreeSet<Arc<str>>,
    lost_at: BTreeMap<Arc<str>, Millis>,
    /// Since when a domain has had no VM that is alive.
    empty_since: BTreeMap<Arc<str>, Millis>,
    store: Contact,
    /// Whether any link was ever up.
    was_linked: bool,
    draining: bool,
}

impl Ownership {
    /// The view of the VM `vm` in `domain` at `address`, which knows of nothing yet.
    pub fn new(vm: &str, domain: &str, address: SocketAddr) -> Self {
        Self {
            vm: Arc::from(vm),
            address,
            domain: Arc::from(domain),
            cpu: 0,
            peers: BTreeMap::new(),
            said: BTreeMap::new(),
            targets: BTreeMap::new(),
            own: BTreeSet::new(),
            lost_at: BTreeMap::new(),
            empty_since: BTreeMap::new(),
            store: Contact { is_up: true, since: Millis::ZERO },
            was_linked: false,
            draining: false,
        }
    }

    /// The same where this VM may use `cpu` thousandths of a core.
    #[must_use]
    pub fn with_cpu(self, cpu: u32) -> Self {
        Self { cpu, ..self }
    }

    /// Replaces what is known of the other VMs. What they said stays known as long as they are.
    pub fn set_peers(&mut self, now: Millis, peers: impl IntoIterator<Item = (Incarnation, Peer)>) {
        let old = std::mem::take(&mut self.peers);
        self.peers = peers.into_iter().collect();
        self.drop_former_runs();
        for (id, peer) in &mut self.peers {
            peer.known_since = old.get(id).map_or(now, |known| known.known_since);
        }
        for id in old.keys().filter(|id| !self.peers.contains_key(id)) {
            self.said.remove(id);
        }
        self.was_linked |= self.peers.values().any(|peer| peer.presence.linked);
        self.apply_said();
    }

    /// Drops the registrations of runs that are over: another run of the same VM answers at their address. They
    /// stay in the store until their leases lapse, and nobody is to wait for them after a restart of all.
    fn drop_former_runs(&mut self) {
        let linked = self.peers.values().filter(|peer| peer.presence.linked);
        let mut answering = linked.map(|peer| peer.address).collect::<BTreeSet<_>>();
        answering.insert(self.address);
        self.peers.retain(|_, peer| peer.presence.linked || !answering.contains(&peer.address));
    }

    fn apply_said(&mut self) {
        for (id, said) in &self.said {
            if let Some(peer) = self.peers.get_mut(id) {
                peer.draining |= said.draining;
                peer.owns = Some(said.owns.clone());
            }
        }
    }

    /// Notes whether the store has answered.
    pub fn record_store_status(&mut self, now: Millis, is_up: bool) {
        if self.store.is_up != is_up {
            self.store = Contact { is_up, since: now };
        }
    }

    /// Whether registrations count that the store shows, or has shown before it went away.
    fn store_counts(&self, now: Millis) -> bool {
        self.store.is_up || now - self.store.since < STORE_OUT_MAX
    }

    /// Whether this VM has lost all its links while there should be others: it is cut off rather than alone.
    fn is_cut_off(&self) -> bool {
        let mut presences = self.peers.values().map(|peer| peer.presence);
        let has_others = presences.clone().any(|presence| presence.registered);
        let is_linked = presences.any(|presence| presence.linked);
        self.was_linked && !is_linked && (has_others || !self.store.is_up)
    }

    /// Replaces the targets.
    pub fn set_targets(&mut self, targets: BTreeMap<Arc<str>, Target>) {
        self.targets = targets;
    }

    /// Notes what another VM says that it owns, and whether it is being stopped.
    pub fn record_announcement(
        &mut self,
        from: Incarnation,
        owns: BTreeSet<Arc<str>>,
        draining: bool,
    ) {
        self.said.insert(from, Said { owns, draining });
        self.apply_said();
    }

    /// Notes that this VM owns a target.
    pub fn record_acquired(&mut self, target: &Arc<str>) {
        self.own.insert(Arc::clone(target));
    }

    /// Notes that this VM owns a target no longer. One that rests is not taken again at once.
    pub fn record_lost(&mut self, now: Millis, target: &Arc<str>, rests: bool) {
        self.own.remove(target);
        if rests {
            self.lost_at.insert(Arc::clone(target), now);
        }
    }

    /// Takes nothing any more.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// What this VM owns.
    pub const fn owned(&self) -> &BTreeSet<Arc<str>> {
        &self.own
    }

    /// The VM that owns a target, if it is another and alive.
    pub fn owner(&self, now: Millis, target: &str) -> Option<Incarnation> {
        let owns = |peer: &Peer| peer.owns.as_ref().is_some_and(|owns| owns.contains(target));
        self.alive(now).find(|(_, peer)| owns(peer)).map(|(id, _)| id)
    }

    /// The VMs that are alive.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = (Incarnation, &Peer)> {
        let store_counts = self.store_counts(now);
        let alive = self.peers.iter().filter(move |(_, peer)| peer.is_alive(store_counts));
        alive.map(|(&id, peer)| (id, peer))
    }

    /// Whether a target that is being taken should be left alone after all: another VM that is alive owns it,
    /// or its domain has VMs of its own again.
    pub fn belongs_elsewhere(&mut self, now: Millis, target: &str) -> bool {
        self.note_empty(now);
        let Some(place) = self.targets.get(target) else { return false };
        let may_not = place.domain != self.domain && !self.may_take_from(now, &place.domain);
        may_not || self.owner(now, target).is_some()
    }

    /// The targets that this VM is to take now.
    pub fn to_acquire(&mut self, now: Millis) -> Vec<Arc<str>> {
        if self.draining || self.is_cut_off() {
            return Vec::new();
        }
        self.note_empty(now);
        let domains = self.targets.values().map(|place| Arc::clone(&place.domain));
        let domains = domains.collect::<BTreeSet<_>>();
        domains.iter().flat_map(|domain| self.to_take_in(now, domain)).collect()
    }

    fn note_empty(&mut self, now: Millis) {
        let alive = self.alive(now).map(|(_, peer)| Arc::clone(&peer.domain));
        let mut alive = alive.collect::<BTreeSet<_>>();
        alive.insert(Arc::clone(&self.domain));
        self.empty_since.retain(|domain, _| !alive.contains(domain));
        for place in self.targets.values() {
            if !alive.contains(&place.domain) && !self.empty_since.contains_key(&place.domain) {
                self.empty_since.insert(Arc::clone(&place.domain), now);
            }
        }
    }

    fn to_take_in(&self, now: Millis, domain: &Arc<str>) -> Vec<Arc<str>> {
        let is_foreign = *domain != self.domain;
        if is_foreign && !self.may_take_from(now, domain) {
            return Vec::new();
        }
        if !is_foreign && self.is_greeting(now) {
            return Vec::new();
        }
        let in_domain = |place: &Target| place.domain == *domain;
        let count = self.targets.values().filter(|place| in_domain(place)).count();
        let owners = self.owners(now, domain, is_foreign, count.div_ceil(TARGETS_PER_OWNER));
        let mut taken = Vec::new();
        for (id, place) in &self.targets {
            let may_take = place.acquirable && in_domain(place) && !self.own.contains(id);
            let lost = self.lost_at.get(id).is_some_and(|&at| now - at < RETAKE_AFTER);
            if may_take && !lost && self.owner(now, id).is_none() && self.is_chosen(id, &owners) {
                taken.push(Arc::clone(id));
            }
        }
        taken
    }

    /// Whether the targets of another domain may be taken: it has had no VM for a while, and the store, which
    /// has answered all the while, says so too.
    fn may_take_from(&self, now: Millis, domain: &str) -> bool {
        let empty = self.empty_since.get(domain).is_some_and(|&at| now - at >= DOMAIN_EMPTY_MIN);
        empty && self.store.is_up && now - self.store.since >= STORE_STEADY_MIN
    }

    /// Whether a VM of the own domain has not said yet what it owns.
    fn is_greeting(&self, now: Millis) -> bool {
        self.alive(now).any(|(_, peer)| {
            let is_silent = peer.owns.is_none() && now - peer.known_since < HELLO_MAX;
            peer.domain == self.domain && !peer.draining && is_silent
        })
    }

    /// The VMs that should own the targets of a domain: `count` of its own, or of all where it has none. The largest
    /// are taken, since the decisions of an owner cost processor time.
    fn owners(&self, now: Millis, domain: &str, is_foreign: bool, count: usize) -> Vec<Owner> {
        let usable = self.alive(now).filter(|(_, peer)| !peer.draining);
        let usable = usable.filter(|(_, peer)| is_foreign || *peer.domain == *domain);
        let owner = |(_, peer): (_, &Peer)| Owner { vm: Arc::clone(&peer.vm), cpu: peer.cpu };
        let mut owners = usable.map(owner).collect::<Vec<_>>();
        owners.push(Owner { vm: Arc::clone(&self.vm), cpu: self.cpu });
        owners.sort_by_key(|owner| {
            (Reverse(owner.cpu), Reverse(weight(domain, &owner.vm)), Arc::clone(&owner.vm))
        });
        owners.dedup_by(|one, other| one.vm == other.vm);
        owners.truncate(count.max(1));
        owners
    }

    /// Whether this VM is the one of `owners` for a target.
    fn is_chosen(&self, target: &str, owners: &[Owner]) -> bool {
        let chosen =
            owners.iter().max_by(|one, other| one.claim(target).total_cmp(&other.claim(target)));
        chosen.is_some_and(|owner| owner.vm == self.vm)
    }
}

/// A VM that may own targets.
#[derive(Clone, Debug)]
struct Owner {
    vm: Arc<str>,
    cpu: u32,
}

impl Owner {
    /// By weighted rendezvous hashing, the VM with the largest claim to a target owns it: of many targets each VM gets
    /// a part in proportion to its cores.
    fn claim(&self, target: &str) -> f64 {
        // Between 0 and 1, neither of which it reaches.
        let uniform = ((weight(target, &self.vm) >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
        -f64::from(self.cpu.max(1)) / uniform.ln()
    }
}

/// The weight of a pair in rendezvous hashing (FNV-1a, finished by a multiplication that mixes the high bits).
fn weight(key: &str, vm: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in key.bytes().chain([0]).chain(vm.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^ (hash >> 29)
}
