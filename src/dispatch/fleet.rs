//! The targets of the own domain, and the pools that they form by service.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;

use crate::clock::Millis;
use crate::config::{Document, Ejection, SlotMode};

use super::pool::Pool;
use super::target::{Listing, Target};

/// All targets of the own domain, under numbers that stay the same while they are known.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The targets by number; those that are gone stay until their number is used again.
    pub targets: Vec<Target>,
    /// The pools by number.
    pub pools: Vec<Pool>,
    by_id: BTreeMap<String, usize>,
    by_hash: BTreeMap<u32, usize>,
    mode: SlotMode,
    ejection: Ejection,
}

impl Fleet {
    /// Takes over a configuration. Targets that are gone or leaving get nothing more.
    pub fn configure(&mut self, document: &Document, domain: &str, leaving: &BTreeSet<String>) {
        self.mode = document.limits.slots.mode;
        self.ejection = document.limits.ejection.clone();
        for target in &mut self.targets {
            target.wanted = false;
        }
        for wanted in document.targets.iter().filter(|target| target.domain == domain) {
            let number = self.number(&wanted.id);
            let target = &mut self.targets[number];
            target.slots = wanted.slots;
            target.wanted = !wanted.leaving && !leaving.contains(&wanted.id);
        }
        self.forget_gone(document, domain);
        for service in &document.services {
            self.pool(&service.targets);
        }
        self.list_all();
    }

    /// The number of a pool; it is made if there is none.
    pub fn pool(&mut self, allowed: &[String]) -> usize {
        let mut allowed = allowed.to_vec();
        allowed.sort_unstable();
        if let Some(number) = self.pools.iter().position(|pool| pool.allowed == allowed) {
            return number;
        }
        let hash = short(allowed.join("\n").as_bytes());
        self.pools.push(Pool::new(allowed, hash));
        self.pools.len() - 1
    }

    /// The number of a target, by the short name that all VMs use.
    pub fn by_hash(&self, hash: u32) -> Option<usize> {
        self.by_hash.get(&hash).copied()
    }

    /// The slots of a target that this VM may use, sound or not.
    pub fn usable(&self, number: usize) -> u32 {
        let target = &self.targets[number];
        match self.mode {
            SlotMode::Choices => target.slots,
            SlotMode::Split => target.home,
            SlotMode::Grants => target.home.saturating_sub(target.lent) + target.borrowed,
        }
    }

    /// The slots of a target that this VM may fill now.
    pub fn free(&self, now: Millis, number: usize) -> u32 {
        let target = &self.targets[number];
        if !target.wanted || target.blocked_until > now {
            return 0;
        }
        let usable = self.usable(number);
        let mut allowed = target.health.allowance(now, usable, &self.ejection);
        if target.look {
            allowed = allowed.min(1);
        }
        allowed.saturating_sub(target.busy)
    }

    /// Lists a target anew after anything about it has changed.
    pub fn refresh(&mut self, now: Millis, number: usize) {
        let free = self.free(now, number);
        let usable = self.usable(number);
        let target = &mut self.targets[number];
        let is_idle = target.borrowed > 0 && free > 0;
        target.idle_since = is_idle.then(|| target.idle_since.unwrap_or(now));
        let class = target.class();
        let refuses = target.refusals >= REFUSALS_MAX;
        let sound = target.wanted && !refuses && !target.health.is_ejected();
        let counted = (target.speed_class(), if sound { usable } else { 0 });
        self.count(number, counted);
        let listed = Some(class).filter(|_| free > 0);
        if listed != self.targets[number].listed {
            self.unlist(number);
            self.list(number, listed);
        }
    }

    /// A target for the next task of a pool, by two random choices on the own counts.
    pub fn choose_two(&self, pool: usize, random: &mut Rng) -> Option<usize> {
        let one = self.pools[pool].any(random)?;
        let other = self.pools[pool].any(random)?;
        let load =
            |number: usize| self.targets[number].busy * 1000 / self.targets[number].slots.max(1);
        Some(if load(other) < load(one) { other } else { one })
    }

    /// A free target of a pool, the fastest first, with home slots to lend to a VM whose own free
    /// slots are of `class`.
    pub fn lendable(&self, now: Millis, pool: usize, class: usize) -> Option<usize> {
        let may_lend = |&&number: &&usize| {
            let target = &self.targets[number];
            !target.health.is_suspect() && target.lendable(self.free(now, number)) > 0
        };
        let pool = &self.pools[pool];
        (0..=class.saturating_sub(CLEARLY_FASTER))
            .find_map(|class| pool.class(class).iter().take(LEND_SCAN_MAX).find(may_lend).copied())
    }

    /// The share of a target's pool whose last task failed.
    pub fn suspect_share(&self, number: usize) -> f64 {
        let Some(listing) = self.targets[number].listings.first() else { return 0.0 };
        let in_pool = |target: &&Target| {
            target.wanted && target.listings.iter().any(|other| other.pool == listing.pool)
        };
        let suspects =
            self.targets.iter().filter(in_pool).filter(|target| target.health.is_suspect());
        suspects.count() as f64 / self.pools[listing.pool].members.max(1) as f64
    }

    fn number(&mut self, id: &str) -> usize {
        if let Some(&number) = self.by_id.get(id) {
            return number;
        }
        let target = Target::new(id, short(id.as_bytes()));
        let reusable = |old: &Target| old.busy == 0 && !self.by_id.contains_key(old.id.as_ref());
        let number = self.targets.iter().position(reusable).unwrap_or(self.targets.len());
        self.by_id.insert(id.to_owned(), number);
        self.by_hash.insert(target.hash, number);
        if number == self.targets.len() {
            self.targets.push(target);
        } else {
            self.unlist(number);
            self.count(number, (0, 0));
            self.targets[number] = target;
        }
        number
    }

    fn forget_gone(&mut self, document: &Document, domain: &str) {
        let here = document.targets.iter().filter(|target| target.domain == domain);
        let known = here.map(|target| target.id.as_str()).collect::<BTreeSet<_>>();
        self.by_id.retain(|id, _| known.contains(id.as_str()));
        let targets = &self.targets;
        self.by_hash.retain(|_, &mut number| known.contains(targets[number].id.as_ref()));
    }

    /// Puts every target into the pools that allow it.
    fn list_all(&mut self) {
        for number in 0..self.targets.len() {
            self.unlist(number);
            self.count(number, (0, 0));
            let id = &self.targets[number].id;
            let may = |pool: &Pool| {
                pool.allowed.is_empty() || pool.allowed.iter().any(|name| **name == **id)
            };
            let pools = self.pools.iter().enumerate().filter(|(_, pool)| may(pool));
            let listings = pools.map(|(pool, _)| Listing { pool, position: 0 }).collect();
            self.targets[number].listings = listings;
        }
        for (number, pool) in self.pools.iter_mut().enumerate() {
            let within = |target: &&Target| target.listings.iter().any(|at| at.pool == number);
            pool.members =
                self.targets.iter().filter(|target| target.wanted).filter(within).count();
        }
    }

    fn count(&mut self, number: usize, to: (usize, u32)) {
        let target = &mut self.targets[number];
        let from = std::mem::replace(&mut target.counted, to);
        for listing in &target.listings {
            self.pools[listing.pool].change_usable(from.0, from.1, 0);
            self.pools[listing.pool].change_usable(to.0, 0, to.1);
        }
    }

    fn list(&mut self, number: usize, class: Option<usize>) {
        let Some(class) = class else { return };
        let target = &mut self.targets[number];
        target.listed = Some(class);
        for listing in &mut target.listings {
            listing.position = self.pools[listing.pool].list(class, number);
        }
    }

    fn unlist(&mut self, number: usize) {
        let Some(class) = self.targets[number].listed.take() else { return };
        for index in 0..self.targets[number].listings.len() {
            let Listing { pool, position } = self.targets[number].listings[index];
            let Some(moved) = self.pools[pool].unlist(class, position) else { continue };
            let listings = &mut self.targets[moved].listings;
            if let Some(listing) = listings.iter_mut().find(|listing| listing.pool == pool) {
                listing.position = position;
            }
        }
    }
}

/// Refusals in a row after which a target counts as having no slots, until it answers again.
const REFUSALS_MAX: u32 = 3;
/// Classes of speed between two targets of which one is clearly faster.
pub const CLEARLY_FASTER: usize = 2;
/// Targets of a class that are looked at for home slots to lend.
const LEND_SCAN_MAX: usize = 32;

/// A short hash of a name (FNV-1a), the same on every VM.
pub fn short(name: &[u8]) -> u32 {
    name.iter().fold(0x811c_9dc5, |hash, &byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
