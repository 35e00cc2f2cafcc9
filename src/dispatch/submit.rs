//! Admission to the queue: what can't be done is refused at once, before any of it was started.

use std::sync::Arc;

use crate::clock::Millis;
use crate::job::{self, Execution, Failure, Job, Outcome, Reason, Spec};

use super::engine::{Engine, JobState};
use super::event::Action;
use super::queue::Source;
use super::timer::Timer;

/// The part of a job's time that its expected end may use up; the rest is for what was not
/// foreseen.
const TIMEOUT_USED_MAX: f64 = 0.8;
/// How long a caller waits before it asks for a service again whose targets are out of reach.
const NO_TARGET_RETRY: Millis = Millis::from_secs(5);

impl Engine {
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

    fn check(&self, spec: &Spec) -> Result<(usize, Millis), Failure> {
        let number = self.services.find(&spec.service).ok_or_else(|| no_service(spec))?;
        let service = &self.services.list[number];
        let here = service.domains.contains(&self.domain);
        let elsewhere = self.others.values().any(|vm| service.domains.contains(&vm.domain));
        if !here && !elsewhere {
            return Err(no_target(spec, service.domains.is_empty()));
        }
        let default = service.rules.as_ref().map_or(Millis::ZERO, |rules| rules.timeout);
        let timeout = spec.timeout.unwrap_or(default).min(self.document.limits.timeout_max);
        let queue = &self.queues[service.pool];
        let expected = self.expected_end(number, spec);
        let most = self.document.limits.queue.tasks_max;
        if queue.len() + spec.tasks.len() > most {
            let retry = expected.min(Millis::from_secs(1));
            return Err(refuse("too many tasks wait", retry));
        }
        let allowed = timeout.0 as f64 * TIMEOUT_USED_MAX;
        let goes_over = elsewhere && self.fleet.pools[service.pool].is_degraded();
        if here && !goes_over && !queue.is_empty() && expected.0 as f64 > allowed {
            return Err(refuse("the queue is longer than the job's time", expected));
        }
        Ok((number, timeout))
    }

    /// When a job that is queued now would end, if all goes as usual: its own work and its fair
    /// share of the rest. Zero where nothing is known.
    fn expected_end(&self, service: usize, spec: &Spec) -> Millis {
        let service = &self.services.list[service];
        let queue = &self.queues[service.pool];
        let capacity = self.fleet.pools[service.pool].capacity();
        if capacity <= 0.0 || !service.size.is_known() {
            return Millis::ZERO;
        }
        let declared = spec.tasks.first().and_then(|task| task.expected);
        let own = service.size.mean(declared).exp() * spec.tasks.len() as f64;
        let longest = service.size.longest(declared, spec.tasks.len()).exp();
        let ahead = (own * queue.sources() as f64).min(queue.work().0 as f64);
        Millis(((ahead + own) / capacity + longest) as u64)
    }

    fn admit(&mut self, id: job::Id, spec: Arc<Spec>, service: usize, deadline: Millis) {
        let count = spec.tasks.len();
        let declared = spec.tasks.first().and_then(|task| task.expected);
        let team = self.services.team(&spec.team);
        let job = Job::new(spec, deadline);
        self.jobs.insert(id, JobState { job, service, team, failed_on: Vec::new() });
        self.timers.add(deadline, Timer::Deadline(id));
        if let Some((pool, entry)) = self.entry(Source::Job(id), declared) {
            self.queues[pool].push(&entry, 0..count);
        }
    }

    /// Puts a task back into the queue, in front of its job's others.
    pub(super) fn requeue(&mut self, source: Source, index: usize) {
        if let Some((pool, entry)) = self.entry(source, None) {
            self.queues[pool].push_front(&entry, index);
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

fn no_target(spec: &Spec, anywhere: bool) -> Failure {
    let what = if anywhere { "no target may run" } else { "no target in reach may run" };
    let detail =
        format!("{what} service {:?}; see the section targets of the configuration", spec.service);
    Failure::new(Reason::Unavailable, Execution::NotRun, detail).retry_after(NO_TARGET_RETRY)
}
