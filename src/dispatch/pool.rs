//! Pools: the targets that may run the same services, ordered by measured speed.

use fastrand::Rng;

/// Classes of speed; the fastest is 0. Each is 2^(1/4) times as slow as the one before.
pub const CLASSES: usize = 32;
/// The class of targets whose last task failed: used when nothing else is free.
pub const SUSPECT: usize = CLASSES - 1;
/// The logarithm of the slowness at the middle of class 0.
const FASTEST: f64 = -1.4;
/// The width of a class, as a logarithm.
const WIDTH: f64 = std::f64::consts::LN_2 / 4.0;

/// The class of a target with this logarithm of its slowness.
pub fn class_of(slowness: f64) -> usize {
    let class = ((slowness - FASTEST) / WIDTH).round();
    (class.max(0.0) as usize).min(SUSPECT - 1)
}

/// How much longer than on a mean target a task takes in a class.
pub fn slowness_of(class: usize) -> f64 {
    (FASTEST + WIDTH * class as f64).exp()
}

/// The targets of one pool that have free slots, and what the pool can carry.
#[derive(Debug, Default)]
pub struct Pool {
    /// The ids that may run its services; empty for all.
    pub allowed: Vec<String>,
    /// A short name of the pool that is the same on every VM.
    pub hash: u32,
    /// Its targets in the own domain.
    pub members: usize,
    /// Those of them that this VM may use and that are not ejected.
    sound: usize,
    free: [Vec<usize>; CLASSES],
    /// Bit N is set when class N has a free target.
    some: u32,
    /// The slots of sound targets that this VM may use, by class.
    usable: [u32; CLASSES],
}

impl Pool {
    /// A pool without targets.
    pub fn new(allowed: Vec<String>, hash: u32) -> Self {
        Self { allowed, hash, ..Self::default() }
    }

    /// Lists a target under a class and gives its position.
    pub fn list(&mut self, class: usize, target: usize) -> usize {
        self.free[class].push(target);
        self.some |= 1 << class;
        self.free[class].len() - 1
    }

    /// Takes a target off its class; gives the one that has moved to its position.
    pub fn unlist(&mut self, class: usize, position: usize) -> Option<usize> {
        self.free[class].swap_remove(position);
        if self.free[class].is_empty() {
            self.some &= !(1 << class);
        }
        self.free[class].get(position).copied()
    }

    /// Changes the slots that this VM may use in a class.
    pub fn change_usable(&mut self, class: usize, from: u32, to: u32) {
        self.usable[class] = self.usable[class] - from + to;
        self.sound = self.sound + usize::from(to > 0) - usize::from(from > 0);
    }

    /// Tasks of mean size that the pool ends in the time of one, on the slots that this VM may use.
    pub fn capacity(&self) -> f64 {
        let usable = self.usable.iter().enumerate().filter(|&(_, &slots)| slots > 0);
        usable.map(|(class, &slots)| f64::from(slots) / slowness_of(class)).sum()
    }

    /// Whether most of its targets are gone for now.
    pub const fn is_broken(&self) -> bool {
        self.sound * 2 < self.members
    }

    /// The fastest class of which this VM may use a slot, free or not.
    pub fn best(&self) -> usize {
        self.usable.iter().position(|&slots| slots > 0).unwrap_or(SUSPECT)
    }

    /// The fastest class with a free slot.
    pub const fn best_free(&self) -> usize {
        self.some.trailing_zeros() as usize
    }

    /// Whether no target has a free slot.
    pub const fn is_full(&self) -> bool {
        self.some == 0
    }

    /// The free targets of a class.
    pub fn class(&self, class: usize) -> &[usize] {
        &self.free[class]
    }

    /// Any free target, whatever its speed.
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

    /// A free target of the fastest class.
    pub fn fastest(&self, random: &mut Rng) -> Option<usize> {
        if self.some == 0 {
            return None;
        }
        let class = self.some.trailing_zeros() as usize;
        random.choice(&self.free[class]).copied()
    }
}
