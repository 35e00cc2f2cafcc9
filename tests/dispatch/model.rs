//! A model of engines and minimal targets under virtual time.
//!
//! It has no sockets and no threads, and a seed always gives the same run. Times are in
//! microseconds unless their type is `Millis`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use fastrand::Rng;
use gypsumkeel::clock::Millis;
use gypsumkeel::config::{Document, Service, Target};
use gypsumkeel::dispatch::{
    Action, Attempt, Delegation, DelegationId, Destination, Engine, Event, Member, Report,
    SlotMessage,
};
use gypsumkeel::job::{Incarnation, Outcome, Spec, Task};
use gypsumkeel::wire::{Frame, Notification};

/// One-way latencies between a VM and a target, between VMs of a domain and between domains.
const TARGET_LATENCY_US: u64 = 250;
const DOMAIN_LATENCY_US: u64 = 500;
const CROSS_DOMAIN_LATENCY_US: u64 = 1_400;

/// The size of a WebSocket header.
const WEBSOCKET_HEADER_BYTES: u64 = 6;

/// Jobs submitted during the warm-up, in which the engines learn the speeds, don't count for
/// quantiles.
const WARM_UP_US: u64 = 10_000_000;

/// A fault of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// Fails every task right after its start.
    BlackHole,
    /// Runs tasks this many times slower.
    Slow(f64),
    /// Refuses every connection.
    Gone,
    /// Refuses every task without starting it.
    Full,
}

/// A simulated target.
#[derive(Debug)]
pub struct Server {
    /// How many times longer tasks run than on a target of speed 1.
    pub slowness: f64,
    pub slots: u32,
    pub busy: u32,
    pub fault: Fault,
    pub starts: u64,
    /// The number of starts by the attempt's name.
    pub starts_by_name: BTreeMap<String, u32>,
}

/// Something that happens at a scheduled time. VMs and targets are given by index.
enum Occurrence {
    /// A job is submitted: the VM, the job's id, the job.
    Submit(usize, u64, Arc<Spec>),
    /// A job is cancelled: the VM, the job's id.
    Cancel(usize, u64),
    /// An attempt of a VM reaches its target.
    Arrive(usize, Attempt),
    /// A task ends: the VM, the target, the attempt's id, the result.
    Finish(usize, usize, u64, Report),
    /// A VM's engine gets an event.
    Deliver(usize, Event),
    /// A VM's engine gets a tick, unless an earlier one was scheduled since.
    Tick(usize),
    /// A target's fault changes.
    SetFault(usize, Fault),
    /// The set of running VMs changes.
    SetLive(Vec<bool>),
}

/// A submitted job and its outcome.
#[derive(Debug)]
pub struct JobRun {
    pub submitted_at: u64,
    pub ended_at: Option<u64>,
    /// The shortest possible response time: the longest task on a target of speed 1 and a round
    /// trip.
    pub ideal: u64,
    pub outcome: Option<Outcome>,
}

impl JobRun {
    pub fn is_complete(&self) -> bool {
        matches!(self.outcome, Some(Outcome::Complete(_)))
    }

    /// The response time over the ideal one.
    pub fn ratio(&self) -> f64 {
        (self.ended_at.unwrap_or(u64::MAX) - self.submitted_at) as f64 / self.ideal as f64
    }
}

/// The engines, their targets and the network between them.
pub struct Model {
    pub engines: Vec<Engine>,
    /// The failure domain of each VM.
    pub domains: Vec<String>,
    pub servers: BTreeMap<String, Server>,
    pub jobs: BTreeMap<u64, JobRun>,
    /// The slot messages sent, lost ones included.
    pub messages: u64,
    /// The size of these messages with WebSocket headers.
    pub message_bytes: u64,
    /// The share of slot messages that is lost, and of the rest the share that is repeated late.
    pub loss_rate: f64,
    /// Whether each VM runs.
    pub live: Vec<bool>,
    pub now: u64,
    /// The times and keys of the scheduled occurrences.
    schedule: BinaryHeap<Reverse<(u64, u64)>>,
    occurrences: BTreeMap<u64, Occurrence>,
    /// The coordinators of delegated tasks.
    coordinators: BTreeMap<DelegationId, usize>,
    /// The time of each VM's next tick.
    next_ticks: Vec<Option<u64>>,
    /// The key of the last scheduled occurrence.
    last_key: u64,
    random: Rng,
}

/// The incarnation of the VM with this index.
pub fn vm(index: usize) -> Incarnation {
    Incarnation(0x1234_5678_9abc_def0_u128 * (index as u128 + 1) * 0x9e37_79b9_7f4a_7c15)
}

/// A configuration with one service, and for each domain a number of targets, named by domain and
/// index.
pub fn document(targets: &[(&str, usize)]) -> Document {
    let mut document = Document::default();
    for &(domain, count) in targets {
        for index in 0..count {
            document.targets.push(Target {
                id: format!("{domain}{index}"),
                domain: domain.to_owned(),
                rack: String::new(),
                address: "127.0.0.1:1".parse().unwrap(),
                slots: 8,
                connections: 60,
                leaving: false,
            });
        }
    }
    document.services.push(service("holds"));
    document
}

pub fn service(name: &str) -> Service {
    serde_norway::from_str(&format!("name: {name}")).unwrap()
}

/// A job with a task for each run time in `sizes`. All times are in milliseconds.
pub fn spec(sizes: &[u64], repeatable: bool, timeout: u64) -> Spec {
    let task = |&size: &u64| Task { payload: size.to_string().into(), expected: None };
    Spec {
        service: "holds".to_owned(),
        team: String::new(),
        repeatable,
        timeout: Some(Millis(timeout)),
        tasks: sizes.iter().map(task).collect(),
    }
}

impl Model {
    /// Creates VMs in the given domains and the targets of `document`, with a slowness from 1 to 4.
    pub fn new(domains: &[&str], document: Document, seed: u64) -> Self {
        let slowness = |index: usize| 1.0 + 3.0 * ((index * 7) % 17) as f64 / 16.0;
        let targets = document.targets.iter().enumerate();
        let servers = targets.map(|(index, target)| {
            let server = Server {
                slowness: slowness(index),
                slots: target.slots,
                busy: 0,
                fault: Fault::None,
                starts: 0,
                starts_by_name: BTreeMap::new(),
            };
            (target.id.clone(), server)
        });
        let engines = domains.iter().enumerate();
        let engines = engines
            .map(|(index, domain)| Engine::new(vm(index), domain, seed + index as u64))
            .collect::<Vec<_>>();
        let mut model = Self {
            servers: servers.collect(),
            next_ticks: vec![None; engines.len()],
            live: vec![true; engines.len()],
            engines,
            domains: domains.iter().map(|&domain| domain.to_owned()).collect(),
            jobs: BTreeMap::new(),
            messages: 0,
            message_bytes: 0,
            loss_rate: 0.0,
            random: Rng::with_seed(seed),
            now: 0,
            schedule: BinaryHeap::new(),
            occurrences: BTreeMap::new(),
            coordinators: BTreeMap::new(),
            last_key: 0,
        };
        model.configure(document);
        model.announce_members(&vec![true; domains.len()]);
        model
    }

    pub fn configure(&mut self, document: Document) {
        let document = Arc::new(document);
        for index in 0..self.engines.len() {
            self.deliver(index, Event::Configure(Arc::clone(&document)));
        }
    }

    /// Delivers the members to every reachable VM.
    pub fn announce_members(&mut self, reachable: &[bool]) {
        let members = self.domains.iter().enumerate().map(|(index, domain)| Member {
            incarnation: vm(index),
            domain: domain.clone(),
            reachable: reachable[index],
        });
        let members = Arc::from(members.collect::<Vec<_>>());
        for index in (0..self.engines.len()).filter(|&index| reachable[index]) {
            self.deliver(index, Event::Members(Arc::clone(&members)));
        }
    }

    /// Runs only these VMs from `at` on, and delivers the change to them.
    pub fn set_live_at(&mut self, at: u64, live: &[bool]) {
        self.push(at, Occurrence::SetLive(live.to_vec()));
    }

    pub fn submit(&mut self, at: u64, vm: usize, spec: Spec) -> u64 {
        let id = self.jobs.len() as u64 + 1;
        let longest = spec.tasks.iter().map(|task| task.payload.parse::<u64>().unwrap_or(0));
        let run = JobRun {
            submitted_at: at,
            ended_at: None,
            ideal: longest.max().unwrap_or(0) * 1000 + 2 * TARGET_LATENCY_US,
            outcome: None,
        };
        self.jobs.insert(id, run);
        self.push(at, Occurrence::Submit(vm, id, Arc::new(spec)));
        id
    }

    pub fn cancel(&mut self, at: u64, vm: usize, id: u64) {
        self.push(at, Occurrence::Cancel(vm, id));
    }

    pub fn fault(&mut self, at: u64, target: &str, fault: Fault) {
        let index = self.servers.keys().position(|id| id == target).unwrap();
        self.push(at, Occurrence::SetFault(index, fault));
    }

    /// Runs until the time `until`.
    pub fn run(&mut self, until: u64) {
        while let Some(&Reverse((at, key))) = self.schedule.peek() {
            if at > until {
                break;
            }
            self.schedule.pop();
            self.now = at;
            if let Some(occurrence) = self.occurrences.remove(&key) {
                self.apply(occurrence);
            }
        }
        self.now = until;
    }

    fn apply(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Submit(vm, job, spec) => self.deliver(vm, Event::Submit { job, spec }),
            Occurrence::Cancel(vm, job) => self.deliver(vm, Event::Cancel { job }),
            Occurrence::Arrive(vm, attempt) => self.arrive(vm, &attempt),
            Occurrence::Finish(vm, server, attempt, report) => {
                self.servers.values_mut().nth(server).unwrap().busy -= 1;
                let event = Event::Report { attempt, report };
                self.push(self.now + TARGET_LATENCY_US, Occurrence::Deliver(vm, event));
            }
            Occurrence::Deliver(vm, event) => self.deliver(vm, event),
            Occurrence::Tick(vm) => {
                if self.next_ticks[vm] == Some(self.now) {
                    self.next_ticks[vm] = None;
                    self.deliver(vm, Event::Tick);
                }
            }
            Occurrence::SetFault(server, fault) => {
                self.servers.values_mut().nth(server).unwrap().fault = fault;
            }
            Occurrence::SetLive(live) => {
                self.live.clone_from(&live);
                self.announce_members(&live);
            }
        }
    }

    fn arrive(&mut self, vm: usize, attempt: &Attempt) {
        let Destination::Target(target) = &attempt.destination else { unreachable!() };
        let index = self.servers.keys().position(|id| **id == **target).unwrap();
        let server = self.servers.values_mut().nth(index).unwrap();
        let deliver =
            |report| Occurrence::Deliver(vm, Event::Report { attempt: attempt.id, report });
        if server.fault == Fault::Gone {
            return self
                .push(self.now + TARGET_LATENCY_US, deliver(Report::Unsent("refused".to_owned())));
        }
        if server.busy >= server.slots || server.fault == Fault::Full {
            return self.push(self.now + TARGET_LATENCY_US, deliver(Report::Full));
        }
        server.starts += 1;
        *server.starts_by_name.entry(attempt.name.clone()).or_default() += 1;
        server.busy += 1;
        let size = attempt.payload.parse::<f64>();
        let failed = || Report::Failed("failed".to_owned());
        let (run_time, report) = match (server.fault, size) {
            (Fault::BlackHole, _) => (1_000, failed()),
            (_, Err(_)) => (2_000, failed()),
            (Fault::Slow(factor), Ok(size)) => {
                ((size * factor * server.slowness * 1000.0) as u64, Report::Done("1".into()))
            }
            (_, Ok(size)) => ((size * server.slowness * 1000.0) as u64, Report::Done("1".into())),
        };
        self.push(self.now + run_time, Occurrence::Finish(vm, index, attempt.id, report));
    }

    fn deliver(&mut self, vm: usize, event: Event) {
        if !self.live[vm] {
            return;
        }
        let mut actions = Vec::new();
        self.engines[vm].handle(Millis(self.now / 1000), event, &mut actions);
        for action in actions {
            self.act(vm, action);
        }
        if let Some(wakeup) = self.engines[vm].next_wakeup() {
            let at = (wakeup.0 * 1000).max(self.now + 1);
            if self.next_ticks[vm].is_none_or(|old| old > at) {
                self.next_ticks[vm] = Some(at);
                self.push(at, Occurrence::Tick(vm));
            }
        }
    }

    fn act(&mut self, from: usize, action: Action) {
        match action {
            Action::Start(attempt) => match attempt.destination {
                Destination::Target(_) => {
                    self.push(self.now + TARGET_LATENCY_US, Occurrence::Arrive(from, attempt));
                }
                Destination::Peer(peer) => self.delegate(from, peer, attempt),
            },
            Action::Send { to, message } => self.send(from, to, message),
            Action::End { job, outcome } => {
                let run = self.jobs.get_mut(&job).unwrap();
                assert!(run.ended_at.is_none(), "job {job} ended twice");
                run.ended_at = Some(self.now);
                run.outcome = Some(outcome);
            }
            Action::Report { id, report } => {
                let Some(&to) = self.coordinators.get(&id) else { return };
                let event = Event::Report { attempt: id.attempt, report };
                self.push(self.now + CROSS_DOMAIN_LATENCY_US, Occurrence::Deliver(to, event));
            }
        }
    }

    fn delegate(&mut self, from: usize, peer: Incarnation, attempt: Attempt) {
        let id = DelegationId { coordinator: vm(from), attempt: attempt.id };
        self.coordinators.insert(id, from);
        let delegation = Delegation {
            name: attempt.name,
            service: attempt.service,
            payload: attempt.payload,
            expected: attempt.expected,
            repeatable: attempt.repeatable,
            remaining: attempt.timeout,
        };
        let to = self.index(peer);
        let event = Event::Delegate { id, delegation };
        self.push(self.now + CROSS_DOMAIN_LATENCY_US, Occurrence::Deliver(to, event));
    }

    fn send(&mut self, from: usize, to: Incarnation, message: SlotMessage) {
        let frame = Frame::Notification(Notification::Slots(message.clone())).encode().unwrap();
        self.messages += 1;
        self.message_bytes += frame.len() as u64 + WEBSOCKET_HEADER_BYTES;
        let to = self.index(to);
        let event = Event::Slots { from: vm(from), message };
        if self.random.f64() < self.loss_rate {
            return;
        }
        if self.random.f64() < self.loss_rate {
            let late = self.now + DOMAIN_LATENCY_US * self.random.u64(1..200);
            self.push(late, Occurrence::Deliver(to, event.clone()));
        }
        self.push(self.now + DOMAIN_LATENCY_US, Occurrence::Deliver(to, event));
    }

    fn index(&self, id: Incarnation) -> usize {
        (0..self.engines.len()).find(|&index| vm(index) == id).unwrap()
    }

    fn push(&mut self, at: u64, occurrence: Occurrence) {
        self.last_key += 1;
        self.schedule.push(Reverse((at, self.last_key)));
        self.occurrences.insert(self.last_key, occurrence);
    }

    /// A quantile of [`JobRun::ratio`] over the complete jobs submitted after the warm-up.
    pub fn quantile(&self, quantile: f64) -> f64 {
        let complete = self.jobs.values().filter(|job| job.is_complete());
        let complete = complete.filter(|job| job.submitted_at >= WARM_UP_US);
        let mut ratios = complete.map(JobRun::ratio).collect::<Vec<_>>();
        ratios.sort_by(f64::total_cmp);
        let at = (ratios.len() as f64 * quantile) as usize;
        ratios.get(at.min(ratios.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
    }

    /// The attempts that `count` counts, as a share of all attempts.
    pub fn share(&self, count: impl Fn(&gypsumkeel::dispatch::Counts) -> u64) -> f64 {
        let attempts = self.total(|counts| counts.first_attempts + counts.further_attempts);
        self.total(count) as f64 / attempts as f64
    }

    /// The number of complete jobs.
    pub fn complete(&self) -> usize {
        self.jobs.values().filter(|job| job.is_complete()).count()
    }

    /// Asserts that no attempt was started twice.
    pub fn assert_unique_attempts(&self) {
        let mut all = BTreeMap::<&str, u32>::new();
        for (name, count) in self.servers.values().flat_map(|server| &server.starts_by_name) {
            *all.entry(name).or_default() += count;
        }
        assert!(all.values().all(|&count| count == 1), "an attempt was started twice");
    }

    /// The sum of a count over all VMs.
    pub fn total(&self, count: impl Fn(&gypsumkeel::dispatch::Counts) -> u64) -> u64 {
        self.engines.iter().map(|engine| count(&engine.counts())).sum()
    }
}

/// A random load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// The arrival rate of work as a share of the capacity of all targets.
    pub share: f64,
    pub seconds: u64,
    pub repeatable: bool,
    /// The timeout of each job, in milliseconds.
    pub timeout: u64,
}

/// A random run time on a target of speed 1, log-uniform between 50 and 1000 ms.
pub fn size(random: &mut Rng) -> u64 {
    (50.0 * 20.0_f64.powf(random.f64())) as u64
}

/// Submits jobs of 1 to 8 tasks as a Poisson process, each to a random one of `vms`.
pub fn submit_load(model: &mut Model, load: Load, vms: &[usize], random: &mut Rng) {
    const MEAN_MS: f64 = 950.0 / 2.995_732;
    const MEAN_TASKS: f64 = 4.5;
    let capacity =
        model.servers.values().map(|server| f64::from(server.slots) / server.slowness).sum::<f64>();
    let per_second = capacity * load.share * 1000.0 / MEAN_MS / MEAN_TASKS;
    let mut at = model.now as f64;
    let end = at + load.seconds as f64 * 1e6;
    loop {
        at -= (1.0 - random.f64()).ln() / per_second * 1e6;
        if at >= end {
            return;
        }
        let sizes = (0..random.usize(1..=8)).map(|_| size(random)).collect::<Vec<_>>();
        // Drawn even for a single VM, so that the load is the same for any number of VMs.
        let vm = vms[(random.f64() * vms.len() as f64) as usize];
        model.submit(at as u64, vm, spec(&sizes, load.repeatable, load.timeout));
    }
}
