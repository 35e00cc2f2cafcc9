//! Admission: refuses jobs that can't end in time before any of their tasks starts.

use std::sync::Arc;

use crate::clock::Millis;
use crate::job::{self, Execution, Failure, Job, Outcome, Reason, Spec};

use super::engine::{Engine, JobState};
use super::event::Action;
use super::queue::Source;
use super::timer::Timer;

/// The share of a job's timeout that its expected duration may take; the rest is a margin for
/// errors of the estimate.
const TIMEOUT_USED_MAX: f64 = 0.8;
/// When a caller may retry a service without a reachable target.
const NO_TARGET_RETRY: Millis = Millis::from_secs(5);

impl Engine {
    /// Admits a job to the queue or refuses it.
    pub(super) fn submit(
        &mut self,
        now: Millis,
        id: job::Id,
        spec: Arc<Spec>,
        actions: &mut Vec<Action>,
    ) {
        match self.check(&spec) {
            Ok((service, timeout)) => self.admit(id, spec, service, now + timeout),
            Err(failure) => {
                self.counts.refused += 1;
                actions.push(Action::End { job: id, outcome: Outcome::Failed(failure) });
            }
        }
    }

    /// The index of the job's service and the job's timeout, or why the job is refused.
    fn check(&self, spec: &Spec) -> Result<(usize, Millis), Failure> {
        let index = self.services.find(&spec.service).ok_or_else(|| no_service(spec))?;
        let service = &self.services.list[index];
        let is_local = service.domains.contains(&self.domain);
        let is_remote = self.remote_vms.values().any(|vm| service.domains.contains(&vm.domain));
        if !is_local && !is_remote {
            return Err(no_target(spec, service.domains.is_empty()));
        }
        let default = service.rules.as_ref().map_or(Millis::ZERO, |rules| rules.timeout);
        let timeout = spec.timeout.unwrap_or(default).min(self.document.limits.timeout_max);
        let queue = &self.queues[service.pool];
        let expected = self.expected_duration(index, spec);
        let tasks_max = self.document.limits.queue.tasks_max;
        if queue.len() + spec.tasks.len() > tasks_max {
            let retry = expected.min(Millis::from_secs(1));
            return Err(refuse("too many tasks wait", retry));
        }
        let expected_max = timeout.0 as f64 * TIMEOUT_USED_MAX;
        let is_delegated = is_remote && self.fleet.pools[service.pool].is_degraded();
        if is_local && !is_delegated && !queue.is_empty() && expected.0 as f64 > expected_max {
            return Err(refuse("the queue is longer than the job's time", expected));
        }
        Ok((index, timeout))
    }

    /// The expected time until a job queued now ends: its own work, its fair share of the queued
    /// work and its longest task. Zero if the run times or the capacity are unknown.
    fn expected_duration(&self, service: usize, spec: &Spec) -> Millis {
        let service = &self.services.list[service];
        let queue = &self.queues[service.pool];
        let capacity = self.fleet.pools[service.pool].capacity();
        if capacity <= 0.0 || !service.size.is_known() {
            return Millis::ZERO;
        }
        let declared = spec.tasks.first().and_then(|task| task.expected);
        let work = service.size.mean(declared).exp() * spec.tasks.len() as f64;
        let longest = service.size.longest(declared, spec.tasks.len()).exp();
        let ahead = (work * queue.sources() as f64).min(queue.work().0 as f64);
        Millis(((ahead + work) / capacity + longest) as u64)
    }

    /// Queues the tasks of a new job.
    fn admit(&mut self, id: job::Id, spec: Arc<Spec>, service: usize, deadline: Millis) {
        let count = spec.tasks.len();
        let declared = spec.tasks.first().and_then(|task| task.expected);
        let team = self.services.team(&spec.team);
        let job = Job::new(spec, deadline);
        self.jobs.insert(id, JobState { job, service, team, failed_on: Vec::new() });
        self.timers.add(deadline, Timer::Deadline(id));
        if let Some((pool, entry)) = self.queue_entry(Source::Job(id), declared) {
            self.queues[pool].push(&entry, 0..count);
        }
    }

    /// Queues a task again, in front of the other tasks of its source.
    pub(super) fn requeue(&mut self, source: Source, task: usize) {
        if let Some((pool, entry)) = self.queue_entry(source, None) {
            self.queues[pool].push_front(&entry, task);
        }
    }
}

fn refuse(why: &str, retry: Millis) -> Failure {
    let detail = format!("{why}; submit again later under a new key, or with a longer timeout_ms");
    Failure::new(Reason::Limited, Execution::NotRun, detail).retry_after(retry)
}

fn no_service(spec: &Spec) -> Failure {
    let detail = format!("there is no service {:?}; see GET /v1/status", spec.service);
    Failure::new(Reason::Invalid, Execution::NotRun, detail)
}

fn no_target(spec: &Spec, nowhere: bool) -> Failure {
    let what = if nowhere { "no target may run" } else { "no target in reach may run" };
    let detail =
        format!("{what} service {:?}; see the section targets of the configuration", spec.service);
    Failure::new(Reason::Unavailable, Execution::NotRun, detail).retry_after(NO_TARGET_RETRY)
}
