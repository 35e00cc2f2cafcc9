//! Schedulers and leased targets under virtual time. The targets obey fencing tokens and leases, and check that
//! nothing runs twice, without room, or after a drain.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::sync::Arc;

use fastrand::Rng;
use gypsumkeel::batch::{Name, Outcome, Resources, Spec, Step, Terms};
use gypsumkeel::clock::Millis;
use gypsumkeel::schedule::{
    Action, CallId, Completion, Denial, Ending, Engine, Event, Listing, Loss, Reply, Rules,
    Running, Snapshot, Trouble,
};

/// One way of a message, in milliseconds.
const DELAY: u64 = 1;

/// The longest lease, in milliseconds.
pub const LEASE: u64 = 1000;

/// How long a call may go unanswered, in milliseconds.
const TIMEOUT: u64 = 300;

/// When a start or a hold counts as overdue, its own wait aside, in milliseconds.
const OVERDUE: u64 = 30;

/// What a target does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Tasks make no progress.
    pub hangs: bool,
    /// Tasks fail at once.
    pub fails: bool,
    /// Nothing arrives and nothing answers.
    pub silent: bool,
    /// Of 100 calls, so many get no answer.
    pub lost: u64,
    /// Of 100 starts, so many get no answer and arrive seconds later.
    pub late: u64,
    /// Of 100 starts, so many are executed and get no answer.
    pub unanswered: u64,
}

/// A task on a target.
#[derive(Clone, Debug)]
struct Work {
    name: Name,
    run: u32,
    need: Resources,
    since: u64,
    lasts: u64,
}

/// A leased target.
#[derive(Debug)]
pub struct Server {
    pub listing: Listing,
    pub slowness: f64,
    pub fault: Fault,
    /// How fast its clock runs, in thousandths.
    pub clock_rate: u64,
    fence: u64,
    lease: u64,
    running: Vec<Work>,
    ended: Vec<Completion>,
    next_end: u64,
    /// The starts that have ended or were stopped.
    past: Vec<(Name, u32)>,
    waiting: Vec<(usize, CallId, u64)>,
    drained_at: Option<u64>,
    pub starts: u64,
    /// Starts that were refused since a later one of their task was there.
    pub stale_starts: u64,
    pub busy_ms: u64,
    /// When it is looked at.
    looks: BTreeSet<u64>,
}

#[derive(Clone, Debug)]
enum Item {
    Arrive { engine: usize, action: Action, late: bool },
    Give { engine: usize, order: CallId, reply: Reply },
    Do { engine: usize, event: Event },
    Ticks { engine: usize },
    Look { server: usize },
    Fault { server: usize, fault: Fault },
    Crash { server: usize },
    Drain { server: usize },
}

/// What a caller got.
#[derive(Clone, Debug, PartialEq)]
pub struct Got {
    pub outcome: Outcome,
    pub at: u64,
}

/// A world of engines and targets.
pub struct Model {
    pub now: u64,
    rules: Rules,
    pub engines: Vec<Engine>,
    pub servers: Vec<Server>,
    pub got: BTreeMap<(usize, u64), Got>,
    /// The batches that ended, by engine and number, until someone takes them out.
    pub ended: Vec<(usize, u64)>,
    pub owned: Vec<(usize, Arc<str>)>,
    pub distrusted: Vec<(Arc<str>, Trouble)>,
    pub left: Vec<(usize, Arc<str>, Loss)>,
    /// Engines that stand still: nothing reaches them until they go on.
    pub frozen: Vec<bool>,
    /// Engines that can't reach a target.
    cuts: Vec<(usize, usize)>,
    specs: HashMap<Arc<str>, Arc<Spec>>,
    /// How long the tasks of a job really last at slowness 1.
    lasts: HashMap<Arc<str>, u64>,
    agenda: BinaryHeap<Reverse<(u64, u64, usize)>>,
    items: Vec<Option<Item>>,
    held: Vec<Vec<Item>>,
    random: Rng,
    /// How often each task has ended as done.
    pub done: HashMap<Name, u32>,
    pub failed: HashMap<Name, u32>,
}

pub const RULES: Rules =
    Rules { lease_max: Millis(LEASE), far_factor: 2.0, unlisted_max: Millis(2500) };

/// A target `id` with cores and a rack.
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
    }
}

/// A batch of one step.
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
    /// A world in which engine 0 takes all targets at once.
    pub fn new(engines: usize, listings: Vec<Listing>, seed: u64) -> Self {
        Self::with_owners(engines, listings, RULES, seed, |_| 0)
    }

    /// A world in which each target is taken by the engine that `owner_of` names.
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
            servers: listings.into_iter().map(Server::new).collect(),
            got: BTreeMap::new(),
            ended: Vec::new(),
            owned: Vec::new(),
            distrusted: Vec::new(),
            left: Vec::new(),
            frozen: vec![false; engines],
            cuts: Vec::new(),
            specs: HashMap::new(),
            lasts: HashMap::new(),
            agenda: BinaryHeap::new(),
            items: Vec::new(),
            held: vec![Vec::new(); engines],
            random: Rng::with_seed(seed),
            done: HashMap::new(),
            failed: HashMap::new(),
        };
        for engine in 0..engines {
            model.list(engine);
            model.add(1, Item::Ticks { engine });
        }
        for server in 0..model.servers.len() {
            let listing = &model.servers[server].listing;
            let (owner, target) = (owner_of(listing), Arc::clone(&listing.id));
            model.event(0, owner, Event::Acquire { target, round: 0 });
        }
        model.run(20);
        model
    }

    fn add(&mut self, at: u64, item: Item) {
        let number = self.items.len();
        self.items.push(Some(item));
        self.agenda.push(Reverse((at.max(self.now), number as u64, number)));
    }

    /// Has an engine take an event at a time.
    pub fn event(&mut self, at: u64, engine: usize, event: Event) {
        self.add(at, Item::Do { engine, event });
    }

    /// Tells an engine which targets there are.
    pub fn list(&mut self, engine: usize) {
        let listings = self.servers.iter().map(|server| server.listing.clone()).collect();
        self.event(self.now, engine, Event::Targets(listings));
    }

    pub fn fault(&mut self, at: u64, server: usize, fault: Fault) {
        self.add(at, Item::Fault { server, fault });
    }

    pub fn crash(&mut self, at: u64, server: usize) {
        self.add(at, Item::Crash { server });
    }

    pub fn drain_target(&mut self, at: u64, server: usize) {
        self.add(at, Item::Drain { server });
    }

    /// Submits a batch whose tasks really last `lasts`.
    pub fn submit(
        &mut self,
        at: u64,
        engine: usize,
        job: u64,
        spec: Spec,
        lasts: u64,
        patience: u64,
    ) {
        let spec = self.know(spec, lasts);
        let event =
            Event::Submit { batch: job, spec, age: Millis::ZERO, time_left: Millis(patience) };
        self.event(at, engine, event);
    }

    /// Submits a batch now that was sent a while ago; `times` are its age and how long its caller still waits.
    pub fn submit_aged(
        &mut self,
        engine: usize,
        job: u64,
        spec: Spec,
        lasts: u64,
        (age, patience): (Millis, Millis),
    ) {
        let spec = self.know(spec, lasts);
        self.event(self.now, engine, Event::Submit { batch: job, spec, age, time_left: patience });
    }

    /// Lets the targets know what the tasks of a batch are.
    fn know(&mut self, spec: Spec, lasts: u64) -> Arc<Spec> {
        let spec = Arc::new(spec);
        self.specs.insert(Arc::clone(&spec.id), Arc::clone(&spec));
        self.lasts.insert(Arc::clone(&spec.id), lasts);
        spec
    }

    /// Cuts an engine off from a target, or heals the cut.
    pub fn cut(&mut self, engine: usize, server: usize, is_cut: bool) {
        self.cuts.retain(|cut| *cut != (engine, server));
        if is_cut {
            self.cuts.push((engine, server));
        }
    }

    /// Plays until `until`.
    pub fn run(&mut self, until: u64) {
        while let Some(&Reverse((at, _, number))) = self.agenda.peek() {
            if at > until {
                break;
            }
            self.agenda.pop();
            self.now = at;
            let item = self.items[number].take().unwrap();
            self.play(item);
        }
        self.now = until;
    }

    /// Lets an engine that stood still go on: all that waited reaches it at once.
    pub fn thaw(&mut self, engine: usize) {
        self.frozen[engine] = false;
        for item in std::mem::take(&mut self.held[engine]) {
            self.add(self.now, item);
        }
    }

    fn play(&mut self, item: Item) {
        match item {
            Item::Give { engine, .. } | Item::Do { engine, .. } | Item::Ticks { engine }
                if self.frozen[engine] =>
            {
                self.held[engine].push(item);
            }
            Item::Arrive { engine, action, late } => self.arrive(engine, action, late),
            Item::Give { engine, order, reply } => {
                self.handle(engine, Event::Reply { call: order, reply });
            }
            Item::Do { engine, event } => self.handle(engine, event),
            Item::Ticks { engine } => {
                self.handle(engine, Event::Tick);
                self.add(self.now + 25, Item::Ticks { engine });
            }
            Item::Look { server } => {
                self.servers[server].looks.remove(&self.now);
                self.look(server);
            }
            Item::Fault { server, fault } => self.servers[server].fault = fault,
            Item::Crash { server } => {
                for (engine, order, _) in self.servers[server].crash() {
                    let reply = Reply::Lost;
                    self.add(self.now + DELAY, Item::Give { engine, order, reply });
                }
            }
            Item::Drain { server } => {
                self.servers[server].listing.draining = true;
                self.servers[server].drained_at = Some(self.now);
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
                Action::End { batch: job, outcome, .. } => {
                    let got = Got { outcome, at: self.now };
                    self.ended.push((engine, job));
                    let old = self.got.insert((engine, job), got);
                    assert!(old.is_none(), "batch {job} ended twice: {old:?}");
                }
                Action::Unhealthy { target, trouble, .. } => {
                    self.distrusted.push((target, trouble));
                }
                Action::Acquired { target } => self.owned.push((engine, target)),
                Action::Lost { target, loss } => self.left.push((engine, target, loss)),
                call => {
                    let overdue = match &call {
                        Action::Start { call: order, .. } => Some((*order, 0)),
                        Action::Poll { call: order, wait, .. } => Some((*order, wait.0)),
                        _ => None,
                    };
                    if let Some((order, wait)) = overdue {
                        self.event(
                            self.now + wait + OVERDUE,
                            engine,
                            Event::Overdue { call: order },
                        );
                    }
                    self.add(self.now + DELAY, Item::Arrive { engine, action: call, late: false });
                }
            }
        }
    }

    fn server_of(&self, action: &Action) -> (usize, CallId) {
        let (target, order) = match action {
            Action::Start { target, call: order, .. }
            | Action::Stop { target, call: order, .. }
            | Action::Poll { target, call: order, .. } => (target, *order),
            other => panic!("no call: {other:?}"),
        };
        let server = self.servers.iter().position(|server| server.listing.id == *target);
        (server.expect("a known target"), order)
    }

    fn arrive(&mut self, engine: usize, action: Action, late: bool) {
        let (number, order) = self.server_of(&action);
        let fault = self.servers[number].fault;
        if fault.silent || self.cuts.contains(&(engine, number)) {
            self.lose(engine, order);
            return;
        }
        let draw = self.random.u64(..100);
        let is_start = matches!(action, Action::Start { .. });
        if is_start && !late && draw < fault.late {
            self.lose(engine, order);
            let at = self.now + 2000 + self.random.u64(..3000);
            self.add(at, Item::Arrive { engine, action, late: true });
            return;
        }
        self.look(number);
        let reply = self.carry_out(number, engine, &action);
        if late {
            return;
        }
        let is_unanswered = is_start && draw < fault.unanswered;
        let is_lost = is_unanswered || (draw >= fault.late && draw < fault.late + fault.lost);
        match reply {
            Some(_) if is_lost => self.lose(engine, order),
            Some(reply) => self.add(self.now + DELAY, Item::Give { engine, order, reply }),
            None => {}
        }
    }

    /// Lets a call time out.
    fn lose(&mut self, engine: usize, order: CallId) {
        self.add(self.now + TIMEOUT, Item::Give { engine, order, reply: Reply::Lost });
    }

    /// Carries out a call; nothing is answered yet to a hold that waits.
    fn carry_out(&mut self, number: usize, engine: usize, action: &Action) -> Option<Reply> {
        let now = self.now;
        let server = &mut self.servers[number];
        let clock = Millis(server.clock(now));
        let denied = |denial| Some(Reply::Denied { denial, clock: Some(clock) });
        match action {
            Action::Start { name, attempt: run, fence, lease_until: until, .. } => {
                if fence.number() < server.fence {
                    return denied(Denial::Fence);
                }
                server.fence = fence.number();
                if server.running.iter().any(|work| work.name == *name && work.run == *run) {
                    return Some(Reply::Executed { clock });
                }
                server.extend(*until, now);
                if server.past.iter().any(|(old, last)| old == name && run <= last) {
                    server.stale_starts += 1;
                    return denied(Denial::StaleAttempt);
                }
                if *until <= clock {
                    return denied(Denial::Late);
                }
                self.begin(number, name, *run);
                Some(Reply::Executed { clock })
            }
            Action::Stop { name, attempt: run, fence, .. } => {
                if fence.number() < server.fence {
                    return denied(Denial::Fence);
                }
                server.fence = fence.number();
                server.past.push((name.clone(), *run));
                let at =
                    server.running.iter().position(|work| work.name == *name && work.run == *run);
                if let Some(at) = at {
                    let work = server.running.swap_remove(at);
                    server.end(&work, Ending::Aborted);
                }
                self.answer_holds(number);
                Some(Reply::Executed { clock })
            }
            Action::Poll {
                call: order,
                fence,
                lease_until: until,
                acknowledged: seen,
                wait,
                ..
            } => {
                if fence.number() < server.fence {
                    return denied(Denial::Fence);
                }
                server.fence = fence.number();
                if let Some(until) = until {
                    server.extend(*until, now);
                }
                server.ended.retain(|end| end.number > *seen);
                if wait.0 == 0 || !server.ended.is_empty() {
                    return Some(server.report(now));
                }
                server.waiting.push((engine, *order, now + wait.0));
                self.look_at(now + wait.0, number);
                self.schedule_look(number);
                None
            }
            other => panic!("no call: {other:?}"),
        }
    }

    fn begin(&mut self, number: usize, name: &Name, run: u32) {
        let twice = self.servers.iter().flat_map(|server| &server.running);
        assert!(twice.clone().all(|work| work.name != *name), "{name} runs twice");
        let step = &self.specs[&name.job].steps[name.step as usize];
        for &before in &step.after {
            let count = self.specs[&name.job].steps[before as usize].count;
            let is_done = |index| {
                let name = Name { step: before, index, ..name.clone() };
                self.done.contains_key(&name)
            };
            assert!((0..count).all(is_done), "{name} starts before its turn");
        }
        let server = &mut self.servers[number];
        let late = server.drained_at.is_some_and(|at| self.now > at + 2000);
        assert!(!late, "{name} starts on a target that left");
        assert!(server.free().fits(&step.need), "{name} has no room on {}", server.listing.id);
        let label = step.required_label.as_ref();
        assert!(label.is_none_or(|label| server.listing.labels.contains(label)), "{name}: label");
        let of_step = server
            .running
            .iter()
            .filter(|work| work.name.job == name.job && work.name.step == name.step);
        let most = step.per_target_max.unwrap_or(u32::MAX);
        assert!(of_step.count() < most as usize, "{name}: too many of a step on one target");
        let is_far = step
            .near_rack
            .as_deref()
            .is_some_and(|rack| server.listing.rack.as_deref() != Some(rack));
        let far = if is_far { self.rules.far_factor } else { 1.0 };
        let lasts = (self.lasts[&name.job] as f64 * server.slowness * far) as u64;
        server.starts += 1;
        let work = Work { name: name.clone(), run, need: step.need, since: self.now, lasts };
        if server.fault.fails {
            *self.failed.entry(name.clone()).or_default() += 1;
            server.end(&work, Ending::Failed);
            self.answer_holds(number);
            return;
        }
        server.running.push(work);
        self.schedule_look(number);
    }

    /// Has a target looked at, once for each time.
    fn look_at(&mut self, at: u64, number: usize) {
        let at = at.max(self.now);
        if self.servers[number].looks.insert(at) {
            self.add(at, Item::Look { server: number });
        }
    }

    /// Has the target looked at when the next of its tasks ends or its lease lapses.
    fn schedule_look(&mut self, number: usize) {
        let server = &self.servers[number];
        let ends = server.running.iter().map(|work| work.since + work.lasts).min();
        let lapse = self.now
            + 1
            + server.lease.saturating_sub(server.clock(self.now)) * 1000 / server.clock_rate;
        if let Some(end) = ends {
            self.look_at(end, number);
            self.look_at(lapse, number);
        }
    }

    /// Brings a target up to the present time.
    fn look(&mut self, number: usize) {
        let now = self.now;
        let server = &mut self.servers[number];
        let lapsed = server.clock(now) >= server.lease;
        let hangs = server.fault.hangs;
        for work in std::mem::take(&mut server.running) {
            if lapsed {
                server.end(&work, Ending::Aborted);
            } else if !hangs && now >= work.since + work.lasts {
                *self.done.entry(work.name.clone()).or_default() += 1;
                server.busy_ms += work.lasts;
                server.end(&work, Ending::Done);
            } else {
                server.running.push(work);
            }
        }
        if !server.running.is_empty() {
            let next = server.running.iter().map(|work| work.since + work.lasts).min();
            if let Some(next) = next.filter(|&next| next > now) {
                self.look_at(next, number);
            }
        }
        self.answer_holds(number);
    }

    fn answer_holds(&mut self, number: usize) {
        let now = self.now;
        let server = &mut self.servers[number];
        let is_silent = server.fault.silent;
        let has_end = !server.ended.is_empty() && !is_silent;
        let due = |&(_, _, until): &(usize, CallId, u64)| has_end || until <= now;
        let waiting = std::mem::take(&mut server.waiting);
        let (due, waiting) = waiting.into_iter().partition::<Vec<_>, _>(due);
        server.waiting = waiting;
        let (delay, reply) =
            if is_silent { (TIMEOUT, Reply::Lost) } else { (DELAY, server.report(now)) };
        for (engine, order, _) in due {
            self.add(now + delay, Item::Give { engine, order, reply: reply.clone() });
        }
    }

    /// How many tasks run anywhere.
    pub fn running(&self) -> usize {
        self.servers.iter().map(|server| server.running.len()).sum()
    }

    /// The outcome of a batch of engine 0.
    pub fn outcome(&self, job: u64) -> Option<&Outcome> {
        self.got.get(&(0, job)).map(|got| &got.outcome)
    }
}

impl Server {
    fn new(listing: Listing) -> Self {
        Self {
            listing,
            slowness: 1.0,
            fault: Fault::default(),
            clock_rate: 1000,
            fence: 0,
            lease: 0,
            running: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            past: Vec::new(),
            waiting: Vec::new(),
            drained_at: None,
            starts: 0,
            stale_starts: 0,
            busy_ms: 0,
            looks: BTreeSet::new(),
        }
    }

    /// The highest token that it has seen.
    pub const fn fence(&self) -> u64 {
        self.fence
    }

    /// Notes a start of another VM, long ago.
    pub fn had_start(&mut self, name: Name, run: u32) {
        self.past.push((name, run));
    }

    const fn clock(&self, now: u64) -> u64 {
        50_000 + now * self.clock_rate / 1000
    }

    fn extend(&mut self, until: Millis, now: u64) {
        let most = self.clock(now) + LEASE;
        self.lease = self.lease.max(until.0.min(most));
    }

    fn free(&self) -> Resources {
        self.running.iter().fold(self.listing.capacity, |free, work| free.without(&work.need))
    }

    fn end(&mut self, work: &Work, ending: Ending) {
        self.past.push((work.name.clone(), work.run));
        let number = self.next_end;
        self.next_end += 1;
        self.ended.push(Completion { number, name: work.name.clone(), attempt: work.run, ending });
    }

    fn report(&self, now: u64) -> Reply {
        let progress = |work: &Work| {
            let percent = (now - work.since) * 100 / work.lasts.max(1);
            Some(if self.fault.hangs { 0 } else { percent.min(99) as u32 })
        };
        let running = self.running.iter().map(|work| Running {
            name: work.name.clone(),
            attempt: work.run,
            progress: progress(work),
        });
        Reply::Polled(Snapshot {
            clock: Millis(self.clock(now)),
            incarnation: Some(self.listing.incarnation),
            running: running.collect(),
            completions: self.ended.clone(),
        })
    }

    /// Starts again under the same id, and knows nothing of before. Gives the calls that get no answer.
    fn crash(&mut self) -> Vec<(usize, CallId, u64)> {
        let waiting = std::mem::take(&mut self.waiting);
        let mut listing = self.listing.clone();
        listing.incarnation += 1;
        let (starts, clock_rate) = (self.starts, self.clock_rate);
        let looks = std::mem::take(&mut self.looks);
        *self = Self { slowness: self.slowness, clock_rate, starts, looks, ..Self::new(listing) };
        waiting
    }
}
