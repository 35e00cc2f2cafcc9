//! Pools: the targets that may run the same services, grouped into classes of measured speed.

use fastrand::Rng;

/// The number of speed classes. Class 0 is the fastest; each is 2^(1/4) times slower than the one
/// before.
pub const CLASSES: usize = 32;
/// The class of targets whose last task failed; they are used only when no other is free.
pub const SUSPECT: usize = CLASSES - 1;
/// The logarithm of the slowness in the middle of class 0.
const FASTEST: f64 = -1.4;
/// The width of a class, as a logarithm.
const WIDTH: f64 = std::f64::consts::LN_2 / 4.0;

/// The speed class of a target, by the logarithm of its slowness.
pub fn class_of(slowness: f64) -> usize {
    let class = ((slowness - FASTEST) / WIDTH).round();
    (class.max(0.0) as usize).min(SUSPECT - 1)
}

/// How many times longer tasks run in a class than on a target of mean speed.
pub fn slowness_of(class: usize) -> f64 {
    (FASTEST + WIDTH * class as f64).exp()
}

/// The targets of one pool with free slots, and the pool's capacity. Targets are given by index.
#[derive(Debug, Default)]
pub struct Pool {
    /// The ids of the targets that may run the pool's services, sorted; empty for all targets.
    pub allowed: Vec<String>,
    /// The hash of the allowed ids, which is the same on every VM.
    pub hash: u32,
    /// The number of active targets of the local domain.
    pub members: usize,
    /// The number of healthy targets on which this VM has slots.
    healthy: usize,
    /// The targets with free slots, by class.
    free: [Vec<usize>; CLASSES],
    /// Bit N is set while class N has a target with free slots.
    free_classes: u32,
    /// This VM's slots of healthy targets, free or not, by speed class.
    usable: [u32; CLASSES],
}

impl Pool {
    /// Creates a pool without targets.
    pub fn new(allowed: Vec<String>, hash: u32) -> Self {
        Self { allowed, hash, ..Self::default() }
    }

    /// Adds a target with free slots to a class and returns its position there.
    pub fn list(&mut self, class: usize, target: usize) -> usize {
        self.free[class].push(target);
        self.free_classes |= 1 << class;
        self.free[class].len() - 1
    }

    /// Removes a target from its class and returns the one that has moved to its position.
    pub fn unlist(&mut self, class: usize, position: usize) -> Option<usize> {
        self.free[class].swap_remove(position);
        if self.free[class].is_empty() {
            self.free_classes &= !(1 << class);
        }
        self.free[class].get(position).copied()
    }

    /// Changes one target's share of the usable slots of a class.
    pub fn change_usable(&mut self, class: usize, from: u32, to: u32) {
        self.usable[class] = self.usable[class] - from + to;
        self.healthy = self.healthy + usize::from(to > 0) - usize::from(from > 0);
    }

    /// The capacity of this VM's slots, in slots of mean speed.
    pub fn capacity(&self) -> f64 {
        let usable = self.usable.iter().enumerate().filter(|&(_, &slots)| slots > 0);
        usable.map(|(class, &slots)| f64::from(slots) / slowness_of(class)).sum()
    }

    /// Whether most of the pool's targets are unhealthy or have no slot for this VM.
    pub const fn is_degraded(&self) -> bool {
        self.healthy * 2 < self.members
    }

    /// The fastest class in which this VM has a slot, free or not.
    pub fn best_class(&self) -> usize {
        self.usable.iter().position(|&slots| slots > 0).unwrap_or(SUSPECT)
    }

    /// The fastest class with a free slot.
    pub const fn best_free_class(&self) -> usize {
        self.free_classes.trailing_zeros() as usize
    }

    /// Whether no target has a free slot.
    pub const fn is_full(&self) -> bool {
        self.free_classes == 0
    }

    /// The targets of a class with free slots.
    pub fn free_in_class(&self, class: usize) -> &[usize] {
        &self.free[class]
    }

    /// A random target with a free slot, of any speed.
    pub fn any(&self, random: &mut Rng) -> Option<usize> {
        let total = self.free.iter().map(Vec::len).sum::<usize>();
        let mut nth = random.usize(..total.max(1));
        for class in &self.free {
            if let Some(&target) = class.get(nth) {
                return Some(target);
            }
            nth -= class.len();
        }
        None
    }

    /// A random target of the fastest class with a free slot.
    pub fn fastest(&self, random: &mut Rng) -> Option<usize> {
        if self.free_classes == 0 {
            return None;
        }
        let class = self.free_classes.trailing_zeros() as usize;
        random.choice(&self.free[class]).copied()
    }
}
