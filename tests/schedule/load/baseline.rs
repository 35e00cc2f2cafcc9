//! The baseline of first come, first served: one queue for all targets that refuses no job and doesn't notice slow or
//! stalled targets.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use fastrand::Rng;

use super::day::{INCIDENTS, Job, Site, TARGETS, Trouble};
use super::report::End;

/// A task that runs on a target.
#[derive(Clone, Copy, Debug)]
struct Running {
    job: usize,
    target: usize,
}

/// A task that waits.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    job: usize,
    /// How long it really takes at slowness 1, in milliseconds.
    duration: u64,
}

/// The targets and the queue.
struct Queue<'a> {
    site: &'a Site,
    jobs: &'a [Job],
    now: u64,
    /// The free thousandths of a core of each target.
    free: Vec<u64>,
    /// The tasks that wait for a target.
    waiting: VecDeque<Waiting>,
    /// How many tasks of each job have not completed.
    incomplete: Vec<u32>,
    running: Vec<Running>,
    /// The time of each completion to come, and the index of its task in `running`.
    completions: BinaryHeap<Reverse<(u64, usize)>>,
    random: Rng,
}

/// Runs the jobs and returns how each ended.
pub fn run(site: &Site, jobs: &[Job], seed: u64) -> Vec<Option<End>> {
    let mut queue = Queue {
        site,
        jobs,
        now: 0,
        free: (0..TARGETS).map(|target| site.target_cores(target) * 1000).collect(),
        waiting: VecDeque::new(),
        incomplete: jobs.iter().map(|job| job.width).collect(),
        running: Vec::new(),
        completions: BinaryHeap::new(),
        random: Rng::with_seed(seed),
    };
    let mut ends = vec![None; jobs.len()];
    for (index, job) in jobs.iter().enumerate() {
        queue.run_until(job.at, &mut ends);
        let duration = |task: u32| {
            let mut long = job.long_tasks.iter();
            long.find(|(long, _)| *long == task).map_or(job.duration, |&(_, duration)| duration)
        };
        let tasks = (0..job.width).map(|task| Waiting { job: index, duration: duration(task) });
        queue.waiting.extend(tasks);
        queue.start_all();
    }
    queue.run_until(u64::MAX, &mut ends);
    ends
}

impl Queue<'_> {
    fn run_until(&mut self, until: u64, ends: &mut [Option<End>]) {
        while let Some(&Reverse((at, index))) = self.completions.peek() {
            if at > until {
                break;
            }
            self.completions.pop();
            self.now = at;
            let Running { job, target } = self.running[index];
            self.free[target] += self.jobs[job].cpu;
            // A task that completes at its caller's deadline was stalled or too slow, and doesn't count as done.
            if at < self.jobs[job].deadline() {
                self.incomplete[job] -= 1;
            }
            if self.incomplete[job] == 0 {
                ends[job] = Some(End::Done(at));
            }
            self.start_all();
        }
        self.now = until;
    }

    fn start_all(&mut self) {
        while let Some(&task) = self.waiting.front() {
            let job = task.job;
            if self.now >= self.jobs[job].deadline() {
                self.waiting.pop_front();
                continue;
            }
            let need = self.jobs[job].cpu;
            let usable = (0..TARGETS).filter(|&target| self.free[target] >= need);
            let usable =
                usable.filter(|&target| !self.has(target, |trouble| trouble == Trouble::Down));
            let usable = usable.collect::<Vec<_>>();
            let Some(&target) = self.random.choice(&usable) else { break };
            self.waiting.pop_front();
            self.start(task, target);
        }
    }

    fn start(&mut self, task: Waiting, target: usize) {
        let index = task.job;
        let job = &self.jobs[index];
        self.free[target] -= job.cpu;
        let is_far = job.rack.is_some_and(|rack| rack != super::day::rack_of(target));
        let far = if is_far { self.site.far_factor } else { 1.0 };
        let slow =
            if self.has(target, |trouble| matches!(trouble, Trouble::Slow(_))) { 4.6 } else { 1.0 };
        let duration = task.duration as f64 * self.site.target_slowness(target) * far * slow;
        let stalls = self.has(target, |trouble| trouble == Trouble::Stalls);
        let completion =
            if stalls { job.deadline() } else { job.deadline().min(self.now + duration as u64) };
        self.completions.push(Reverse((completion, self.running.len())));
        self.running.push(Running { job: index, target });
    }

    /// Whether a target now has a fault that meets the predicate.
    fn has(&self, target: usize, predicate: impl Fn(Trouble) -> bool) -> bool {
        INCIDENTS.iter().any(|incident| {
            predicate(incident.trouble)
                && (incident.from..incident.to).contains(&self.now)
                && incident.targets().any(|affected| affected == target)
        })
    }
}
