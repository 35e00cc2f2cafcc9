//! Measures the engine's cost per attempt at the size it is designed for: 2,100 targets in one domain, jobs of 450
//! tasks and of one, and 20,000 waiting tasks.
//!
//! `cargo bench --bench engine` prints a line for each case.

use std::sync::Arc;
use std::time::Instant;

use gypsumkeel::clock::Millis;
use gypsumkeel::config::{Document, Target, Team};
use gypsumkeel::dispatch::{Action, AttemptId, Engine, Event, Member, Report};
use gypsumkeel::job::{Incarnation, Spec, Task};

const TARGETS: usize = 2_100;
const TEAMS: usize = 520;
/// The number of waiting tasks that is kept up.
const WAITING: usize = 20_000;
/// The number of attempts that are completed in a case.
const ROUNDS: u64 = 200_000;

fn main() {
    for (vms, tasks) in [(1, 1), (1, 450), (8, 1), (8, 450)] {
        let mut run = Run::new(vms);
        while run.waiting() < WAITING {
            run.submit(tasks);
        }
        let open = run.open.len();
        let start = Instant::now();
        for _ in 0..ROUNDS {
            run.round(tasks);
        }
        let each = start.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64;
        println!(
            "targets={TARGETS} vms={vms} tasks_per_job={tasks} open={open} waiting={} \
             us_per_start={each:.2} told_per_start={:.3}",
            run.engine.counts().waiting,
            run.engine.counts().slot_messages as f64 / ROUNDS as f64,
        );
    }
}

/// An engine under a constant load.
struct Run {
    engine: Engine,
    /// Attempts that have not ended, the oldest first.
    open: std::collections::VecDeque<AttemptId>,
    jobs: u64,
    submitted: usize,
    started: usize,
    now: u64,
    actions: Vec<Action>,
}

impl Run {
    fn new(vms: u128) -> Self {
        let local = Incarnation(1);
        let mut run = Self {
            engine: Engine::new(local, "a", 7),
            open: std::collections::VecDeque::new(),
            jobs: 0,
            submitted: 0,
            started: 0,
            now: 1,
            actions: Vec::new(),
        };
        run.handle(Event::Configure(Arc::new(document())));
        let members = (1..=vms).map(|number| Member {
            incarnation: Incarnation(number),
            domain: "a".to_owned(),
            reachable: true,
        });
        run.handle(Event::Members(members.collect()));
        run
    }

    /// Completes the oldest attempt, and submits a job if fewer than [`WAITING`] tasks wait.
    fn round(&mut self, tasks: usize) {
        // On average ten attempts start in a millisecond, the rate of a busy VM.
        self.now += u64::from(self.jobs.is_multiple_of(10));
        let attempt = self.open.pop_front().unwrap();
        self.handle(Event::Report { attempt, report: Report::Done("1".into()) });
        if self.waiting() < WAITING {
            self.submit(tasks);
        }
    }

    /// The number of tasks that were submitted and not started.
    const fn waiting(&self) -> usize {
        self.submitted - self.started
    }

    fn submit(&mut self, tasks: usize) {
        self.jobs += 1;
        self.submitted += tasks;
        let task = Task { payload: "1".into(), expected: Some(Millis(100)) };
        let spec = Spec {
            service: "holds".to_owned(),
            team: format!("team-{}", self.jobs % TEAMS as u64),
            repeatable: false,
            timeout: Some(Millis(60_000)),
            tasks: vec![task; tasks],
        };
        self.handle(Event::Submit { job: self.jobs, spec: Arc::new(spec) });
    }

    fn handle(&mut self, event: Event) {
        self.engine.handle(Millis(self.now), event, &mut self.actions);
        for action in self.actions.drain(..) {
            if let Action::Start(start) = action {
                self.open.push_back(start.id);
                self.started += 1;
            }
        }
    }
}

fn document() -> Document {
    let targets = (0..TARGETS).map(|number| Target {
        id: format!("t{number}"),
        domain: "a".to_owned(),
        rack: String::new(),
        address: ([127, 0, 0, 1], 1).into(),
        slots: 8,
        connections: 60,
        leaving: false,
    });
    let teams = (0..TEAMS).map(|number| Team { name: format!("team-{number}"), share: 1 });
    let mut document = Document {
        targets: targets.collect(),
        services: vec![serde_norway::from_str("name: holds").unwrap()],
        teams: teams.collect(),
        ..Document::default()
    };
    document.limits.queue.tasks_max = 2 * WAITING;
    document
}
