//! The share of the worth of a day's jobs that their callers got.

use std::fmt;

use super::day::{DOMAINS, Job, KINDS};

/// The share of its worth that a job earns if it ends after its objective but before its deadline.
const LATE_SHARE: f64 = 0.2;

/// The largest worth of a job, as a multiple of the worth of a job of mean size.
const LARGE_MAX: f64 = 4.0;

/// The share of the time until its deadline after which a refusal comes late: the caller could have gone elsewhere in
/// that time.
const LATE_REFUSAL: f64 = 0.5;

/// How a job ended, and when in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Done(u64),
    Refused(u64),
}

/// The worth of some jobs, and the part of it that was earned.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    owed: f64,
    earned: f64,
}

impl Tally {
    /// The share of the worth that was earned.
    pub fn share(&self) -> f64 {
        self.earned / self.owed.max(f64::MIN_POSITIVE)
    }

    fn add(&mut self, owed: f64, earned: f64) {
        self.owed += owed;
        self.earned += earned;
    }
}

/// The worth of a day's jobs in total, by kind and by domain.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub all: Tally,
    pub kinds: [Tally; KINDS.len()],
    pub domains: [Tally; DOMAINS],
    /// The largest tenth of the jobs of each kind.
    pub large: [Tally; KINDS.len()],
    /// Jobs that were refused.
    pub refused: u32,
    /// Refused jobs whose refusal came late.
    pub refused_late: u32,
}

impl Report {
    /// A report on jobs and how each of them ended, if it did.
    pub fn new(jobs: &[Job], ends: &[Option<End>]) -> Self {
        let mut report = Self::default();
        for (index, kind) in KINDS.iter().enumerate() {
            let of_kind = jobs.iter().zip(ends).filter(|(job, _)| job.kind == index);
            let mut works = of_kind.clone().map(|(job, _)| job.work()).collect::<Vec<_>>();
            works.sort_by(f64::total_cmp);
            let mean = works.iter().sum::<f64>() / works.len() as f64;
            let large = works[works.len() * 9 / 10];
            for (job, end) in of_kind {
                let owed = kind.worth * (0.3 + 0.7 * job.work() / mean).min(LARGE_MAX);
                let earned = owed * timeliness(job, *end);
                report.count_refusal(job, *end);
                report.all.add(owed, earned);
                report.kinds[index].add(owed, earned);
                report.domains[job.domain].add(owed, earned);
                if job.work() >= large {
                    report.large[index].add(owed, earned);
                }
            }
        }
        report
    }

    /// The share of refusals that came late.
    pub fn late_refusals(&self) -> f64 {
        f64::from(self.refused_late) / f64::from(self.refused.max(1))
    }

    fn count_refusal(&mut self, job: &Job, end: Option<End>) {
        let Some(End::Refused(at)) = end else { return };
        let waited = (at - job.at) as f64;
        let timeout = (job.deadline() - job.at) as f64;
        self.refused += 1;
        self.refused_late += u32::from(waited > LATE_REFUSAL * timeout);
    }
}

/// The share of its worth that a job earns by its end.
fn timeliness(job: &Job, end: Option<End>) -> f64 {
    match end {
        Some(End::Done(end)) if end <= job.objective() => 1.0,
        Some(End::Done(end)) if end <= job.deadline() => LATE_SHARE,
        _ => 0.0,
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "worth {:.3}", self.all.share())?;
        for (index, kind) in KINDS.iter().enumerate() {
            let (all, large) = (self.kinds[index].share(), self.large[index].share());
            write!(f, ", {} {all:.2} (large {large:.2})", kind.name)?;
        }
        let domains = self.domains.iter().map(|tally| format!("{:.2}", tally.share()));
        write!(f, ", domains {}", domains.collect::<Vec<_>>().join(" "))?;
        write!(f, ", refused {}, late {:.2}", self.refused, self.late_refusals())
    }
}
