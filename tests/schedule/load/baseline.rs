//! First come, first served: one queue before all targets, none refused, no target known to be slow or stuck.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use fastrand::Rng;

use super::day::{Job, SPELLS, Site, TARGETS, Trouble};
use super::report::End;

/// A task that runs.
#[derive(Clone, Copy, Debug)]
struct Running {
    job: usize,
    target: usize,
}

/// The targets and the queue.
struct Queue<'a> {
    site: &'a Site,
    jobs: &'a [Job],
    now: u64,
    free: Vec<u64>,
    waiting: VecDeque<usize>,
    /// Tasks of each job that have not ended.
    open: Vec<u32>,
    running: Vec<Running>,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    random: Rng,
}

/// Plays the jobs; gives how each ended.
pub fn play(site: &Site, jobs: &[Job], seed: u64) -> Vec<Option<End>> {
    let mut queue = Queue {
        site,
        jobs,
        now: 0,
        free: (0..TARGETS).map(|target| site.target_cores(target) * 1000).collect(),
        waiting: VecDeque::new(),
        open: jobs.iter().map(|job| job.width).collect(),
        running: Vec::new(),
        ends: BinaryHeap::new(),
        random: Rng::with_seed(seed),
    };
    let mut ends = vec![None; jobs.len()];
    for (number, job) in jobs.iter().enumerate() {
        queue.run_until(job.at, &mut ends);
        queue.waiting.extend((0..job.width).map(|_| number));
        queue.start_all();
    }
    queue.run_until(u64::MAX, &mut ends);
    ends
}

impl Queue<'_> {
    fn run_until(&mut self, until: u64, ends: &mut [Option<End>]) {
        while let Some(&Reverse((at, number))) = self.ends.peek() {
            if at > until {
                break;
            }
            self.ends.pop();
            self.now = at;
            let Running { job, target } = self.running[number];
            self.free[target] += self.jobs[job].cpu;
            // A task that ends when its caller has left was stuck, and brings nothing.
            if at < self.jobs[job].leaves() {
                self.open[job] -= 1;
            }
            if self.open[job] == 0 {
                ends[job] = Some(End::Done(at));
            }
            self.start_all();
        }
        self.now = until;
    }

    fn start_all(&mut self) {
        while let Some(&job) = self.waiting.front() {
            if self.now >= self.jobs[job].leaves() {
                self.waiting.pop_front();
                continue;
            }
            let need = self.jobs[job].cpu;
            let with_room = (0..TARGETS).filter(|&target| self.free[target] >= need);
            let with_room =
                with_room.filter(|&target| !self.is(target, |trouble| trouble == Trouble::Gone));
            let with_room = with_room.collect::<Vec<_>>();
            let Some(&target) = self.random.choice(&with_room) else { break };
            self.waiting.pop_front();
            self.start(job, target);
        }
    }

    fn start(&mut self, number: usize, target: usize) {
        let job = &self.jobs[number];
        self.free[target] -= job.cpu;
        let is_far = job.rack.is_some_and(|rack| rack != super::day::rack_of(target));
        let far = if is_far { self.site.far_factor } else { 1.0 };
        let slow =
            if self.is(target, |trouble| matches!(trouble, Trouble::Slow(_))) { 4.6 } else { 1.0 };
        let lasts = job.lasts as f64 * self.site.target_slowness(target) * far * slow;
        let stuck = self.is(target, |trouble| trouble == Trouble::Hangs);
        let end = if stuck { job.leaves() } else { job.leaves().min(self.now + lasts as u64) };
        self.ends.push(Reverse((end, self.running.len())));
        self.running.push(Running { job: number, target });
    }

    fn is(&self, target: usize, check: impl Fn(Trouble) -> bool) -> bool {
        SPELLS.iter().any(|spell| {
            check(spell.trouble)
                && (spell.from..spell.to).contains(&self.now)
                && spell.targets().any(|of_spell| of_spell == target)
        })
    }
}
