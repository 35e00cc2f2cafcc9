//! Slot grants: each slot has a home VM, which lends it to other VMs of the domain while it is idle.
//!
//! All of it is soft state. What a peer that can't be reached has lent or borrowed is written off at
//! once, so that every VM then uses its own home slots: the fixed split. A wrong count costs a refusal
//! by the target, never a second start.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::job::Incarnation;

use super::account::{Account, weight};
use super::event::{Action, Demand, Loan, Request, Return, SlotMessage};
use super::fleet::{CLEARLY_FASTER, Fleet};
use super::request::Own;
use super::traffic::Traffic;

/// The least time between two messages to the same peer.
const SEND_EVERY: Millis = Millis(2);
/// A loan that nothing was heard of for this long is told again, and the answer says where it stands.
const CONFIRM_AFTER: Millis = Millis::from_secs(5);
/// The same while the slots are asked back.
const RECALL_AGAIN: Millis = Millis(500);
/// The least time between two rounds of asking slots back.
const RECALL_EVERY: Millis = Millis(5);
/// The size of a message without entries, the heads of frame, TCP and IP included, in bytes.
const MESSAGE_BYTES: u64 = 90;
/// The size of an entry, in bytes.
const ENTRY_BYTES: u64 = 12;

/// Another VM of the domain.
#[derive(Debug, Default)]
struct Peer {
    /// What it wants, by the hash of the pool; counted down as slots are lent.
    requests: BTreeMap<u32, Demand>,
    /// The number of its last request.
    request_number: u32,
    last_sent: Option<Millis>,
    request_due: bool,
    loans_due: BTreeSet<u32>,
    returns_due: BTreeSet<u32>,
}

impl Peer {
    fn has_news(&self) -> bool {
        self.request_due || !self.loans_due.is_empty() || !self.returns_due.is_empty()
    }
}

/// The slots that this VM lends and borrows.
#[derive(Debug)]
pub struct Slots {
    own: Incarnation,
    peers: BTreeMap<Incarnation, Peer>,
    lent: BTreeMap<(Incarnation, u32), Account>,
    borrowed: BTreeMap<(Incarnation, u32), Account>,
    /// The slots borrowed and not yet returned.
    held: u32,
    requests: BTreeMap<u32, Own>,
    request_number: u32,
    traffic: Traffic,
    checked_at: Millis,
}

impl Slots {
    /// No slots and no peers, for the VM `own`.
    pub const fn new(own: Incarnation) -> Self {
        Self {
            own,
            peers: BTreeMap::new(),
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            held: 0,
            requests: BTreeMap::new(),
            request_number: 0,
            traffic: Traffic::new(),
            checked_at: Millis::ZERO,
        }
    }

    /// Takes the VMs of the domain that can be reached, without this one. Returns whether they changed.
    pub fn members(&mut self, peers: &BTreeSet<Incarnation>, fleet: &mut Fleet) -> bool {
        let lost = self.peers.keys().filter(|id| !peers.contains(id)).copied();
        let lost = lost.collect::<Vec<_>>();
        let new = peers.iter().filter(|id| !self.peers.contains_key(id)).copied();
        let new = new.collect::<Vec<_>>();
        for peer in &lost {
            self.write_off(*peer, fleet);
            self.peers.remove(peer);
        }
        for peer in &new {
            self.greet(*peer);
        }
        !lost.is_empty() || !new.is_empty()
    }

    /// Sets the most traffic that is sent, in bytes a second.
    pub fn limit_traffic(&mut self, bytes_per_second: u64) {
        self.traffic.limit(bytes_per_second);
    }

    /// Forgets VMs that are not members any more.
    pub fn forget(&mut self, known: &BTreeSet<Incarnation>) {
        self.lent.retain(|(peer, _), _| known.contains(peer));
        self.borrowed.retain(|(peer, _), _| known.contains(peer));
    }

    /// Sets what every target has lent and borrowed, after the targets have changed.
    pub fn recount(&mut self, fleet: &mut Fleet) {
        for target in &mut fleet.targets {
            target.lent = 0;
            target.borrowed = 0;
        }
        for (&(_, target), account) in &self.lent {
            if let Some(number) = fleet.by_hash(target) {
                fleet.targets[number].lent += account.held();
            }
        }
        for (&(_, target), account) in &self.borrowed {
            if let Some(number) = fleet.by_hash(target) {
                fleet.targets[number].borrowed += account.held();
            }
        }
    }

    /// How many of a target's slots have this VM as home.
    ///
    /// Slot N belongs to the VM of rank N modulo their number, so that parts differ by one at most and
    /// the larger ones are spread.
    pub fn home(&self, target: u32, slots: u32) -> u32 {
        let own = weight(self.own, target);
        let before = self.peers.keys().filter(|&&peer| weight(peer, target) > own).count() as u32;
        let vms = self.peers.len() as u32 + 1;
        (slots + vms - 1 - before) / vms
    }

    /// Takes a message; `changed` gets the targets whose slots it changes.
    pub fn take(
        &mut self,
        now: Millis,
        from: Incarnation,
        message: SlotMessage,
        fleet: &mut Fleet,
        changed: &mut Vec<usize>,
    ) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if let Some(request) =
            message.request.filter(|request| request.sequence > peer.request_number)
        {
            peer.request_number = request.sequence;
            let wanted = request.demands.into_iter();
            peer.requests = wanted.map(|wanted| (wanted.pool, wanted)).collect();
        }
        for loan in message.loans {
            let Some(number) = fleet.by_hash(loan.target) else { continue };
            let account = self.borrowed.entry((from, loan.target)).or_default();
            if loan.lent <= account.lent && loan.recalled <= account.due {
                peer.returns_due.insert(loan.target);
            }
            let before = account.held();
            account.lent = account.lent.max(loan.lent);
            account.due = account.due.max(loan.recalled).min(account.lent);
            let more = account.held() - before;
            self.held += more;
            fleet.targets[number].borrowed += more;
            changed.push(number);
        }
        for back in message.returns {
            let Some(number) = fleet.by_hash(back.target) else { continue };
            let account = self.lent.entry((from, back.target)).or_default();
            let before = account.held();
            account.lent = account.lent.max(back.returned);
            account.returned = account.returned.max(back.returned);
            account.due = account.due.max(account.returned);
            account.touched = now;
            let back = before.saturating_sub(account.held());
            let target = &mut fleet.targets[number];
            target.lent = target.lent.saturating_sub(back);
            changed.push(number);
        }
    }

    /// Whether there is a VM to borrow from, and control traffic to spare for requests that are not urgent.
    pub fn may_request(&self, now: Millis) -> bool {
        !self.peers.is_empty() && self.traffic.is_ample(now)
    }

    /// Whether a peer wants slots of any pool.
    pub fn is_wanted(&self) -> bool {
        self.peers.values().any(|peer| !peer.requests.is_empty())
    }

    /// Lends one idle home slot of a pool to each peer that wants some. Returns the targets.
    pub fn lend(&mut self, now: Millis, number: usize, fleet: &mut Fleet) -> Vec<usize> {
        let pool = fleet.pools[number].hash;
        let mut changed = Vec::new();
        for (&id, peer) in &mut self.peers {
            let Some(wanted) = peer.requests.get_mut(&pool) else { continue };
            let class = usize::from(wanted.speed_class);
            let Some(target) = fleet.lendable(now, number, class) else { continue };
            wanted.slots = wanted.slots.saturating_sub(1);
            if wanted.slots == 0 {
                peer.requests.remove(&pool);
            }
            let hash = fleet.targets[target].hash;
            let account = self.lent.entry((id, hash)).or_default();
            account.lent += 1;
            account.touched = now;
            peer.loans_due.insert(hash);
            fleet.targets[target].lent += 1;
            fleet.refresh(now, target);
            changed.push(target);
        }
        changed
    }

    /// Notes how many tasks of a pool wait here for a slot clearly faster than `class`, and asks lent
    /// ones back while any do.
    pub fn wait(
        &mut self,
        now: Millis,
        number: usize,
        waiting: usize,
        class: usize,
        fleet: &Fleet,
    ) {
        if self.peers.is_empty() {
            return;
        }
        let pool = fleet.pools[number].hash;
        let share = waiting.div_ceil(self.peers.len()) as u32;
        let own = self.requests.entry(pool).or_default();
        own.waiting = share;
        own.class = class as u8;
        if own.is_due(now) {
            self.tell_requests(now);
        }
        if waiting > 0 {
            self.recall(now, number, waiting as u32, class, fleet);
        }
    }

    /// Tells loans again of which nothing was heard for long.
    pub fn confirm(&mut self, now: Millis) {
        for (&(peer, target), account) in &mut self.lent {
            let Some(peer) = self.peers.get_mut(&peer) else { continue };
            if account.held() > 0 && account.touched + CONFIRM_AFTER <= now {
                account.touched = now;
                peer.loans_due.insert(target);
            }
        }
    }

    /// Gives back slots of a target that are idle and asked for.
    pub fn settle(&mut self, number: usize, idle: u32, fleet: &mut Fleet) {
        if self.held == 0 || fleet.targets[number].borrowed == 0 {
            return;
        }
        self.give_back(number, idle, fleet, |account| account.due.saturating_sub(account.returned));
    }

    /// Gives back slots that were idle for `hold`. Returns the targets.
    pub fn check(&mut self, now: Millis, hold: Millis, fleet: &mut Fleet) -> Vec<usize> {
        if self.held == 0 || now < self.checked_at + Self::check_every(hold) {
            return Vec::new();
        }
        self.checked_at = now;
        let some = self.borrowed.iter().filter(|(_, account)| account.held() > 0);
        let targets = some.map(|(&(_, target), _)| target).collect::<BTreeSet<_>>();
        let numbers = targets.into_iter().filter_map(|target| fleet.by_hash(target));
        let idle = |number: &usize| {
            fleet.targets[*number].idle_since.is_some_and(|since| since + hold <= now)
        };
        let numbers = numbers.filter(idle).collect::<Vec<_>>();
        for &number in &numbers {
            let free = fleet.free(now, number);
            self.give_back(number, free, fleet, |account| account.held());
        }
        numbers
    }

    /// Sends what is to be told, as far as the limit for control traffic allows.
    pub fn flush(&mut self, now: Millis, actions: &mut Vec<Action>) -> u64 {
        let mut due = self.peers.iter().filter(|(_, peer)| peer.has_news()).collect::<Vec<_>>();
        due.sort_by_key(|(_, peer)| peer.last_sent);
        let due = due.into_iter().map(|(&id, _)| id).collect::<Vec<_>>();
        let mut sent = 0;
        for id in due {
            let Some(peer) = self.peers.get_mut(&id) else { continue };
            let early = peer.last_sent.is_some_and(|sent| now < sent + SEND_EVERY);
            if early || !self.traffic.allows(now, MESSAGE_BYTES) {
                continue;
            }
            let message =
                write(id, peer, &self.lent, &self.borrowed, self.request_number, &self.requests);
            let entries = message.loans.len() + message.returns.len() + self.requests.len();
            self.traffic.spend(MESSAGE_BYTES + ENTRY_BYTES * entries as u64);
            peer.last_sent = Some(now);
            actions.push(Action::Send { to: id, message });
            sent += 1;
        }
        sent
    }

    /// When something is to be sent, told again or checked.
    pub fn wake(&self, now: Millis, hold: Millis) -> Option<Millis> {
        let news = self.peers.values().any(Peer::has_news);
        let pause = SEND_EVERY.max(self.traffic.pause(MESSAGE_BYTES));
        let flush = news.then_some(now + pause);
        let check = (self.held > 0).then_some(self.checked_at + Self::check_every(hold));
        let request = self.requests.values().filter_map(|own| own.due_at(now)).min();
        [flush, check, request].into_iter().flatten().min()
    }

    const fn check_every(hold: Millis) -> Millis {
        Millis(hold.0 / 2 + 1)
    }

    fn tell_requests(&mut self, now: Millis) {
        self.request_number += 1;
        for own in self.requests.values_mut() {
            own.told = own.waiting;
            own.told_at = Some(now);
        }
        for peer in self.peers.values_mut() {
            peer.request_due = true;
        }
    }

    fn recall(&mut self, now: Millis, pool: usize, waiting: u32, class: usize, fleet: &Fleet) {
        let hash = fleet.pools[pool].hash;
        let own = self.requests.entry(hash).or_default();
        if own.recalled_at.is_some_and(|at| now < at + RECALL_EVERY) {
            return;
        }
        own.recalled_at = Some(now);
        let in_pool = |target: u32| {
            let target = &fleet.targets[fleet.by_hash(target)?];
            let fast = target.class() + CLEARLY_FASTER <= class;
            target.listings.iter().find(|listing| fast && listing.pool == pool)
        };
        let accounts = self.lent.iter_mut();
        let accounts = accounts
            .filter(|((_, target), account)| account.held() > 0 && in_pool(*target).is_some());
        let mut wanted = waiting;
        for (&(peer, target), account) in accounts {
            let under_way = account.due - account.returned;
            wanted = wanted.saturating_sub(under_way);
            let more = (account.held() - under_way).min(wanted);
            let again = under_way > 0 && account.touched + RECALL_AGAIN <= now;
            if more > 0 || again {
                account.due += more;
                account.touched = now;
                wanted -= more;
                if let Some(peer) = self.peers.get_mut(&peer) {
                    peer.loans_due.insert(target);
                }
            }
            if wanted == 0 {
                return;
            }
        }
    }

    fn give_back(
        &mut self,
        number: usize,
        idle: u32,
        fleet: &mut Fleet,
        part: impl Fn(&Account) -> u32,
    ) {
        let target = fleet.targets[number].hash;
        let mut idle = idle.min(fleet.targets[number].borrowed);
        for (&id, peer) in &mut self.peers {
            let Some(account) = self.borrowed.get_mut(&(id, target)) else { continue };
            let back = part(account).min(account.held()).min(idle);
            if back == 0 {
                continue;
            }
            account.returned += back;
            idle -= back;
            self.held -= back;
            fleet.targets[number].borrowed -= back;
            peer.returns_due.insert(target);
        }
    }

    /// Takes back all that was lent to a peer and drops all that was borrowed from it.
    fn write_off(&mut self, peer: Incarnation, fleet: &mut Fleet) {
        let range = (peer, 0)..=(peer, u32::MAX);
        for (&(_, target), account) in self.lent.range_mut(range.clone()) {
            if let Some(number) = fleet.by_hash(target) {
                let target = &mut fleet.targets[number];
                target.lent = target.lent.saturating_sub(account.held());
            }
            account.returned = account.lent;
            account.due = account.lent;
        }
        for (&(_, target), account) in self.borrowed.range_mut(range) {
            if let Some(number) = fleet.by_hash(target) {
                let target = &mut fleet.targets[number];
                target.borrowed = target.borrowed.saturating_sub(account.held());
            }
            self.held -= account.held();
            account.returned = account.lent;
        }
    }

    /// Tells a peer that can be reached again where the accounts stand.
    fn greet(&mut self, id: Incarnation) {
        let range = (id, 0)..=(id, u32::MAX);
        let loans = self.lent.range(range.clone()).map(|(&(_, target), _)| target);
        let returns = self.borrowed.range(range).map(|(&(_, target), _)| target);
        let peer = Peer {
            loans_due: loans.collect(),
            returns_due: returns.collect(),
            request_due: !self.requests.is_empty(),
            ..Peer::default()
        };
        self.peers.insert(id, peer);
    }
}

fn write(
    id: Incarnation,
    peer: &mut Peer,
    lent: &BTreeMap<(Incarnation, u32), Account>,
    borrowed: &BTreeMap<(Incarnation, u32), Account>,
    number: u32,
    requests: &BTreeMap<u32, Own>,
) -> SlotMessage {
    let request = std::mem::take(&mut peer.request_due).then(|| {
        let open = requests.iter().filter(|(_, own)| own.told > 0);
        let wanted =
            |(&pool, own): (&u32, &Own)| Demand { pool, slots: own.told, speed_class: own.class };
        Request { sequence: number, demands: open.map(wanted).collect() }
    });
    let loan = |target| {
        let account = lent.get(&(id, target)).copied().unwrap_or_default();
        Loan { target, lent: account.lent, recalled: account.due }
    };
    let back = |target| {
        let account = borrowed.get(&(id, target)).copied().unwrap_or_default();
        Return { target, returned: account.returned }
    };
    let loans = std::mem::take(&mut peer.loans_due).into_iter().map(loan).collect();
    let returns = std::mem::take(&mut peer.returns_due).into_iter().map(back).collect();
    SlotMessage { request, loans, returns }
}
