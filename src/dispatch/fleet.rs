//! The targets of the local domain and the pools that they form.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;

use crate::clock::Millis;
use crate::config::{Document, Ejection, SlotMode};

use super::pool::Pool;
use super::target::{Listing, Target};

/// Consecutive refusals after which a target's slots don't count for the capacity, until it answers
/// again.
const REFUSALS_MAX: u32 = 3;
/// The least difference in speed classes by which a target is clearly faster than another.
pub const CLEARLY_FASTER: usize = 2;
/// The targets of each class that are searched for home slots to lend.
const LEND_SCAN_MAX: usize = 32;

/// The targets of the local domain, under indexes that are stable while a target is configured.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The targets by index; a removed one stays until its index is reused.
    pub targets: Vec<Target>,
    /// The pools by index.
    pub pools: Vec<Pool>,
    by_id: BTreeMap<String, usize>,
    by_hash: BTreeMap<u32, usize>,
    mode: SlotMode,
    ejection: Ejection,
}

impl Fleet {
    /// Applies a configuration. Removed and leaving targets get no more tasks.
    pub fn configure(&mut self, document: &Document, domain: &str, leaving: &BTreeSet<String>) {
        self.mode = document.limits.slots.mode;
        self.ejection = document.limits.ejection.clone();
        for target in &mut self.targets {
            target.active = false;
        }
        for configured in document.targets.iter().filter(|target| target.domain == domain) {
            let index = self.index(&configured.id);
            let target = &mut self.targets[index];
            target.slots = configured.slots;
            target.active = !configured.leaving && !leaving.contains(&configured.id);
        }
        self.forget_removed(document, domain);
        for service in &document.services {
            self.pool(&service.targets);
        }
        self.list_all();
    }

    /// The index of the pool with these allowed targets, which is added if there is none.
    pub fn pool(&mut self, allowed: &[String]) -> usize {
        let mut allowed = allowed.to_vec();
        allowed.sort_unstable();
        if let Some(index) = self.pools.iter().position(|pool| pool.allowed == allowed) {
            return index;
        }
        let pool_hash = hash(allowed.join("\n").as_bytes());
        self.pools.push(Pool::new(allowed, pool_hash));
        self.pools.len() - 1
    }

    /// The index of a target, by the hash of its id.
    pub fn by_hash(&self, hash: u32) -> Option<usize> {
        self.by_hash.get(&hash).copied()
    }

    /// The slots of a target that this VM may use while the target is healthy.
    pub fn usable(&self, index: usize) -> u32 {
        let target = &self.targets[index];
        match self.mode {
            SlotMode::Choices => target.slots,
            SlotMode::Split => target.home,
            SlotMode::Grants => target.home.saturating_sub(target.lent) + target.borrowed,
        }
    }

    /// The slots of a target that this VM may fill now.
    pub fn free(&self, now: Millis, index: usize) -> u32 {
        let target = &self.targets[index];
        if !target.active || target.blocked_until > now {
            return 0;
        }
        let usable = self.usable(index);
        let mut allowed = target.health.allowance(now, usable, &self.ejection);
        if target.needs_sample {
            allowed = allowed.min(1);
        }
        allowed.saturating_sub(target.busy)
    }

    /// Updates a target's place in its pools after any of its state has changed.
    pub fn refresh(&mut self, now: Millis, index: usize) {
        let free = self.free(now, index);
        let usable = self.usable(index);
        let target = &mut self.targets[index];
        let has_idle = target.borrowed > 0 && free > 0;
        target.idle_since = has_idle.then(|| target.idle_since.unwrap_or(now));
        let class = target.class();
        let refuses = target.refusal_streak >= REFUSALS_MAX;
        let healthy = target.active && !refuses && !target.health.is_ejected();
        let counted = (target.speed_class(), if healthy { usable } else { 0 });
        self.count(index, counted);
        let listed_class = Some(class).filter(|_| free > 0);
        if listed_class != self.targets[index].listed_class {
            self.unlist(index);
            self.list(index, listed_class);
        }
    }

    /// The less loaded of two random targets of a pool, by this VM's own attempts.
    pub fn choose_two(&self, pool: usize, random: &mut Rng) -> Option<usize> {
        let one = self.pools[pool].any(random)?;
        let other = self.pools[pool].any(random)?;
        let load =
            |index: usize| self.targets[index].busy * 1000 / self.targets[index].slots.max(1);
        Some(if load(other) < load(one) { other } else { one })
    }

    /// The fastest target of a pool with an idle home slot to lend to a VM whose own free slots are
    /// of `speed_class`.
    pub fn lendable(&self, now: Millis, pool: usize, speed_class: usize) -> Option<usize> {
        let may_lend = |&&index: &&usize| {
            let target = &self.targets[index];
            !target.health.is_suspect() && target.lendable(self.free(now, index)) > 0
        };
        let pool = &self.pools[pool];
        (0..=speed_class.saturating_sub(CLEARLY_FASTER)).find_map(|class| {
            pool.free_in_class(class).iter().take(LEND_SCAN_MAX).find(may_lend).copied()
        })
    }

    /// The share of suspect targets in the target's first pool.
    pub fn suspect_share(&self, index: usize) -> f64 {
        let Some(listing) = self.targets[index].listings.first() else { return 0.0 };
        let in_pool = |target: &&Target| {
            target.active && target.listings.iter().any(|other| other.pool == listing.pool)
        };
        let suspects =
            self.targets.iter().filter(in_pool).filter(|target| target.health.is_suspect());
        suspects.count() as f64 / self.pools[listing.pool].members.max(1) as f64
    }

    fn index(&mut self, id: &str) -> usize {
        if let Some(&index) = self.by_id.get(id) {
            return index;
        }
        let target = Target::new(id, hash(id.as_bytes()));
        let reusable = |old: &Target| old.busy == 0 && !self.by_id.contains_key(old.id.as_ref());
        let index = self.targets.iter().position(reusable).unwrap_or(self.targets.len());
        self.by_id.insert(id.to_owned(), index);
        self.by_hash.insert(target.hash, index);
        if index == self.targets.len() {
            self.targets.push(target);
        } else {
            self.unlist(index);
            self.count(index, (0, 0));
            self.targets[index] = target;
        }
        index
    }

    fn forget_removed(&mut self, document: &Document, domain: &str) {
        let here = document.targets.iter().filter(|target| target.domain == domain);
        let known = here.map(|target| target.id.as_str()).collect::<BTreeSet<_>>();
        self.by_id.retain(|id, _| known.contains(id.as_str()));
        let targets = &self.targets;
        self.by_hash.retain(|_, &mut index| known.contains(targets[index].id.as_ref()));
    }

    /// Assigns every target to the pools that allow it.
    fn list_all(&mut self) {
        for index in 0..self.targets.len() {
            self.unlist(index);
            self.count(index, (0, 0));
            let id = &self.targets[index].id;
            let allows = |pool: &Pool| {
                pool.allowed.is_empty() || pool.allowed.iter().any(|name| **name == **id)
            };
            let pools = self.pools.iter().enumerate().filter(|(_, pool)| allows(pool));
            let listings = pools.map(|(pool, _)| Listing { pool, position: 0 }).collect();
            self.targets[index].listings = listings;
        }
        for (index, pool) in self.pools.iter_mut().enumerate() {
            let is_member =
                |target: &&Target| target.listings.iter().any(|listing| listing.pool == index);
            pool.members =
                self.targets.iter().filter(|target| target.active).filter(is_member).count();
        }
    }

    /// Sets the speed class and the slots that a target adds to its pools.
    fn count(&mut self, index: usize, to: (usize, u32)) {
        let target = &mut self.targets[index];
        let from = std::mem::replace(&mut target.counted, to);
        for listing in &target.listings {
            self.pools[listing.pool].change_usable(from.0, from.1, 0);
            self.pools[listing.pool].change_usable(to.0, 0, to.1);
        }
    }

    fn list(&mut self, index: usize, class: Option<usize>) {
        let Some(class) = class else { return };
        let target = &mut self.targets[index];
        target.listed_class = Some(class);
        for listing in &mut target.listings {
            listing.position = self.pools[listing.pool].list(class, index);
        }
    }

    fn unlist(&mut self, index: usize) {
        let Some(class) = self.targets[index].listed_class.take() else { return };
        for at in 0..self.targets[index].listings.len() {
            let Listing { pool, position } = self.targets[index].listings[at];
            let Some(moved) = self.pools[pool].unlist(class, position) else { continue };
            let listings = &mut self.targets[moved].listings;
            if let Some(listing) = listings.iter_mut().find(|listing| listing.pool == pool) {
                listing.position = position;
            }
        }
    }
}

/// The 32-bit FNV-1a hash of a name, which is the same on every VM.
pub fn hash(name: &[u8]) -> u32 {
    name.iter().fold(0x811c_9dc5, |hash, &byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
