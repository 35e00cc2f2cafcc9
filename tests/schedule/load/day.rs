//! A day of heavy load: the jobs and when they arrive, the targets, and the faults of targets.

use fastrand::Rng;

/// A kind of job.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub name: &'static str,
    /// Its share of all jobs.
    pub share: f64,
    /// The worth of a job of mean size that ends within its objective.
    pub worth: f64,
    pub priority: u32,
    /// The mean and the largest number of tasks.
    pub width: (f64, f64),
    /// The mean and the longest duration of a task at slowness 1, in milliseconds.
    pub duration: (f64, f64),
    /// The share of jobs whose data is on one rack.
    pub data_share: f64,
}

pub const KINDS: [Kind; 3] = [
    Kind {
        name: "check",
        share: 34.4,
        worth: 0.0291,
        priority: 0,
        width: (8.0, 32.0),
        duration: (60.0, 240.0),
        data_share: 0.1,
    },
    Kind {
        name: "quote",
        share: 6.25,
        worth: 0.16,
        priority: 2,
        width: (4.0, 16.0),
        duration: (900.0, 3600.0),
        data_share: 0.0,
    },
    Kind {
        name: "slip",
        share: 100.0,
        worth: 0.01,
        priority: 1,
        width: (2.0, 8.0),
        duration: (200.0, 800.0),
        data_share: 0.0,
    },
];

/// The standard deviation of the logarithms of widths, durations and estimates.
const SPREAD: f64 = 0.4;

/// The standard deviation of the logarithms of the cores of a task.
const CPU_SPREAD: f64 = 0.2;

/// A deployment under load.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub name: &'static str,
    /// Cores of a target; every third target has half as many again.
    pub cores: u64,
    /// The slowness of the targets, repeated in turn.
    pub slowness: &'static [f64],
    /// The mean and the largest share of a task, in thousandths of a core.
    pub cpu: (f64, f64),
    pub far_factor: f64,
    /// The arrival rate of jobs in each domain, per second.
    pub rates: [f64; 3],
    /// The share of tasks that last longer than the others of their job, and by which factor.
    pub tail: (f64, f64),
    /// How far the arrival rates swing around their means, as a share of the mean. The domains follow each other.
    pub swing: f64,
}

pub const BRISA: Site = Site {
    name: "brisa",
    cores: 16,
    slowness: &[0.7, 0.7, 1.7],
    cpu: (6800.0, 10_000.0),
    far_factor: 2.0,
    rates: [53.0, 55.1, 46.5],
    tail: (0.0, 1.0),
    swing: 0.0,
};

pub const ASSOCIATION: Site = Site {
    name: "association",
    cores: 32,
    slowness: &[0.55, 1.2, 1.2, 1.2],
    cpu: (14_000.0, 20_000.0),
    far_factor: 3.0,
    rates: [46.2, 47.6, 60.8],
    tail: (0.0, 1.0),
    swing: 0.0,
};

/// Targets of one speed, tasks with a long tail, and demand that swings.
pub const UNEVEN: Site = Site {
    name: "uneven",
    cores: 16,
    slowness: &[1.0],
    cpu: (8000.0, 12_000.0),
    far_factor: 1.5,
    rates: [38.0, 36.0, 33.0],
    tail: (0.03, 7.0),
    swing: 0.55,
};

/// Large targets of two speeds that run many tasks at a time.
pub const LARGE: Site = Site {
    name: "large",
    cores: 64,
    slowness: &[0.7, 0.7, 1.7],
    cpu: (32_000.0, 48_000.0),
    far_factor: 2.0,
    rates: [42.0, 40.0, 36.0],
    tail: (0.0, 1.0),
    swing: 0.27,
};

/// The period in which arrival rates swing, in milliseconds.
const SWING_PERIOD: f64 = 17_000.0;

/// How far a domain is ahead of the one before it, as a share of the period.
const SWING_LAG: f64 = 0.08;

pub const DOMAINS: usize = 3;
pub const TARGETS: usize = 48;
const PER_DOMAIN: usize = TARGETS / DOMAINS;
const PER_RACK: usize = 8;
const RACKS: usize = TARGETS / PER_RACK;

/// When the last jobs arrive, in milliseconds.
pub const END: u64 = 18_000;

/// A fault that some targets have for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// They crash and are unreachable.
    Down,
    /// Their tasks make no progress.
    Stalls,
    /// Their tasks take this many times as long.
    Slow(f64),
}

/// A period in which some targets have a fault; its start and end are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Incident {
    pub from: u64,
    pub to: u64,
    pub trouble: Trouble,
    /// The distance between the indexes of affected targets.
    pub every: usize,
    /// The index of the first affected target.
    pub first: usize,
}

pub const INCIDENTS: [Incident; 3] = [
    Incident { from: 5000, to: 8700, trouble: Trouble::Down, every: 7, first: 3 },
    Incident { from: 8500, to: 13_200, trouble: Trouble::Stalls, every: 10, first: 5 },
    Incident { from: 12_000, to: 17_000, trouble: Trouble::Slow(4.6), every: 5, first: 1 },
];

impl Incident {
    /// The indexes of the affected targets.
    pub fn targets(&self) -> impl Iterator<Item = usize> + use<> {
        (self.first..TARGETS).step_by(self.every)
    }
}

impl Site {
    pub fn target_cores(&self, target: usize) -> u64 {
        if target % 3 == 2 { self.cores * 3 / 2 } else { self.cores }
    }

    /// The factor on the arrival rates of a domain at a time in milliseconds.
    fn wave(&self, at: f64, domain: usize) -> f64 {
        let phase = at / SWING_PERIOD + domain as f64 * SWING_LAG;
        1.0 + self.swing * (std::f64::consts::TAU * phase).sin()
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

/// A job of one caller.
#[derive(Clone, Debug)]
pub struct Job {
    /// When it arrives, in milliseconds.
    pub at: u64,
    /// The domain where it arrives.
    pub domain: usize,
    /// The index of its kind in `KINDS`.
    pub kind: usize,
    /// How many tasks it has.
    pub width: u32,
    /// Thousandths of a core that each task needs.
    pub cpu: u64,
    /// How long each task really takes at slowness 1, in milliseconds.
    pub duration: u64,
    /// How long each task takes by the caller's estimate, in milliseconds.
    pub estimate: u64,
    /// The rack of its data.
    pub rack: Option<usize>,
    /// The indices of the tasks that last longer than the others, and how long they really take at slowness 1.
    pub long_tasks: Vec<(u32, u64)>,
}

impl Job {
    /// The time at which it is due, in milliseconds.
    pub fn objective(&self) -> u64 {
        self.at + self.longest() * 8 / 5 + 60
    }

    /// How long its longest task really takes at slowness 1, in milliseconds.
    fn longest(&self) -> u64 {
        self.long_tasks.iter().map(|&(_, duration)| duration).max().unwrap_or(self.duration)
    }

    /// The time at which its caller gives up, in milliseconds.
    pub fn deadline(&self) -> u64 {
        self.at + 3 * (self.objective() - self.at)
    }

    /// Its work in thousandths of a core times milliseconds.
    pub fn work(&self) -> f64 {
        let extra = self.long_tasks.iter().map(|(_, duration)| duration - self.duration);
        let total = u64::from(self.width) * self.duration + extra.sum::<u64>();
        self.cpu as f64 * total as f64
    }
}

/// All jobs of a day, in the order in which they arrive.
pub fn jobs(site: &Site, seed: u64) -> Vec<Job> {
    let mut random = Rng::with_seed(seed);
    let mut jobs = Vec::new();
    for (domain, rate) in site.rates.into_iter().enumerate() {
        for (index, kind) in KINDS.iter().enumerate() {
            let shares = KINDS.iter().map(|kind| kind.share).sum::<f64>();
            let rate = rate * kind.share / shares / 1000.0;
            let mut at = 0.0;
            loop {
                let factor = surge(at as u64, index) * site.wave(at, domain);
                at += -random.f64().max(1e-9).ln() / (rate * factor);
                if at >= END as f64 {
                    break;
                }
                jobs.push(job(site, &mut random, at as u64, domain, index));
            }
        }
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}

/// The factor on the arrival rate of a kind: 1.3 for every kind for 4 s, and 1.8 for one kind for 4.3 s.
fn surge(at: u64, kind: usize) -> f64 {
    let all = if (2500..6500).contains(&at) { 1.3 } else { 1.0 };
    let one = if kind == 2 && (4000..8300).contains(&at) { 1.8 } else { 1.0 };
    all * one
}

fn job(site: &Site, random: &mut Rng, at: u64, domain: usize, index: usize) -> Job {
    let kind = &KINDS[index];
    let duration = spread(random, kind.duration.0, SPREAD).min(kind.duration.1);
    let rack = (random.f64() < kind.data_share).then(|| random_rack(random));
    let mut job = Job {
        at,
        domain,
        kind: index,
        width: spread(random, kind.width.0, SPREAD).round().clamp(1.0, kind.width.1) as u32,
        cpu: spread(random, site.cpu.0, CPU_SPREAD).min(site.cpu.1) as u64,
        duration: duration.max(1.0) as u64,
        estimate: spread(random, duration, SPREAD).max(1.0) as u64,
        rack,
        long_tasks: Vec::new(),
    };
    let (share, factor) = site.tail;
    if share > 0.0 {
        let long = (0..job.width).filter(|_| random.f64() < share);
        job.long_tasks = long.map(|task| (task, (job.duration as f64 * factor) as u64)).collect();
    }
    job
}

/// A random rack; racks with a lower index are more likely.
fn random_rack(random: &mut Rng) -> usize {
    let weight = |rack: usize| ((rack + 1) as f64).sqrt().recip();
    let mut rest = random.f64() * (0..RACKS).map(weight).sum::<f64>();
    for rack in 0..RACKS {
        rest -= weight(rack);
        if rest < 0.0 {
            return rack;
        }
    }
    RACKS - 1
}

/// A random number from a log-normal distribution; `deviation` is the standard deviation of its logarithm.
fn spread(random: &mut Rng, mean: f64, deviation: f64) -> f64 {
    let normal = (0..12).map(|_| random.f64()).sum::<f64>() - 6.0;
    mean * (normal * deviation - deviation * deviation / 2.0).exp()
}
