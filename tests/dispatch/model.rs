//! Engines under virtual time with minimal targets: no sockets, no threads, the same run for a seed.

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
use gypsumkeel::wire::{Frame, Note};

/// Between a VM and a target, and between VMs of a domain and of two domains; one way, in microseconds.
const TO_TARGET: u64 = 250;
const IN_DOMAIN: u64 = 500;
const ACROSS: u64 = 1_400;

/// The head of a WebSocket message, in bytes.
const WEBSOCKET: u64 = 6;

/// What is left out of the quantiles, in microseconds.
const LEARNING: u64 = 10_000_000;

/// What a target does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// Fails all it starts at once.
    BlackHole,
    /// Runs this many times as long.
    Slow(f64),
    /// Refuses every connection.
    Gone,
    /// Refuses every task as not started.
    Full,
}

#[derive(Debug)]
pub struct Server {
    pub slowness: f64,
    pub slots: u32,
    pub busy: u32,
    pub fault: Fault,
    pub starts: u64,
    pub names: BTreeMap<String, u32>,
}

enum Occurrence {
    Submit(usize, u64, Arc<Spec>),
    Cancel(usize, u64),
    Arrive(usize, Attempt),
    Ended(usize, usize, u64, Report),
    Deliver(usize, Event),
    Tick(usize),
    Fault(usize, Fault),
    Members(Vec<bool>),
}

/// What one job came to.
#[derive(Debug)]
pub struct Done {
    pub submitted: u64,
    pub ended: Option<u64>,
    /// The longest task on a target of speed 1 and one round trip, in microseconds.
    pub ideal: u64,
    pub outcome: Option<Outcome>,
}

impl Done {
    pub fn is_complete(&self) -> bool {
        matches!(self.outcome, Some(Outcome::Complete(_)))
    }

    pub fn ratio(&self) -> f64 {
        (self.ended.unwrap_or(u64::MAX) - self.submitted) as f64 / self.ideal as f64
    }
}

pub struct Model {
    pub engines: Vec<Engine>,
    pub domains: Vec<String>,
    pub servers: BTreeMap<String, Server>,
    pub jobs: BTreeMap<u64, Done>,
    pub told: u64,
    pub told_bytes: u64,
    /// The share of messages about slots that is lost, and that of repeated ones.
    pub lossy: f64,
    pub live: Vec<bool>,
    pub now: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    occurrences: BTreeMap<u64, Occurrence>,
    adopted: BTreeMap<DelegationId, usize>,
    ticks: Vec<Option<u64>>,
    sequence: u64,
    chance: Rng,
}

pub fn vm(index: usize) -> Incarnation {
    Incarnation(0x1234_5678_9abc_def0_u128 * (index as u128 + 1) * 0x9e37_79b9_7f4a_7c15)
}

/// A document with one service and targets named by domain, each with its slowness.
pub fn document(targets: &[(&str, usize)]) -> Document {
    let mut document = Document::default();
    for &(domain, count) in targets {
        for number in 0..count {
            document.targets.push(Target {
                id: format!("{domain}{number}"),
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
    /// VMs in the given domains over the targets of `document`, whose speeds go from 1 to 4.
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
                names: BTreeMap::new(),
            };
            (target.id.clone(), server)
        });
        let engines = domains.iter().enumerate();
        let engines = engines
            .map(|(index, domain)| Engine::new(vm(index), domain, seed + index as u64))
            .collect::<Vec<_>>();
        let mut model = Self {
            servers: servers.collect(),
            ticks: vec![None; engines.len()],
            live: vec![true; engines.len()],
            engines,
            domains: domains.iter().map(|&domain| domain.to_owned()).collect(),
            jobs: BTreeMap::new(),
            told: 0,
            told_bytes: 0,
            lossy: 0.0,
            chance: Rng::with_seed(seed),
            now: 0,
            heap: BinaryHeap::new(),
            occurrences: BTreeMap::new(),
            adopted: BTreeMap::new(),
            sequence: 0,
        };
        model.configure(document);
        model.members(&vec![true; domains.len()]);
        model
    }

    pub fn configure(&mut self, document: Document) {
        let document = Arc::new(document);
        for index in 0..self.engines.len() {
            self.deliver(index, Event::Configure(Arc::clone(&document)));
        }
    }

    /// Tells every VM which ones can be reached.
    pub fn members(&mut self, reachable: &[bool]) {
        let all = self.domains.iter().enumerate().map(|(index, domain)| Member {
            incarnation: vm(index),
            domain: domain.clone(),
            reachable: reachable[index],
        });
        let all = Arc::from(all.collect::<Vec<_>>());
        for index in (0..self.engines.len()).filter(|&index| reachable[index]) {
            self.deliver(index, Event::Members(Arc::clone(&all)));
        }
    }

    /// From `at` on only these VMs run, and the others know it.
    pub fn members_at(&mut self, at: u64, live: &[bool]) {
        self.push(at, Occurrence::Members(live.to_vec()));
    }

    pub fn submit(&mut self, at: u64, vm: usize, spec: Spec) -> u64 {
        let id = self.jobs.len() as u64 + 1;
        let longest = spec.tasks.iter().map(|task| task.payload.parse::<u64>().unwrap_or(0));
        let done = Done {
            submitted: at,
            ended: None,
            ideal: longest.max().unwrap_or(0) * 1000 + 2 * TO_TARGET,
            outcome: None,
        };
        self.jobs.insert(id, done);
        self.push(at, Occurrence::Submit(vm, id, Arc::new(spec)));
        id
    }

    pub fn cancel(&mut self, at: u64, vm: usize, id: u64) {
        self.push(at, Occurrence::Cancel(vm, id));
    }

    pub fn fault(&mut self, at: u64, target: &str, fault: Fault) {
        let index = self.servers.keys().position(|id| id == target).unwrap();
        self.push(at, Occurrence::Fault(index, fault));
    }

    /// Runs until `until`, in microseconds.
    pub fn run(&mut self, until: u64) {
        while let Some(&Reverse((at, number))) = self.heap.peek() {
            if at > until {
                break;
            }
            self.heap.pop();
            self.now = at;
            if let Some(occurrence) = self.occurrences.remove(&number) {
                self.happen(occurrence);
            }
        }
        self.now = until;
    }

    fn happen(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Submit(vm, job, spec) => self.deliver(vm, Event::Submit { job, spec }),
            Occurrence::Cancel(vm, job) => self.deliver(vm, Event::Cancel { job }),
            Occurrence::Arrive(vm, start) => self.arrive(vm, &start),
            Occurrence::Ended(vm, server, start, report) => {
                self.servers.values_mut().nth(server).unwrap().busy -= 1;
                let event = Event::Report { attempt: start, report };
                self.push(self.now + TO_TARGET, Occurrence::Deliver(vm, event));
            }
            Occurrence::Deliver(vm, event) => self.deliver(vm, event),
            Occurrence::Tick(vm) => {
                if self.ticks[vm] == Some(self.now) {
                    self.ticks[vm] = None;
                    self.deliver(vm, Event::Tick);
                }
            }
            Occurrence::Fault(server, fault) => {
                self.servers.values_mut().nth(server).unwrap().fault = fault;
            }
            Occurrence::Members(live) => {
                self.live.clone_from(&live);
                self.members(&live);
            }
        }
    }

    fn arrive(&mut self, vm: usize, start: &Attempt) {
        let Destination::Target(target) = &start.destination else { unreachable!() };
        let number = self.servers.keys().position(|id| **id == **target).unwrap();
        let server = self.servers.values_mut().nth(number).unwrap();
        let back = |report| Occurrence::Deliver(vm, Event::Report { attempt: start.id, report });
        if server.fault == Fault::Gone {
            return self.push(self.now + TO_TARGET, back(Report::Unsent("refused".to_owned())));
        }
        if server.busy >= server.slots || server.fault == Fault::Full {
            return self.push(self.now + TO_TARGET, back(Report::Full));
        }
        server.starts += 1;
        *server.names.entry(start.name.clone()).or_default() += 1;
        server.busy += 1;
        let size = start.payload.parse::<f64>();
        let failed = || Report::Failed("failed".to_owned());
        let (lasts, report) = match (server.fault, size) {
            (Fault::BlackHole, _) => (1_000, failed()),
            (_, Err(_)) => (2_000, failed()),
            (Fault::Slow(factor), Ok(size)) => {
                ((size * factor * server.slowness * 1000.0) as u64, Report::Done("1".into()))
            }
            (_, Ok(size)) => ((size * server.slowness * 1000.0) as u64, Report::Done("1".into())),
        };
        self.push(self.now + lasts, Occurrence::Ended(vm, number, start.id, report));
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
        if let Some(wake) = self.engines[vm].next_wakeup() {
            let at = (wake.0 * 1000).max(self.now + 1);
            if self.ticks[vm].is_none_or(|old| old > at) {
                self.ticks[vm] = Some(at);
                self.push(at, Occurrence::Tick(vm));
            }
        }
    }

    fn act(&mut self, from: usize, action: Action) {
        match action {
            Action::Start(start) => match start.destination {
                Destination::Target(_) => {
                    self.push(self.now + TO_TARGET, Occurrence::Arrive(from, start));
                }
                Destination::Peer(peer) => self.hand_over(from, peer, start),
            },
            Action::Send { to, message } => self.tell(from, to, message),
            Action::End { job, outcome } => {
                let done = self.jobs.get_mut(&job).unwrap();
                assert!(done.ended.is_none(), "job {job} ended twice");
                done.ended = Some(self.now);
                done.outcome = Some(outcome);
            }
            Action::Report { id, report } => {
                let Some(&to) = self.adopted.get(&id) else { return };
                let event = Event::Report { attempt: id.attempt, report };
                self.push(self.now + ACROSS, Occurrence::Deliver(to, event));
            }
        }
    }

    fn hand_over(&mut self, from: usize, peer: Incarnation, start: Attempt) {
        let id = DelegationId { coordinator: vm(from), attempt: start.id };
        self.adopted.insert(id, from);
        let delegation = Delegation {
            name: start.name,
            service: start.service,
            payload: start.payload,
            expected: start.expected,
            repeatable: start.repeatable,
            remaining: start.timeout,
        };
        let to = self.index(peer);
        let event = Event::Delegate { id, delegation };
        self.push(self.now + ACROSS, Occurrence::Deliver(to, event));
    }

    fn tell(&mut self, from: usize, to: Incarnation, message: SlotMessage) {
        let frame = Frame::Note(Note::Slots(message.clone())).encode().unwrap();
        self.told += 1;
        self.told_bytes += frame.len() as u64 + WEBSOCKET;
        let to = self.index(to);
        let event = Event::Slots { from: vm(from), message };
        if self.chance.f64() < self.lossy {
            return;
        }
        if self.chance.f64() < self.lossy {
            let late = self.now + IN_DOMAIN * self.chance.u64(1..200);
            self.push(late, Occurrence::Deliver(to, event.clone()));
        }
        self.push(self.now + IN_DOMAIN, Occurrence::Deliver(to, event));
    }

    fn index(&self, id: Incarnation) -> usize {
        (0..self.engines.len()).find(|&index| vm(index) == id).unwrap()
    }

    fn push(&mut self, at: u64, occurrence: Occurrence) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence)));
        self.occurrences.insert(self.sequence, occurrence);
    }

    /// The quantile of response over ideal among the complete jobs, those of the first seconds left
    /// out, in which the speeds are learnt.
    pub fn quantile(&self, quantile: f64) -> f64 {
        let complete = self.jobs.values().filter(|job| job.is_complete());
        let complete = complete.filter(|job| job.submitted >= LEARNING);
        let mut ratios = complete.map(Done::ratio).collect::<Vec<_>>();
        ratios.sort_by(f64::total_cmp);
        let at = (ratios.len() as f64 * quantile) as usize;
        ratios.get(at.min(ratios.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
    }

    /// The share of all attempts that `count` counts.
    pub fn share(&self, count: impl Fn(&gypsumkeel::dispatch::Counts) -> u64) -> f64 {
        let starts = self.total(|counts| counts.first_attempts + counts.further_attempts);
        self.total(count) as f64 / starts as f64
    }

    pub fn complete(&self) -> usize {
        self.jobs.values().filter(|job| job.is_complete()).count()
    }

    /// No task was started twice under the same name.
    pub fn check_names(&self) {
        let mut all = BTreeMap::<&str, u32>::new();
        for (name, count) in self.servers.values().flat_map(|server| &server.names) {
            *all.entry(name).or_default() += count;
        }
        assert!(all.values().all(|&count| count == 1), "an attempt was started twice");
    }

    pub fn total(&self, count: impl Fn(&gypsumkeel::dispatch::Counts) -> u64) -> u64 {
        self.engines.iter().map(|engine| count(&engine.counts())).sum()
    }
}

/// The load of a run.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// As a share of what the domain's targets can do.
    pub share: f64,
    pub seconds: u64,
    pub repeatable: bool,
    pub timeout: u64,
}

/// The run time of a task on a target of speed 1: 50 ms to a second, evenly in the logarithm.
pub fn size(random: &mut Rng) -> u64 {
    (50.0 * 20.0_f64.powf(random.f64())) as u64
}

/// Submits jobs of 1 to 8 tasks at random times, each to one of `vms`; the mean size is known.
pub fn drive(model: &mut Model, load: Load, vms: &[usize], random: &mut Rng) {
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
        // Drawn even for one VM, so that the load is the same for any number of them.
        let vm = vms[(random.f64() * vms.len() as f64) as usize];
        model.submit(at as u64, vm, spec(&sizes, load.repeatable, load.timeout));
    }
}
