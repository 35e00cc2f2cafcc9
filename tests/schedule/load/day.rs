//! A heavy day: who calls, what the jobs are, which targets there are and what goes wrong with them.

use fastrand::Rng;

/// A kind of job.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub name: &'static str,
    /// Its share of all jobs.
    pub share: f64,
    /// What a mean job is worth when it is on time.
    pub worth: f64,
    pub priority: u32,
    /// The mean number of tasks, and the most.
    pub width: (f64, f64),
    /// How long a task lasts at slowness 1 in the mean, in milliseconds, and at most.
    pub lasts: (f64, f64),
    /// The share of jobs whose data is on one rack.
    pub with_data: f64,
}

pub const KINDS: [Kind; 3] = [
    Kind {
        name: "check",
        share: 34.4,
        worth: 0.0291,
        priority: 0,
        width: (8.0, 32.0),
        lasts: (60.0, 240.0),
        with_data: 0.1,
    },
    Kind {
        name: "quote",
        share: 6.25,
        worth: 0.16,
        priority: 2,
        width: (4.0, 16.0),
        lasts: (900.0, 3600.0),
        with_data: 0.0,
    },
    Kind {
        name: "slip",
        share: 100.0,
        worth: 0.01,
        priority: 1,
        width: (2.0, 8.0),
        lasts: (200.0, 800.0),
        with_data: 0.0,
    },
];

/// How far widths, times and declared times spread, as standard deviations of logarithms.
const SPREAD: f64 = 0.4;

/// The same for the cores of a task.
const CPU_SPREAD: f64 = 0.2;

/// A deployment under load.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub name: &'static str,
    /// Cores of a target of the common size; every third has half as much again.
    pub cores: u64,
    /// How slow targets are, in turn.
    pub slowness: &'static [f64],
    /// The mean of a task's cores in thousandths, and the most.
    pub cpu: (f64, f64),
    pub far_factor: f64,
    /// Jobs a second from each domain.
    pub rates: [f64; 3],
}

pub const BRISA: Site = Site {
    name: "brisa",
    cores: 16,
    slowness: &[0.7, 0.7, 1.7],
    cpu: (6800.0, 10_000.0),
    far_factor: 2.0,
    rates: [53.0, 55.1, 46.5],
};

pub const ASSOCIATION: Site = Site {
    name: "association",
    cores: 32,
    slowness: &[0.55, 1.2, 1.2, 1.2],
    cpu: (14_000.0, 20_000.0),
    far_factor: 3.0,
    rates: [46.2, 47.6, 60.8],
};

pub const DOMAINS: usize = 3;
pub const TARGETS: usize = 48;
const PER_DOMAIN: usize = TARGETS / DOMAINS;
const PER_RACK: usize = 8;
const RACKS: usize = TARGETS / PER_RACK;

/// When the day ends, in milliseconds.
pub const END: u64 = 18_000;

/// What goes wrong with some targets for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// They are gone.
    Gone,
    /// Their tasks make no progress.
    Hangs,
    /// They are that many times slower.
    Slow(f64),
}

/// A span with trouble, in milliseconds, and every how many targets have it.
#[derive(Clone, Copy, Debug)]
pub struct Spell {
    pub from: u64,
    pub to: u64,
    pub trouble: Trouble,
    pub every: usize,
    /// The first target that has it.
    pub first: usize,
}

pub const SPELLS: [Spell; 3] = [
    Spell { from: 5000, to: 8700, trouble: Trouble::Gone, every: 7, first: 3 },
    Spell { from: 8500, to: 13_200, trouble: Trouble::Hangs, every: 10, first: 5 },
    Spell { from: 12_000, to: 17_000, trouble: Trouble::Slow(4.6), every: 5, first: 1 },
];

impl Spell {
    pub fn targets(&self) -> impl Iterator<Item = usize> + use<> {
        (self.first..TARGETS).step_by(self.every)
    }
}

impl Site {
    pub fn target_cores(&self, target: usize) -> u64 {
        if target % 3 == 2 { self.cores * 3 / 2 } else { self.cores }
    }

    pub fn target_slowness(&self, target: usize) -> f64 {
        self.slowness[target % self.slowness.len()]
    }
}

pub const fn domain_of(target: usize) -> usize {
    target / PER_DOMAIN
}

pub const fn domain_of_rack(rack: usize) -> usize {
    domain_of(rack * PER_RACK)
}

pub const fn rack_of(target: usize) -> usize {
    target / PER_RACK
}

/// A job as its caller sends it.
#[derive(Clone, Debug)]
pub struct Job {
    pub at: u64,
    pub domain: usize,
    pub kind: usize,
    pub width: u32,
    /// Thousandths of a core of each task.
    pub cpu: u64,
    /// How long each task lasts at slowness 1.
    pub lasts: u64,
    pub declared: u64,
    pub rack: Option<usize>,
}

impl Job {
    /// When it should have ended.
    pub fn objective(&self) -> u64 {
        self.at + self.lasts * 8 / 5 + 60
    }

    /// When its caller leaves.
    pub fn leaves(&self) -> u64 {
        self.at + 3 * (self.objective() - self.at)
    }

    /// Its work in thousandths of a core times milliseconds.
    pub fn work(&self) -> f64 {
        f64::from(self.width) * self.cpu as f64 * self.lasts as f64
    }
}

/// All jobs of a day, in the order of their times.
pub fn jobs(site: &Site, seed: u64) -> Vec<Job> {
    let mut random = Rng::with_seed(seed);
    let mut jobs = Vec::new();
    for (domain, rate) in site.rates.into_iter().enumerate() {
        for (number, kind) in KINDS.iter().enumerate() {
            let shares = KINDS.iter().map(|kind| kind.share).sum::<f64>();
            let rate = rate * kind.share / shares / 1000.0;
            let mut at = 0.0;
            loop {
                at += -random.f64().max(1e-9).ln() / (rate * surge(at as u64, number));
                if at >= END as f64 {
                    break;
                }
                jobs.push(job(site, &mut random, at as u64, domain, number));
            }
        }
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}

/// How much the load is above the usual: 1.3 times for all kinds, and 1.8 times for one, for 4 s each.
fn surge(at: u64, kind: usize) -> f64 {
    let all = if (2500..6500).contains(&at) { 1.3 } else { 1.0 };
    let one = if kind == 2 && (4000..8300).contains(&at) { 1.8 } else { 1.0 };
    all * one
}

fn job(site: &Site, random: &mut Rng, at: u64, domain: usize, number: usize) -> Job {
    let kind = &KINDS[number];
    let lasts = spread(random, kind.lasts.0, SPREAD).min(kind.lasts.1);
    let rack = (random.f64() < kind.with_data).then(|| random_rack(random));
    Job {
        at,
        domain,
        kind: number,
        width: spread(random, kind.width.0, SPREAD).round().clamp(1.0, kind.width.1) as u32,
        cpu: spread(random, site.cpu.0, CPU_SPREAD).min(site.cpu.1) as u64,
        lasts: lasts.max(1.0) as u64,
        declared: spread(random, lasts, SPREAD).max(1.0) as u64,
        rack,
    }
}

/// A rack, the first more often than the last.
fn random_rack(random: &mut Rng) -> usize {
    let weight = |rack: usize| ((rack + 1) as f64).sqrt().recip();
    let mut left = random.f64() * (0..RACKS).map(weight).sum::<f64>();
    for rack in 0..RACKS {
        left -= weight(rack);
        if left < 0.0 {
            return rack;
        }
    }
    RACKS - 1
}

/// A logarithmically normal number around `mean`.
fn spread(random: &mut Rng, mean: f64, deviation: f64) -> f64 {
    let normal = (0..12).map(|_| random.f64()).sum::<f64>() - 6.0;
    mean * (normal * deviation - deviation * deviation / 2.0).exp()
}
