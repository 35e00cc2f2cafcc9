//! The engine: jobs in flight, the tasks that wait, and the targets they go to.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use fastrand::Rng;

use crate::clock::Millis;
use crate::config::{Document, Service};
use crate::job::{self, Execution, Failure, Incarnation, Job, Outcome, Reason, Spec};

use super::event::{Action, Counts, Event, Place, Report, Start, StartId};

/// The decisions of one VM.
#[derive(Debug)]
pub struct Engine {
    own: Incarnation,
    domain: String,
    random: Rng,
    document: Arc<Document>,
    leaving: Arc<BTreeSet<String>>,
    jobs: BTreeMap<job::Id, Job>,
    waiting: VecDeque<(job::Id, usize)>,
    open: BTreeMap<StartId, Attempt>,
    busy: BTreeMap<Arc<str>, u32>,
    next_start: StartId,
    counts: Counts,
}

#[derive(Debug)]
struct Attempt {
    job: job::Id,
    index: usize,
    target: Arc<str>,
}

impl Engine {
    /// An engine without targets, for the VM `own` in `domain`. All its chance comes from `seed`.
    pub fn new(own: Incarnation, domain: &str, seed: u64) -> Self {
        Self {
            own,
            domain: domain.to_owned(),
            random: Rng::with_seed(seed),
            document: Arc::default(),
            leaving: Arc::default(),
            jobs: BTreeMap::new(),
            waiting: VecDeque::new(),
            open: BTreeMap::new(),
            busy: BTreeMap::new(),
            next_start: 1,
            counts: Counts::default(),
        }
    }

    /// Takes one event at the time `now` and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Configure(document) => self.document = document,
            Event::Leaving(leaving) => self.leaving = leaving,
            Event::Submit { job, spec } => self.submit(now, job, spec, actions),
            Event::Cancel { job } => self.change(job, actions, Job::cancel),
            Event::Report { start, report } => self.report(start, report, actions),
            Event::Adopt { adopted, .. } | Event::Fate { adopted } => {
                let report = Report::Unsent("tasks of other domains are not taken".to_owned());
                actions.push(Action::Return { adopted, report });
            }
            Event::Members(_) | Event::Slots { .. } | Event::Tick => {}
        }
        self.expire(now, actions);
        self.start_waiting(now, actions);
    }

    /// When the engine wants a [`Event::Tick`] at the latest.
    pub fn wake(&self) -> Option<Millis> {
        self.jobs.values().filter(|job| job.outcome().is_none()).map(Job::deadline).min()
    }

    /// What happened so far.
    pub fn counts(&self) -> Counts {
        Counts {
            jobs: self.jobs.len() as u64,
            waiting: self.waiting.len() as u64,
            open: self.open.len() as u64,
            ..self.counts
        }
    }

    fn submit(&mut self, now: Millis, id: job::Id, spec: Arc<Spec>, actions: &mut Vec<Action>) {
        let Some(service) = self.service(&spec.service) else {
            let detail = format!("there is no service {:?}; see GET /v1/status", spec.service);
            let failure = Failure::new(Reason::Invalid, Execution::NotRun, detail);
            actions.push(Action::End { job: id, outcome: Outcome::Failed(failure) });
            return;
        };
        if self.waiting.len() + spec.tasks.len() > self.document.limits.queue.tasks_max {
            self.counts.refused += 1;
            let detail = "too many tasks wait; submit again later under a new key";
            let failure = Failure::new(Reason::Limited, Execution::NotRun, detail)
                .retry_after(Millis::from_secs(1));
            actions.push(Action::End { job: id, outcome: Outcome::Failed(failure) });
            return;
        }
        let timeout = spec.timeout.unwrap_or(service.timeout).min(self.document.limits.timeout_max);
        self.waiting.extend((0..spec.tasks.len()).map(|index| (id, index)));
        self.jobs.insert(id, Job::new(spec, now + timeout));
    }

    fn service(&self, name: &str) -> Option<&Service> {
        self.document.services.iter().find(|service| service.name == name)
    }

    /// Changes a job and gives out its outcome if it has just got one.
    fn change(&mut self, id: job::Id, actions: &mut Vec<Action>, change: impl FnOnce(&mut Job)) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let had_ended = job.outcome().is_some();
        change(job);
        if let Some(outcome) = job.outcome().filter(|_| !had_ended) {
            actions.push(Action::End { job: id, outcome: outcome.clone() });
        }
        if job.outcome().is_some() && !job.is_open() {
            self.jobs.remove(&id);
        }
    }

    fn report(&mut self, start: StartId, report: Report, actions: &mut Vec<Action>) {
        let Some(attempt) = self.open.remove(&start) else { return };
        let Attempt { job, index, target } = attempt;
        if let Some(busy) = self.busy.get_mut(&target) {
            *busy -= 1;
        }
        match report {
            Report::Done(answer) => self.change(job, actions, |job| job.done(index, answer)),
            Report::Full => {
                self.counts.full += 1;
                self.requeue(job, index, actions);
            }
            Report::Unsent(_) => {
                self.counts.unsent += 1;
                self.requeue(job, index, actions);
            }
            Report::Failed(detail) => {
                self.counts.failed += 1;
                self.change(job, actions, |job| job.failed(index, true, false, &detail));
            }
            Report::Lost(detail) => {
                self.counts.lost += 1;
                self.change(job, actions, |job| job.failed(index, false, false, &detail));
            }
        }
    }

    fn requeue(&mut self, job: job::Id, index: usize, actions: &mut Vec<Action>) {
        self.change(job, actions, |job| job.unstarted(index));
        self.waiting.push_back((job, index));
    }

    fn expire(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let late = |job: &Job| job.outcome().is_none() && job.deadline() <= now;
        let ids = self.jobs.iter().filter(|(_, job)| late(job)).map(|(&id, _)| id);
        for id in ids.collect::<Vec<_>>() {
            self.change(id, actions, Job::expire);
        }
    }

    fn start_waiting(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for _ in 0..self.waiting.len() {
            let Some((id, index)) = self.waiting.pop_front() else { return };
            let Some(job) = self.jobs.get(&id).filter(|job| job.may_send(index)) else { continue };
            let spec = Arc::clone(job.spec());
            let timeout = job.deadline() - now;
            let Some(target) = self.choose(&spec.service) else {
                self.waiting.push_front((id, index));
                return;
            };
            self.start(id, index, &spec, target, timeout, actions);
        }
    }

    fn start(
        &mut self,
        id: job::Id,
        index: usize,
        spec: &Spec,
        target: Arc<str>,
        timeout: Millis,
        actions: &mut Vec<Action>,
    ) {
        let start = self.next_start;
        self.next_start += 1;
        self.counts.first_starts += 1;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.send(index);
        }
        *self.busy.entry(Arc::clone(&target)).or_default() += 1;
        self.open.insert(start, Attempt { job: id, index, target: Arc::clone(&target) });
        let run_max = self.service(&spec.service).map_or(timeout, |service| service.run_max);
        actions.push(Action::Start(Start {
            id: start,
            place: Place::Target(target),
            name: format!("{}.{start}", self.own),
            service: spec.service.clone(),
            payload: Arc::clone(&spec.tasks[index].payload),
            expected: spec.tasks[index].expected,
            repeatable: spec.repeatable,
            timeout: run_max,
        }));
    }

    /// A random target of the own domain that may run the service and has a free slot.
    fn choose(&mut self, service: &str) -> Option<Arc<str>> {
        let allowed = &self.service(service)?.targets;
        let fit = self.document.targets.iter().filter(|target| {
            let wanted = allowed.is_empty() || allowed.contains(&target.id);
            let gone = target.leaving || self.leaving.contains(&target.id);
            let busy = self.busy.get(target.id.as_str()).copied().unwrap_or(0);
            wanted && !gone && target.domain == self.domain && busy < target.slots
        });
        let fit = fit.map(|target| target.id.as_str()).collect::<Vec<_>>();
        let chosen = fit.get(self.random.usize(..fit.len().max(1)))?;
        Some(Arc::from(*chosen))
    }
}
