//! The heavy days under virtual time: the real decisions of one owner a domain, what callers get from them, and
//! what they would get from one scheduler that sees every target, and first come first served.

mod baseline;
mod day;
mod report;

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::Arc;

use day::{ASSOCIATION, BRISA, DOMAINS, END, Job, KINDS, SPELLS, Site, TARGETS, Trouble};
use gypsumkeel::batch::{Outcome, Spec};
use gypsumkeel::clock::Millis;
use gypsumkeel::route::{self, Candidate, Demand};
use gypsumkeel::schedule::{Listing, Load, Rules};
use report::{End, Report};

use super::model::{self, Fault, Model};

/// How often a VM tells the others how busy it is, in milliseconds.
const TELL_EVERY: u64 = 100;

/// The time between the moments at which arrivals and faults are looked at, in milliseconds.
const STEP: u64 = 2;

fn target(site: &Site, number: usize) -> Listing {
    let rack = format!("r{}", day::rack_of(number));
    let mut listing = model::listing(&format!("t{number}"), site.target_cores(number), &rack);
    listing.capacity.memory = 128_000;
    listing.domain = Arc::from(format!("d{}", day::domain_of(number)));
    listing.labels = vec![format!("k{}", number % site.slowness.len().min(3))];
    listing
}

fn spec(number: usize, job: &Job) -> Spec {
    let mut spec = model::spec(&format!("j{number}"), job.width, 1, job.declared);
    spec.queue = Arc::from(KINDS[job.kind].name);
    spec.steps[0].need.cpu = job.cpu;
    spec.steps[0].near_rack = job.rack.map(|rack| format!("r{rack}"));
    spec.terms.priority = KINDS[job.kind].priority;
    spec
}

/// A day that is being played by engines, one for each domain or one for all.
struct Play<'a> {
    site: &'a Site,
    jobs: &'a [Job],
    model: Model,
    told: Vec<Load>,
    /// The engines that each job was tried on, by the job's number.
    tried: BTreeMap<usize, Vec<usize>>,
    ends: Vec<Option<End>>,
}

impl<'a> Play<'a> {
    fn new(site: &'a Site, jobs: &'a [Job], engines: usize, seed: u64) -> Self {
        let listings = (0..TARGETS).map(|number| target(site, number)).collect::<Vec<_>>();
        let rules = Rules { far_factor: site.far_factor, ..model::RULES };
        let owner = |listing: &Listing| {
            let domain = listing.domain[1..].parse::<usize>().unwrap();
            domain * engines / DOMAINS
        };
        let mut model = Model::with_owners(engines, listings, rules, seed, owner);
        for (number, server) in model.servers.iter_mut().enumerate() {
            server.slowness = site.target_slowness(number);
        }
        let told = vec![Load::default(); engines];
        Self { site, jobs, model, told, tried: BTreeMap::new(), ends: vec![None; jobs.len()] }
    }

    fn play(mut self) -> Vec<Option<End>> {
        let mut next = 0;
        let mut now = 0;
        while now < END + 5000 {
            self.model.run(now.max(self.model.now));
            self.take_ends();
            if now % TELL_EVERY == 0 {
                self.tell();
            }
            self.trouble(now);
            while self.jobs.get(next).is_some_and(|job| job.at <= now) {
                self.submit(next);
                next += 1;
            }
            now += STEP;
        }
        self.ends
    }

    fn tell(&mut self) {
        let now = Millis(self.model.now);
        self.told = self.model.engines.iter().map(|engine| engine.load(now)).collect();
    }

    fn trouble(&mut self, now: u64) {
        for spell in SPELLS.iter().filter(|spell| spell.from == now || spell.to == now) {
            let begins = spell.from == now;
            for target in spell.targets() {
                let silent = Fault { silent: begins, ..Fault::default() };
                let hangs = Fault { hangs: begins, ..Fault::default() };
                match spell.trouble {
                    Trouble::Gone => {
                        if begins {
                            self.model.crash(now, target);
                        }
                        self.model.fault(now, target, silent);
                    }
                    Trouble::Hangs => self.model.fault(now, target, hangs),
                    Trouble::Slow(factor) => {
                        let factor = if begins { factor } else { 1.0 };
                        self.model.servers[target].slowness =
                            self.site.target_slowness(target) * factor;
                    }
                }
            }
        }
    }

    /// Hands a job to an engine that it was not tried on, if there is one.
    fn submit(&mut self, number: usize) {
        let job = &self.jobs[number];
        let (engines, now) = (self.model.engines.len(), Millis(self.model.now));
        let came_to = job.domain * engines / DOMAINS;
        let tried = self.tried.entry(number).or_default();
        let candidates = (0..engines).filter(|engine| !tried.contains(engine)).map(|engine| {
            let is_own = engine == came_to;
            let load =
                if is_own { self.model.engines[engine].load(now) } else { self.told[engine] };
            let home =
                job.rack.map_or(came_to, |rack| day::domain_of_rack(rack) * engines / DOMAINS);
            Candidate { vm: engine, load, is_near: engine == home }
        });
        let spec = spec(number, job);
        let demand = Demand::of(&spec, job.rack.map(|_| self.site.far_factor));
        let Some(chosen) = route::choose(candidates, demand) else { return };
        tried.push(chosen.vm);
        let patience = job.leaves().saturating_sub(now.0);
        let age = Millis(now.0 - job.at);
        self.model.submit_aged(chosen.vm, number as u64, spec, job.lasts, (age, Millis(patience)));
    }

    fn take_ends(&mut self) {
        for (engine, job) in std::mem::take(&mut self.model.ended) {
            let got = &self.model.got[&(engine, job)];
            match got.outcome {
                Outcome::Done => self.ends[job as usize] = Some(End::Done(got.at)),
                Outcome::Refused { .. } | Outcome::Moved => {
                    // This holds unless another engine takes it.
                    self.ends[job as usize] = Some(End::Refused(got.at));
                    self.submit(job as usize);
                }
                _ => {}
            }
        }
    }
}

/// What callers get in the mean of some days.
#[derive(Default)]
struct Mean {
    /// From one owner a domain.
    owners: f64,
    /// From one scheduler that sees every target.
    lone: f64,
    /// First come, first served.
    simple: f64,
}

fn mean(site: &Site, seeds: RangeInclusive<u64>) -> Mean {
    let mut mean = Mean::default();
    let weight = 1.0 / seeds.clone().count() as f64;
    for seed in seeds {
        let jobs = day::jobs(site, seed);
        let report = |name: &str, ends: &[Option<End>]| {
            let report = Report::new(&jobs, ends);
            println!("{} {seed} {name:>10}: {report}", site.name);
            report
        };
        let owners = report("owners", &Play::new(site, &jobs, DOMAINS, seed).play());
        let lone = report("lone", &Play::new(site, &jobs, 1, seed).play());
        let simple = report("first come", &baseline::play(site, &jobs, seed));
        mean.owners += weight * owners.all.share();
        mean.lone += weight * lone.all.share();
        mean.simple += weight * simple.all.share();
        check_parts(&owners);
    }
    mean
}

/// The share of refusals that may come late: what can't be served is to be refused at once, but a target that fails
/// may take the chance from a batch that had one.
const LATE_REFUSALS_MAX: f64 = 0.05;

/// No kind is starved, and no domain's callers are served much worse than the others'.
fn check_parts(report: &Report) {
    let all = report.all.share();
    for tally in report.kinds.iter().chain(&report.domains) {
        assert!(tally.share() >= 0.5 * all, "a part gets {:.3} of {all:.3}", tally.share());
    }
    let late = report.late_refusals();
    assert!(late <= LATE_REFUSALS_MAX, "{late:.2} of {} refusals came late", report.refused);
}

fn check(site: &Site, seeds: RangeInclusive<u64>) {
    let Mean { owners, lone, simple } = mean(site, seeds);
    println!("{}: owners {owners:.3}, lone {lone:.3}, first come {simple:.3}", site.name);
    assert!(owners >= 0.9 * lone, "{owners:.3} against {lone:.3} of one scheduler");
    assert!(owners > simple, "{owners:.3} against {simple:.3} of first come first served");
}

#[test]
fn heavy_days_of_the_association() {
    check(&ASSOCIATION, 1..=2);
}

#[test]
fn heavy_days_of_brisa() {
    check(&BRISA, 1..=2);
}

#[test]
#[ignore = "a measurement: cargo test --release --test schedule -- --ignored --nocapture heavy"]
fn heavy_days_with_more_seeds() {
    check(&ASSOCIATION, 1..=10);
    check(&BRISA, 1..=10);
}
