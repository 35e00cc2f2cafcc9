//! A simulation of scheduler engines and leased targets in virtual time. The targets enforce fencing tokens and leases,
//! and check that no task runs twice, without free resources, before the steps it depends on or after a drain.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

use fastrand::Rng;
use gypsumkeel::batch::{Name, Outcome, Resources, Spec, Step, Terms};
use gypsumkeel::clock::Millis;
use gypsumkeel::schedule::{
    Action, CallId, Completion, Denial, Ending, Engine, Event, Listing, Loss, Reply, Rules,
    Running, Snapshot, Trouble,
};

/// The delay of a message in one direction, in milliseconds.
const DELAY: u64 = 1;

/// The longest lease that a target grants, in milliseconds.
pub const LEASE: u64 = 1000;

/// The longest time that a target may take to stop an attempt, in milliseconds.
pub const STOP_MAX: u64 = 50;

/// How long the targets of the model take, in milliseconds.
const STOP: u64 = 30;

/// How long an engine waits for the response to a call before it counts as lost, in milliseconds.
const TIMEOUT: u64 = 300;

/// How long a start waits for a response on a new connection before it counts as not sent, in milliseconds.
const PROBE_TIMEOUT: u64 = 120;

/// How long after its wait a start or a poll without a response counts as overdue, in milliseconds.
const OVERDUE: u64 = 30;

/// How a target or the path to it misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Tasks make no progress.
    pub stalls: bool,
    /// Tasks fail as soon as they start.
    pub fails: bool,
    /// Calls don't arrive and get no response.
    pub unreachable: bool,
    /// The percentage of calls that are executed and whose response is lost.
    pub lost: u64,
    /// The percentage of starts that get no response and arrive seconds later.
    pub late: u64,
    /// The percentage of starts that are executed and whose response is lost.
    pub response_lost: u64,
    /// The percentage of starts that are not sent, as a new connection gets no response.
    pub unsent: u64,
    /// The percentage of stops that don't arrive and get no response.
    pub stops_lost: u64,
}

/// An attempt that runs on a target.
#[derive(Clone, Debug)]
struct Attempt {
    name: Name,
    number: u32,
    need: Resources,
    started_at: u64,
    duration: u64,
    /// When it ends because of a stop.
    stops_at: Option<u64>,
}

/// A long poll that a target has not responded to yet.
#[derive(Debug)]
struct Poll {
    engine: usize,
    call: CallId,
    deadline: u64,
}

/// A leased target.
#[derive(Debug)]
pub struct Target {
    pub listing: Listing,
    pub slowness: f64,
    pub fault: Fault,
    /// The speed of its clock in thousandths of the virtual time's.
    pub clock_rate: u64,
    /// When its process started and its clock with it.
    started_at: u64,
    fence: u64,
    /// When the lease lapses, on the target's clock.
    lease_until: u64,
    running: Vec<Attempt>,
    /// Completions that no engine has acknowledged.
    completions: Vec<Completion>,
    next_completion: u64,
    /// Tasks and attempt numbers that completed or were stopped.
    finished: Vec<(Name, u32)>,
    polls: Vec<Poll>,
    drained_at: Option<u64>,
    pub starts: u64,
    /// Starts that were refused because the same or a later attempt of the task had finished.
    pub stale_starts: u64,
    pub busy_ms: u64,
    /// The times of its updates on the agenda.
    updates: BTreeSet<u64>,
}

/// An entry of the agenda.
#[derive(Clone, Debug)]
enum Item {
    /// A call reaches its target.
    Arrive {
        engine: usize,
        action: Action,
        late: bool,
    },
    /// The response to a call, or its loss, reaches the engine.
    Respond {
        engine: usize,
        call: CallId,
        reply: Reply,
    },
    /// An engine handles an event.
    Handle {
        engine: usize,
        event: Event,
    },
    /// An engine handles a tick and the next tick is put on the agenda.
    Ticks {
        engine: usize,
    },
    /// A target completes the attempts that are due.
    Update {
        target: usize,
    },
    Fault {
        target: usize,
        fault: Fault,
    },
    Crash {
        target: usize,
    },
    Drain {
        target: usize,
    },
}

/// The end of a batch, and when its caller got it.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    pub outcome: Outcome,
    pub at: u64,
}

/// A simulation of engines and targets.
pub struct Model {
    pub now: u64,
    rules: Rules,
    pub engines: Vec<Engine>,
    pub targets: Vec<Target>,
    /// How batches ended, by engine and batch.
    pub ends: BTreeMap<(usize, u64), End>,
    /// The engines and batches of ends that the test has not taken out yet.
    pub new_ends: Vec<(usize, u64)>,
    pub acquired: Vec<(usize, Arc<str>)>,
    pub unhealthy: Vec<(Arc<str>, Trouble)>,
    pub lost: Vec<(usize, Arc<str>, Loss)>,
    /// Whether each engine is frozen: events are deferred until it thaws.
    pub frozen: Vec<bool>,
    /// Pairs of an engine and a target that it can't reach.
    partitions: Vec<(usize, usize)>,
    specs: HashMap<Arc<str>, Arc<Spec>>,
    /// The real duration of a job's tasks at slowness 1, in milliseconds.
    durations: HashMap<Arc<str>, u64>,
    /// The real duration of single tasks that differ from the others of their job, by job and index.
    long_tasks: HashMap<(Arc<str>, u32), u64>,
    /// The time and index of each item to come; items at the same time are handled in the order of their index.
    agenda: BinaryHeap<Reverse<(u64, usize)>>,
    items: Vec<Option<Item>>,
    /// The items that wait for each frozen engine to thaw.
    deferred: Vec<Vec<Item>>,
    random: Rng,
    /// How often each task was done.
    pub done: HashMap<Name, u32>,
    /// How often each task failed.
    pub failed: HashMap<Name, u32>,
    /// The tasks whose success an engine has acknowledged.
    acknowledged: HashSet<Name>,
    /// The number of starts of such tasks.
    pub repeated: u32,
}

pub const RULES: Rules =
    Rules { lease_max: Millis(LEASE), far_factor: 2.0, unlisted_max: Millis(2500) };

/// A target with the given id, cores and rack.
pub fn listing(id: &str, cores: u64, rack: &str) -> Listing {
    Listing {
        id: Arc::from(id),
        service: Arc::from("desk"),
        domain: Arc::from("a"),
        rack: Some(Arc::from(rack)),
        labels: vec!["kind".to_owned(), rack.to_owned()],
        capacity: Resources { cpu: cores * 1000, memory: 32_000, gpu: 0 },
        draining: false,
        checks_capacity: false,
        incarnation: 1,
        cold_left: Millis::ZERO,
    }
}

/// A batch of one step with `count` tasks of an estimated duration in milliseconds.
pub fn spec(id: &str, count: u32, cores: u64, estimate: u64) -> Spec {
    Spec {
        id: Arc::from(id),
        text: Arc::from("text"),
        queue: Arc::from("queue"),
        service: Arc::from("desk"),
        steps: vec![Step {
            count,
            need: Resources { cpu: cores * 1000, memory: 64, gpu: 0 },
            estimate: Millis(estimate),
            after: Vec::new(),
            required_label: None,
            near_rack: None,
            per_target_max: None,
        }],
        terms: Terms { priority: 0, attempts: 3, stretch: 1.6, allowance: Millis(60) },
    }
}

impl Model {
    /// A simulation in which engine 0 acquires all targets at the start.
    pub fn new(engines: usize, listings: Vec<Listing>, seed: u64) -> Self {
        Self::with_owners(engines, listings, RULES, seed, |_| 0)
    }

    /// A simulation in which the engine that `owner_of` returns acquires each target at the start.
    pub fn with_owners(
        engines: usize,
        listings: Vec<Listing>,
        rules: Rules,
        seed: u64,
        owner_of: impl Fn(&Listing) -> usize,
    ) -> Self {
        let mut model = Self {
            now: 0,
            rules,
            engines: (0..engines).map(|n| Engine::new(n as u128 + 1, rules)).collect(),
            targets: listings.into_iter().map(Target::new).collect(),
            ends: BTreeMap::new(),
            new_ends: Vec::new(),
            acquired: Vec::new(),
            unhealthy: Vec::new(),
            lost: Vec::new(),
            frozen: vec![false; engines],
            partitions: Vec::new(),
            specs: HashMap::new(),
            durations: HashMap::new(),
            long_tasks: HashMap::new(),
            agenda: BinaryHeap::new(),
            items: Vec::new(),
            deferred: vec![Vec::new(); engines],
            random: Rng::with_seed(seed),
            done: HashMap::new(),
            failed: HashMap::new(),
            acknowledged: HashSet::new(),
            repeated: 0,
        };
        for engine in 0..engines {
            model.list(engine);
            model.add(1, Item::Ticks { engine });
        }
        for index in 0..model.targets.len() {
            let listing = &model.targets[index].listing;
            let (owner, target) = (owner_of(listing), Arc::clone(&listing.id));
            model.event(0, owner, Event::Acquire { target, round: 0 });
        }
        model.run(20);
        model
    }

    fn add(&mut self, at: u64, item: Item) {
        let index = self.items.len();
        self.items.push(Some(item));
        self.agenda.push(Reverse((at.max(self.now), index)));
    }

    /// Makes an engine handle an event at a time.
    pub fn event(&mut self, at: u64, engine: usize, event: Event) {
        self.add(at, Item::Handle { engine, event });
    }

    /// Sends an engine the current list of targets.
    pub fn list(&mut self, engine: usize) {
        let listings = self.targets.iter().map(|target| target.listing.clone()).collect();
        self.event(self.now, engine, Event::Targets(listings));
    }

    pub fn fault(&mut self, at: u64, target: usize, fault: Fault) {
        self.add(at, Item::Fault { target, fault });
    }

    pub fn crash(&mut self, at: u64, target: usize) {
        self.add(at, Item::Crash { target });
    }

    pub fn drain_target(&mut self, at: u64, target: usize) {
        self.add(at, Item::Drain { target });
    }

    /// Submits a batch at a time. Its tasks really last `duration` at slowness 1, and its caller waits for `timeout`,
    /// both in milliseconds.
    pub fn submit(
        &mut self,
        at: u64,
        engine: usize,
        batch: u64,
        spec: Spec,
        duration: u64,
        timeout: u64,
    ) {
        let spec = self.register(spec, duration);
        let event = Event::Submit { batch, spec, age: Millis::ZERO, time_left: Millis(timeout) };
        self.event(at, engine, event);
    }

    /// Submits a batch that its caller sent `age` ago and waits for until `time_left` has passed.
    pub fn submit_aged(
        &mut self,
        engine: usize,
        batch: u64,
        spec: Spec,
        duration: u64,
        (age, time_left): (Millis, Millis),
    ) {
        let spec = self.register(spec, duration);
        self.event(self.now, engine, Event::Submit { batch, spec, age, time_left });
    }

    /// Records the tasks of a batch and their real duration for the targets.
    fn register(&mut self, spec: Spec, duration: u64) -> Arc<Spec> {
        let spec = Arc::new(spec);
        self.specs.insert(Arc::clone(&spec.id), Arc::clone(&spec));
        self.durations.insert(Arc::clone(&spec.id), duration);
        spec
    }

    /// Makes one task of a job really last `duration` at slowness 1, in milliseconds, unlike the others.
    pub fn set_duration(&mut self, job: &str, index: u32, duration: u64) {
        self.long_tasks.insert((Arc::from(job), index), duration);
    }

    /// Partitions an engine from a target, or heals the partition.
    pub fn partition(&mut self, engine: usize, target: usize, is_partitioned: bool) {
        self.partitions.retain(|pair| *pair != (engine, target));
        if is_partitioned {
            self.partitions.push((engine, target));
        }
    }

    /// Runs the simulation until `until`.
    pub fn run(&mut self, until: u64) {
        while let Some(&Reverse((at, index))) = self.agenda.peek() {
            if at > until {
                break;
            }
            self.agenda.pop();
            self.now = at;
            let item = self.items[index].take().unwrap();
            self.process(item);
        }
        self.now = until;
    }

    /// Thaws an engine; all deferred events reach it at once.
    pub fn thaw(&mut self, engine: usize) {
        self.frozen[engine] = false;
        for item in std::mem::take(&mut self.deferred[engine]) {
            self.add(self.now, item);
        }
    }

    fn process(&mut self, item: Item) {
        match item {
            Item::Respond { engine, .. } | Item::Handle { engine, .. } | Item::Ticks { engine }
                if self.frozen[engine] =>
            {
                self.deferred[engine].push(item);
            }
            Item::Arrive { engine, action, late } => self.arrive(engine, action, late),
            Item::Respond { engine, call, reply } => {
                self.handle(engine, Event::Reply { call, reply });
            }
            Item::Handle { engine, event } => self.handle(engine, event),
            Item::Ticks { engine } => {
                self.handle(engine, Event::Tick);
                self.add(self.now + 25, Item::Ticks { engine });
            }
            Item::Update { target } => {
                self.targets[target].updates.remove(&self.now);
                self.update(target);
            }
            Item::Fault { target, fault } => self.targets[target].fault = fault,
            Item::Crash { target } => {
                for Poll { engine, call, .. } in self.targets[target].crash(self.now) {
                    let reply = Reply::Lost;
                    self.add(self.now + DELAY, Item::Respond { engine, call, reply });
                }
            }
            Item::Drain { target } => {
                self.targets[target].listing.draining = true;
                self.targets[target].drained_at = Some(self.now);
                for engine in 0..self.engines.len() {
                    self.list(engine);
                }
            }
        }
    }

    fn handle(&mut self, engine: usize, event: Event) {
        let mut actions = Vec::new();
        self.engines[engine].handle(Millis(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::End { batch, outcome, .. } => {
                    let end = End { outcome, at: self.now };
                    self.new_ends.push((engine, batch));
                    let earlier = self.ends.insert((engine, batch), end);
                    assert!(earlier.is_none(), "batch {batch} ended twice: {earlier:?}");
                }
                Action::Unhealthy { target, trouble, .. } => {
                    self.unhealthy.push((target, trouble));
                }
                Action::Acquired { target } => self.acquired.push((engine, target)),
                Action::Lost { target, loss } => self.lost.push((engine, target, loss)),
                action => {
                    let overdue = match &action {
                        Action::Start { call, .. } => Some((*call, 0)),
                        Action::Poll { call, wait, .. } => Some((*call, wait.0)),
                        _ => None,
                    };
                    if let Some((call, wait)) = overdue {
                        self.event(self.now + wait + OVERDUE, engine, Event::Overdue { call });
                    }
                    self.add(self.now + DELAY, Item::Arrive { engine, action, late: false });
                }
            }
        }
    }

    /// The index of the target that a call goes to, and the id of the call.
    fn destination(&self, action: &Action) -> (usize, CallId) {
        let (id, call) = match action {
            Action::Start { target, call, .. }
            | Action::Stop { target, call, .. }
            | Action::Poll { target, call, .. } => (target, *call),
            other => panic!("no call: {other:?}"),
        };
        let index = self.targets.iter().position(|target| target.listing.id == *id);
        (index.expect("a known target"), call)
    }

    fn arrive(&mut self, engine: usize, action: Action, late: bool) {
        let (index, call) = self.destination(&action);
        let fault = self.targets[index].fault;
        if fault.unreachable || self.partitions.contains(&(engine, index)) {
            self.time_out(engine, call);
            return;
        }
        let draw = self.random.u64(..100);
        if matches!(action, Action::Stop { .. }) && draw < fault.stops_lost {
            self.time_out(engine, call);
            return;
        }
        let is_start = matches!(action, Action::Start { .. });
        if is_start && draw < fault.unsent {
            let reply = Reply::Unsent;
            self.add(self.now + PROBE_TIMEOUT, Item::Respond { engine, call, reply });
            return;
        }
        if is_start && !late && draw < fault.late {
            self.time_out(engine, call);
            let at = self.now + 2000 + self.random.u64(..3000);
            self.add(at, Item::Arrive { engine, action, late: true });
            return;
        }
        self.update(index);
        let reply = self.execute(index, engine, &action);
        if late {
            return;
        }
        let is_response_lost = (is_start && draw < fault.response_lost)
            || (draw >= fault.late && draw < fault.late + fault.lost);
        match reply {
            Some(_) if is_response_lost => self.time_out(engine, call),
            Some(reply) => self.add(self.now + DELAY, Item::Respond { engine, call, reply }),
            None => {}
        }
    }

    /// Schedules the timeout of a call.
    fn time_out(&mut self, engine: usize, call: CallId) {
        self.add(self.now + TIMEOUT, Item::Respond { engine, call, reply: Reply::Lost });
    }

    /// Executes a call at a target; returns no reply if it is a long poll that waits.
    fn execute(&mut self, index: usize, engine: usize, action: &Action) -> Option<Reply> {
        let now = self.now;
        let target = &mut self.targets[index];
        let clock = Millis(target.clock(now));
        let denied = |denial| Some(Reply::Denied { denial, clock: Some(clock) });
        match action {
            Action::Start { name, attempt, fence, lease_until, .. } => {
                if fence.number() < target.fence {
                    return denied(Denial::Fence);
                }
                target.fence = fence.number();
                if target
                    .running
                    .iter()
                    .any(|running| running.name == *name && running.number == *attempt)
                {
                    return Some(Reply::Executed { clock });
                }
                target.extend_lease(*lease_until, now);
                let is_stale = |(finished, last): &(Name, u32)| finished == name && attempt <= last;
                if target.finished.iter().any(is_stale) {
                    target.stale_starts += 1;
                    return denied(Denial::StaleAttempt);
                }
                if *lease_until <= clock {
                    return denied(Denial::Late);
                }
                self.begin(index, name, *attempt);
                Some(Reply::Executed { clock })
            }
            Action::Stop { name, attempt, fence, .. } => {
                if fence.number() < target.fence {
                    return denied(Denial::Fence);
                }
                target.fence = fence.number();
                target.finished.push((name.clone(), *attempt));
                let running = target
                    .running
                    .iter_mut()
                    .find(|running| running.name == *name && running.number == *attempt);
                if let Some(running) = running {
                    running.stops_at.get_or_insert(now + STOP);
                    self.schedule_update(now + STOP, index);
                }
                Some(Reply::Executed { clock })
            }
            Action::Poll { call, fence, lease_until, acknowledged, wait, .. } => {
                if fence.number() < target.fence {
                    return denied(Denial::Fence);
                }
                target.fence = fence.number();
                if let Some(lease_until) = lease_until {
                    target.extend_lease(*lease_until, now);
                }
                let is_known = |completion: &mut Completion| completion.number <= *acknowledged;
                let known = target.completions.extract_if(.., is_known);
                let done = known.filter(|completion| completion.ending == Ending::Done);
                self.acknowledged.extend(done.map(|completion| completion.name));
                if wait.0 == 0 || !target.completions.is_empty() {
                    return Some(target.snapshot(now));
                }
                let deadline = now + wait.0;
                target.polls.push(Poll { engine, call: *call, deadline });
                self.schedule_update(deadline, index);
                self.schedule_next_update(index);
                None
            }
            other => panic!("no call: {other:?}"),
        }
    }

    /// Starts an attempt, after it has checked that the target may run it.
    fn begin(&mut self, index: usize, name: &Name, number: u32) {
        let mut running = self.targets.iter().flat_map(|target| &target.running);
        assert!(running.all(|attempt| attempt.name != *name), "{name} runs twice");
        self.repeated += u32::from(self.acknowledged.contains(name));
        let step = &self.specs[&name.job].steps[name.step as usize];
        for &dependency in &step.after {
            let count = self.specs[&name.job].steps[dependency as usize].count;
            let is_done = |index| {
                let name = Name { step: dependency, index, ..name.clone() };
                self.done.contains_key(&name)
            };
            assert!(
                (0..count).all(is_done),
                "{name} starts before a step that it depends on is done"
            );
        }
        let target = &mut self.targets[index];
        let id = &target.listing.id;
        let is_drained = target.drained_at.is_some_and(|at| self.now > at + 2000);
        assert!(!is_drained, "{name} starts on {id}, which has drained");
        assert!(target.free().fits(&step.need), "{name} has no free resources on {id}");
        let label = step.required_label.as_ref();
        let has_label = label.is_none_or(|label| target.listing.labels.contains(label));
        assert!(has_label, "{name} starts on {id}, which lacks its required label");
        let of_step = target
            .running
            .iter()
            .filter(|attempt| attempt.name.job == name.job && attempt.name.step == name.step);
        let most = step.per_target_max.unwrap_or(u32::MAX);
        assert!(of_step.count() < most as usize, "{name}: too many tasks of its step on {id}");
        let is_far = step
            .near_rack
            .as_deref()
            .is_some_and(|rack| target.listing.rack.as_deref() != Some(rack));
        let far = if is_far { self.rules.far_factor } else { 1.0 };
        let usual = self.durations[&name.job];
        let base = *self.long_tasks.get(&(Arc::clone(&name.job), name.index)).unwrap_or(&usual);
        let duration = (base as f64 * target.slowness * far) as u64;
        target.starts += 1;
        let attempt = Attempt {
            name: name.clone(),
            number,
            need: step.need,
            started_at: self.now,
            duration,
            stops_at: None,
        };
        if target.fault.fails {
            *self.failed.entry(name.clone()).or_default() += 1;
            target.complete(&attempt, Ending::Failed);
            self.respond_to_polls(index);
            return;
        }
        target.running.push(attempt);
        self.schedule_next_update(index);
    }

    /// Schedules an update of a target, at most one for each time.
    fn schedule_update(&mut self, at: u64, index: usize) {
        let at = at.max(self.now);
        if self.targets[index].updates.insert(at) {
            self.add(at, Item::Update { target: index });
        }
    }

    /// Schedules updates of a target for its next completion and for the lapse of its lease.
    fn schedule_next_update(&mut self, index: usize) {
        let target = &self.targets[index];
        let lease_left = target.lease_until.saturating_sub(target.clock(self.now));
        let lapse = self.now + 1 + lease_left * 1000 / target.clock_rate;
        if let Some(completion) = target.next_completion_at() {
            self.schedule_update(completion, index);
            self.schedule_update(lapse, index);
        }
    }

    /// Completes the attempts of a target that are due or whose lease has lapsed.
    fn update(&mut self, index: usize) {
        let now = self.now;
        let target = &mut self.targets[index];
        let has_lapsed = target.clock(now) >= target.lease_until;
        let stalls = target.fault.stalls;
        for attempt in std::mem::take(&mut target.running) {
            if has_lapsed || attempt.stops_at.is_some_and(|at| now >= at) {
                target.complete(&attempt, Ending::Aborted);
            } else if !stalls && now >= attempt.completes_at() {
                *self.done.entry(attempt.name.clone()).or_default() += 1;
                target.busy_ms += attempt.duration;
                target.complete(&attempt, Ending::Done);
            } else {
                target.running.push(attempt);
            }
        }
        if let Some(next) = target.next_completion_at().filter(|&next| next > now) {
            self.schedule_update(next, index);
        }
        self.respond_to_polls(index);
    }

    /// Responds to the long polls of a target that are due: all of them if it has a completion to report.
    fn respond_to_polls(&mut self, index: usize) {
        let now = self.now;
        let target = &mut self.targets[index];
        let is_unreachable = target.fault.unreachable;
        let has_completion = !target.completions.is_empty() && !is_unreachable;
        let polls = std::mem::take(&mut target.polls).into_iter();
        let (due, waiting) =
            polls.partition::<Vec<_>, _>(|poll| has_completion || poll.deadline <= now);
        target.polls = waiting;
        let (delay, reply) =
            if is_unreachable { (TIMEOUT, Reply::Lost) } else { (DELAY, target.snapshot(now)) };
        for Poll { engine, call, .. } in due {
            self.add(now + delay, Item::Respond { engine, call, reply: reply.clone() });
        }
    }

    /// How many attempts run on all targets.
    pub fn running(&self) -> usize {
        self.targets.iter().map(|target| target.running.len()).sum()
    }

    /// The outcome of a batch of engine 0.
    pub fn outcome(&self, batch: u64) -> Option<&Outcome> {
        self.ends.get(&(0, batch)).map(|end| &end.outcome)
    }
}

impl Attempt {
    /// When it completes unless it stalls.
    const fn completes_at(&self) -> u64 {
        self.started_at + self.duration
    }
}

impl Target {
    fn new(listing: Listing) -> Self {
        Self {
            listing,
            slowness: 1.0,
            fault: Fault::default(),
            clock_rate: 1000,
            started_at: 0,
            fence: 0,
            lease_until: 0,
            running: Vec::new(),
            completions: Vec::new(),
            next_completion: 1,
            finished: Vec::new(),
            polls: Vec::new(),
            drained_at: None,
            starts: 0,
            stale_starts: 0,
            busy_ms: 0,
            updates: BTreeSet::new(),
        }
    }

    /// The number of the highest fencing token that it has seen.
    pub const fn fence(&self) -> u64 {
        self.fence
    }

    /// Records a finished attempt that another VM started earlier.
    pub fn record_finished(&mut self, name: Name, attempt: u32) {
        self.finished.push((name, attempt));
    }

    /// The reading of its clock at a virtual time.
    const fn clock(&self, now: u64) -> u64 {
        50_000 + (now - self.started_at) * self.clock_rate / 1000
    }

    fn extend_lease(&mut self, lease_until: Millis, now: u64) {
        let latest = self.clock(now) + LEASE;
        self.lease_until = self.lease_until.max(lease_until.0.min(latest));
    }

    fn free(&self) -> Resources {
        let free = self.listing.capacity;
        self.running.iter().fold(free, |free, attempt| free.without(&attempt.need))
    }

    fn next_completion_at(&self) -> Option<u64> {
        self.running.iter().map(Attempt::completes_at).min()
    }

    fn complete(&mut self, attempt: &Attempt, ending: Ending) {
        let (name, number) = (attempt.name.clone(), self.next_completion);
        self.finished.push((name.clone(), attempt.number));
        self.next_completion += 1;
        self.completions.push(Completion { number, name, attempt: attempt.number, ending });
    }

    fn snapshot(&self, now: u64) -> Reply {
        let progress = |attempt: &Attempt| {
            let percent = (now - attempt.started_at) * 100 / attempt.duration.max(1);
            Some(if self.fault.stalls { 0 } else { percent.min(99) as u32 })
        };
        let running = self.running.iter().map(|attempt| Running {
            name: attempt.name.clone(),
            attempt: attempt.number,
            progress: progress(attempt),
        });
        Reply::Polled(Snapshot {
            clock: Millis(self.clock(now)),
            incarnation: Some(self.listing.incarnation),
            running: running.collect(),
            completions: self.completions.clone(),
        })
    }

    /// Restarts it under the same id with a new incarnation and no state. Returns the polls that get no response.
    fn crash(&mut self, started_at: u64) -> Vec<Poll> {
        let polls = std::mem::take(&mut self.polls);
        let mut listing = self.listing.clone();
        listing.incarnation += 1;
        let (starts, clock_rate) = (self.starts, self.clock_rate);
        let updates = std::mem::take(&mut self.updates);
        let slowness = self.slowness;
        *self = Self { slowness, clock_rate, started_at, starts, updates, ..Self::new(listing) };
        polls
    }
}
