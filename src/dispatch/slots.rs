//! Slot lending: each slot has a home VM, which lends it to other VMs of the domain while it is
//! idle.
//!
//! All of this is soft state. Loans to and from an unreachable peer are written off at once, and
//! every VM then uses its own home slots only. A wrong count costs a refusal by the target, never a
//! duplicate attempt.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::job::Incarnation;

use super::account::{Account, weight};
use super::demand::LocalDemand;
use super::event::{Action, Demand, Loan, Request, Return, SlotMessage};
use super::fleet::{CLEARLY_FASTER, Fleet};
use super::traffic::Limiter;

/// The minimum time between two messages to the same peer.
const SEND_INTERVAL: Millis = Millis(2);
/// A loan that has not changed for this long is announced again; the response confirms it.
const CONFIRM_INTERVAL: Millis = Millis::from_secs(5);
/// A recall without a response for this long is announced again.
const RECALL_REPEAT_INTERVAL: Millis = Millis(500);
/// The minimum time between two rounds of recalls for a pool.
const RECALL_INTERVAL: Millis = Millis(5);
/// The size of a message without entries, including frame, TCP and IP headers, in bytes.
const MESSAGE_BYTES: u64 = 90;
/// The size of a message entry, in bytes.
const ENTRY_BYTES: u64 = 12;

/// Another VM of the domain.
#[derive(Debug, Default)]
struct Peer {
    /// The peer's remaining demand by pool hash; each loan takes one slot off.
    demands: BTreeMap<u32, Demand>,
    /// The sequence number of the peer's last request.
    request_sequence: u32,
    last_sent_at: Option<Millis>,
    /// Whether the local demand is to be sent.
    demand_pending: bool,
    /// The hashes of the targets whose loans are to be sent.
    pending_loans: BTreeSet<u32>,
    /// The hashes of the targets whose returns are to be sent.
    pending_returns: BTreeSet<u32>,
}

impl Peer {
    fn has_pending(&self) -> bool {
        self.demand_pending || !self.pending_loans.is_empty() || !self.pending_returns.is_empty()
    }
}

/// The slots that this VM lends and borrows, by peer and target hash.
#[derive(Debug)]
pub struct Slots {
    local: Incarnation,
    peers: BTreeMap<Incarnation, Peer>,
    lent: BTreeMap<(Incarnation, u32), Account>,
    borrowed: BTreeMap<(Incarnation, u32), Account>,
    /// The borrowed slots that were not returned yet.
    borrowed_total: u32,
    /// The local demand by pool hash.
    demands: BTreeMap<u32, LocalDemand>,
    request_sequence: u32,
    traffic: Limiter,
    /// When borrowed slots were last checked for being idle.
    checked_at: Millis,
}

impl Slots {
    /// Creates the state of the VM `local`, without slots and peers.
    pub const fn new(local: Incarnation) -> Self {
        Self {
            local,
            peers: BTreeMap::new(),
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            borrowed_total: 0,
            demands: BTreeMap::new(),
            request_sequence: 0,
            traffic: Limiter::new(),
            checked_at: Millis::ZERO,
        }
    }

    /// Sets the reachable VMs of the domain other than this one. Returns whether they changed.
    pub fn set_peers(&mut self, peers: &BTreeSet<Incarnation>, fleet: &mut Fleet) -> bool {
        let lost = self.peers.keys().filter(|id| !peers.contains(id)).copied();
        let lost = lost.collect::<Vec<_>>();
        let new = peers.iter().filter(|id| !self.peers.contains_key(id)).copied();
        let new = new.collect::<Vec<_>>();
        for peer in &lost {
            self.write_off(*peer, fleet);
            self.peers.remove(peer);
        }
        for peer in &new {
            self.announce_accounts(*peer);
        }
        !lost.is_empty() || !new.is_empty()
    }

    /// Sets the limit for control traffic, in bytes per second.
    pub fn limit_traffic(&mut self, bytes_per_second: u64) {
        self.traffic.set_rate(bytes_per_second);
    }

    /// Drops the accounts of VMs that are no longer members.
    pub fn forget(&mut self, known: &BTreeSet<Incarnation>) {
        self.lent.retain(|(peer, _), _| known.contains(peer));
        self.borrowed.retain(|(peer, _), _| known.contains(peer));
    }

    /// Sets every target's lent and borrowed slots from the accounts, after the targets have
    /// changed.
    pub fn recount_loans(&mut self, fleet: &mut Fleet) {
        for target in &mut fleet.targets {
            target.lent = 0;
            target.borrowed = 0;
        }
        for (&(_, target), account) in &self.lent {
            if let Some(index) = fleet.by_hash(target) {
                fleet.targets[index].lent += account.on_loan();
            }
        }
        for (&(_, target), account) in &self.borrowed {
            if let Some(index) = fleet.by_hash(target) {
                fleet.targets[index].borrowed += account.on_loan();
            }
        }
    }

    /// The number of a target's slots whose home is this VM.
    ///
    /// Slot N belongs to the VM of rank N modulo the number of VMs. The shares differ by at most
    /// one slot, and since the ranks differ by target, no VM gets the larger share everywhere.
    pub fn home_slots(&self, target: u32, slots: u32) -> u32 {
        let local = weight(self.local, target);
        let rank = self.peers.keys().filter(|&&peer| weight(peer, target) > local).count() as u32;
        let vms = self.peers.len() as u32 + 1;
        (slots + vms - 1 - rank) / vms
    }

    /// Applies a peer's message; appends the indexes of the targets whose slots change to
    /// `changed`.
    pub fn receive(
        &mut self,
        now: Millis,
        from: Incarnation,
        message: SlotMessage,
        fleet: &mut Fleet,
        changed: &mut Vec<usize>,
    ) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if let Some(request) =
            message.request.filter(|request| request.sequence > peer.request_sequence)
        {
            peer.request_sequence = request.sequence;
            let demands = request.demands.into_iter();
            peer.demands = demands.map(|demand| (demand.pool, demand)).collect();
        }
        for loan in message.loans {
            let Some(index) = fleet.by_hash(loan.target) else { continue };
            let account = self.borrowed.entry((from, loan.target)).or_default();
            if loan.lent <= account.lent && loan.recalled <= account.recalled {
                peer.pending_returns.insert(loan.target);
            }
            let on_loan_before = account.on_loan();
            account.lent = account.lent.max(loan.lent);
            account.recalled = account.recalled.max(loan.recalled).min(account.lent);
            let added = account.on_loan() - on_loan_before;
            self.borrowed_total += added;
            fleet.targets[index].borrowed += added;
            changed.push(index);
        }
        for total in message.returns {
            let Some(index) = fleet.by_hash(total.target) else { continue };
            let account = self.lent.entry((from, total.target)).or_default();
            let on_loan_before = account.on_loan();
            account.lent = account.lent.max(total.returned);
            account.returned = account.returned.max(total.returned);
            account.recalled = account.recalled.max(account.returned);
            account.updated_at = now;
            let returned = on_loan_before.saturating_sub(account.on_loan());
            let target = &mut fleet.targets[index];
            target.lent = target.lent.saturating_sub(returned);
            changed.push(index);
        }
    }

    /// Whether there is a VM to borrow from and ample control traffic left for requests that aren't
    /// urgent.
    pub fn may_request(&self, now: Millis) -> bool {
        !self.peers.is_empty() && self.traffic.is_ample(now)
    }

    /// Whether a peer has demand for slots of any pool.
    pub fn has_demand(&self) -> bool {
        self.peers.values().any(|peer| !peer.demands.is_empty())
    }

    /// Lends one idle home slot of a pool to each peer with demand for it. Returns the targets'
    /// indexes.
    pub fn lend(&mut self, now: Millis, pool: usize, fleet: &mut Fleet) -> Vec<usize> {
        let pool_hash = fleet.pools[pool].hash;
        let mut changed = Vec::new();
        for (&id, peer) in &mut self.peers {
            let Some(demand) = peer.demands.get_mut(&pool_hash) else { continue };
            let speed_class = usize::from(demand.speed_class);
            let Some(target) = fleet.lendable(now, pool, speed_class) else { continue };
            demand.slots = demand.slots.saturating_sub(1);
            if demand.slots == 0 {
                peer.demands.remove(&pool_hash);
            }
            let hash = fleet.targets[target].hash;
            let account = self.lent.entry((id, hash)).or_default();
            account.lent += 1;
            account.updated_at = now;
            peer.pending_loans.insert(hash);
            fleet.targets[target].lent += 1;
            fleet.refresh(now, target);
            changed.push(target);
        }
        changed
    }

    /// Sets the local demand: `waiting` tasks of a pool could use a slot clearly faster than
    /// `speed_class`. Recalls lent slots while there are any.
    pub fn request(
        &mut self,
        now: Millis,
        pool: usize,
        waiting: usize,
        speed_class: usize,
        fleet: &Fleet,
    ) {
        if self.peers.is_empty() {
            return;
        }
        let share = waiting.div_ceil(self.peers.len()) as u32;
        let demand = self.demands.entry(fleet.pools[pool].hash).or_default();
        demand.slots = share;
        demand.speed_class = speed_class as u8;
        if demand.is_due(now) {
            self.announce_demands(now);
        }
        if waiting > 0 {
            self.recall(now, pool, waiting as u32, speed_class, fleet);
        }
    }

    /// Announces loans again that have not changed for long.
    pub fn confirm(&mut self, now: Millis) {
        for (&(peer, target), account) in &mut self.lent {
            let Some(peer) = self.peers.get_mut(&peer) else { continue };
            if account.on_loan() > 0 && account.updated_at + CONFIRM_INTERVAL <= now {
                account.updated_at = now;
                peer.pending_loans.insert(target);
            }
        }
    }

    /// Returns the recalled slots of a target as far as they are idle.
    pub fn return_recalled(&mut self, target: usize, idle: u32, fleet: &mut Fleet) {
        if self.borrowed_total == 0 || fleet.targets[target].borrowed == 0 {
            return;
        }
        self.return_slots(target, idle, fleet, |account| {
            account.recalled.saturating_sub(account.returned)
        });
    }

    /// Returns borrowed slots that were idle for `idle_max`. Returns the targets' indexes.
    pub fn return_idle(&mut self, now: Millis, idle_max: Millis, fleet: &mut Fleet) -> Vec<usize> {
        if self.borrowed_total == 0 || now < self.checked_at + Self::check_interval(idle_max) {
            return Vec::new();
        }
        self.checked_at = now;
        let on_loan = self.borrowed.iter().filter(|(_, account)| account.on_loan() > 0);
        let hashes = on_loan.map(|(&(_, hash), _)| hash).collect::<BTreeSet<_>>();
        let targets = hashes.into_iter().filter_map(|hash| fleet.by_hash(hash));
        let is_idle = |target: &usize| {
            fleet.targets[*target].idle_since.is_some_and(|since| since + idle_max <= now)
        };
        let targets = targets.filter(is_idle).collect::<Vec<_>>();
        for &target in &targets {
            let free = fleet.free(now, target);
            self.return_slots(target, free, fleet, |account| account.on_loan());
        }
        targets
    }

    /// Sends the pending announcements as far as the limit for control traffic allows, the peer
    /// that has waited longest first. Returns the number of messages.
    pub fn flush(&mut self, now: Millis, actions: &mut Vec<Action>) -> u64 {
        let mut pending =
            self.peers.iter().filter(|(_, peer)| peer.has_pending()).collect::<Vec<_>>();
        pending.sort_by_key(|(_, peer)| peer.last_sent_at);
        let pending = pending.into_iter().map(|(&id, _)| id).collect::<Vec<_>>();
        let mut sent = 0;
        for id in pending {
            let Some(peer) = self.peers.get_mut(&id) else { continue };
            let too_early = peer.last_sent_at.is_some_and(|sent| now < sent + SEND_INTERVAL);
            if too_early || !self.traffic.allows(now, MESSAGE_BYTES) {
                continue;
            }
            let message = build_message(
                id,
                peer,
                &self.lent,
                &self.borrowed,
                self.request_sequence,
                &self.demands,
            );
            let entries = message.loans.len() + message.returns.len() + self.demands.len();
            self.traffic.spend(MESSAGE_BYTES + ENTRY_BYTES * entries as u64);
            peer.last_sent_at = Some(now);
            actions.push(Action::Send { to: id, message });
            sent += 1;
        }
        sent
    }

    /// When a message is next due or idle slots are next checked.
    pub fn next_wakeup(&self, now: Millis, idle_max: Millis) -> Option<Millis> {
        let has_pending = self.peers.values().any(Peer::has_pending);
        let pause = SEND_INTERVAL.max(self.traffic.pause(MESSAGE_BYTES));
        let flush = has_pending.then_some(now + pause);
        let check =
            (self.borrowed_total > 0).then_some(self.checked_at + Self::check_interval(idle_max));
        let request =
            self.demands.values().filter_map(|demand| demand.next_announcement(now)).min();
        [flush, check, request].into_iter().flatten().min()
    }

    const fn check_interval(idle_max: Millis) -> Millis {
        Millis(idle_max.0 / 2 + 1)
    }

    fn announce_demands(&mut self, now: Millis) {
        self.request_sequence += 1;
        for demand in self.demands.values_mut() {
            demand.announced = demand.slots;
            demand.announced_at = Some(now);
        }
        for peer in self.peers.values_mut() {
            peer.demand_pending = true;
        }
    }

    /// Recalls slots clearly faster than `speed_class` for the `waiting` tasks of a pool.
    fn recall(
        &mut self,
        now: Millis,
        pool: usize,
        waiting: u32,
        speed_class: usize,
        fleet: &Fleet,
    ) {
        let hash = fleet.pools[pool].hash;
        let demand = self.demands.entry(hash).or_default();
        if demand.recalled_at.is_some_and(|at| now < at + RECALL_INTERVAL) {
            return;
        }
        demand.recalled_at = Some(now);
        let fast_in_pool = |hash: u32| {
            let target = &fleet.targets[fleet.by_hash(hash)?];
            let is_fast = target.class() + CLEARLY_FASTER <= speed_class;
            target.listings.iter().find(|listing| is_fast && listing.pool == pool)
        };
        let accounts = self.lent.iter_mut();
        let accounts = accounts.filter(|((_, target), account)| {
            account.on_loan() > 0 && fast_in_pool(*target).is_some()
        });
        let mut needed = waiting;
        for (&(peer, target), account) in accounts {
            let outstanding = account.recalled - account.returned;
            needed = needed.saturating_sub(outstanding);
            let added = (account.on_loan() - outstanding).min(needed);
            let repeat = outstanding > 0 && account.updated_at + RECALL_REPEAT_INTERVAL <= now;
            if added > 0 || repeat {
                account.recalled += added;
                account.updated_at = now;
                needed -= added;
                if let Some(peer) = self.peers.get_mut(&peer) {
                    peer.pending_loans.insert(target);
                }
            }
            if needed == 0 {
                return;
            }
        }
    }

    /// Returns up to `idle` borrowed slots of a target, from each account as many as `count` gives.
    fn return_slots(
        &mut self,
        target: usize,
        idle: u32,
        fleet: &mut Fleet,
        count: impl Fn(&Account) -> u32,
    ) {
        let hash = fleet.targets[target].hash;
        let mut idle = idle.min(fleet.targets[target].borrowed);
        for (&id, peer) in &mut self.peers {
            let Some(account) = self.borrowed.get_mut(&(id, hash)) else { continue };
            let returned = count(account).min(account.on_loan()).min(idle);
            if returned == 0 {
                continue;
            }
            account.returned += returned;
            idle -= returned;
            self.borrowed_total -= returned;
            fleet.targets[target].borrowed -= returned;
            peer.pending_returns.insert(hash);
        }
    }

    /// Ends all loans to and from a peer that is no longer reachable.
    fn write_off(&mut self, peer: Incarnation, fleet: &mut Fleet) {
        let range = (peer, 0)..=(peer, u32::MAX);
        for (&(_, hash), account) in self.lent.range_mut(range.clone()) {
            if let Some(index) = fleet.by_hash(hash) {
                let target = &mut fleet.targets[index];
                target.lent = target.lent.saturating_sub(account.on_loan());
            }
            account.returned = account.lent;
            account.recalled = account.lent;
        }
        for (&(_, hash), account) in self.borrowed.range_mut(range) {
            if let Some(index) = fleet.by_hash(hash) {
                let target = &mut fleet.targets[index];
                target.borrowed = target.borrowed.saturating_sub(account.on_loan());
            }
            self.borrowed_total -= account.on_loan();
            account.returned = account.lent;
        }
    }

    /// Adds a peer that has become reachable, with the state of all accounts pending for it.
    fn announce_accounts(&mut self, id: Incarnation) {
        let range = (id, 0)..=(id, u32::MAX);
        let loans = self.lent.range(range.clone()).map(|(&(_, target), _)| target);
        let returns = self.borrowed.range(range).map(|(&(_, target), _)| target);
        let peer = Peer {
            pending_loans: loans.collect(),
            pending_returns: returns.collect(),
            demand_pending: !self.demands.is_empty(),
            ..Peer::default()
        };
        self.peers.insert(id, peer);
    }
}

/// Builds the next message to a peer and clears what was pending for it.
fn build_message(
    id: Incarnation,
    peer: &mut Peer,
    lent: &BTreeMap<(Incarnation, u32), Account>,
    borrowed: &BTreeMap<(Incarnation, u32), Account>,
    sequence: u32,
    demands: &BTreeMap<u32, LocalDemand>,
) -> SlotMessage {
    let request = std::mem::take(&mut peer.demand_pending).then(|| {
        let open = demands.iter().filter(|(_, demand)| demand.announced > 0);
        let demand = |(&pool, demand): (&u32, &LocalDemand)| Demand {
            pool,
            slots: demand.announced,
            speed_class: demand.speed_class,
        };
        Request { sequence, demands: open.map(demand).collect() }
    });
    let loan = |target| {
        let account = lent.get(&(id, target)).copied().unwrap_or_default();
        Loan { target, lent: account.lent, recalled: account.recalled }
    };
    let total = |target| {
        let account = borrowed.get(&(id, target)).copied().unwrap_or_default();
        Return { target, returned: account.returned }
    };
    let loans = std::mem::take(&mut peer.pending_loans).into_iter().map(loan).collect();
    let returns = std::mem::take(&mut peer.pending_returns).into_iter().map(total).collect();
    SlotMessage { request, loans, returns }
}
