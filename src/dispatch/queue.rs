//! The fair queue: start-time fair queueing between teams by share; within a team, jobs in the order in
//! which they would end if all shared the slots alike.
//!
//! No job ends later that way than with equal parts, and most end sooner: a short job passes a long one,
//! and equal jobs go one after the other. Every operation costs the logarithm of the number of teams and jobs that wait.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::clock::Millis;
use crate::config::Order;
use crate::job;

use super::event::DelegationId;

/// What a task that waits belongs to.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// A job of this VM.
    Job(job::Id),
    /// A task of another domain's VM.
    Adopted(DelegationId),
}

/// The cost of a task in virtual time units; one unit is a thousandth of a millisecond of a slot.
const UNITS_PER_MS: u64 = 1000;

#[derive(Debug)]
struct Flow {
    team: usize,
    tag: u64,
    cost: u64,
    tasks: VecDeque<usize>,
}

#[derive(Debug, Default)]
struct Team {
    tag: u64,
    share: u64,
    /// The virtual time within the team.
    clock: u64,
    flows: BTreeSet<(u64, Source)>,
}

/// The tasks that wait for a slot of one pool of targets.
#[derive(Debug, Default)]
pub struct Queue {
    teams: Vec<Team>,
    ready: BTreeSet<(u64, usize)>,
    flows: BTreeMap<Source, Flow>,
    clock: u64,
    len: usize,
    cost: u64,
    arrivals: u64,
}

/// What is put into the queue.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// What the tasks belong to.
    pub source: Source,
    /// The number of the team.
    pub team: usize,
    /// The team's share.
    pub share: u32,
    /// What one task is expected to last.
    pub size: Millis,
    /// How the queue is ordered.
    pub order: Order,
}

impl Queue {
    /// The number of tasks that wait.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The number of jobs that wait.
    pub fn sources(&self) -> usize {
        self.flows.len()
    }

    /// The expected time of all that waits, on one slot of mean speed.
    pub const fn work(&self) -> Millis {
        Millis(self.cost / UNITS_PER_MS)
    }

    /// Adds tasks behind those of the same source.
    pub fn push(&mut self, entry: &Entry, tasks: impl ExactSizeIterator<Item = usize>) {
        let count = tasks.len();
        let flow = self.flow(entry, count);
        let cost = flow.cost;
        flow.tasks.extend(tasks);
        self.len += count;
        self.cost += cost * count as u64;
    }

    /// Puts back a task in front of those of the same source.
    pub fn push_front(&mut self, entry: &Entry, task: usize) {
        let flow = self.flow(entry, 1);
        let cost = flow.cost;
        flow.tasks.push_front(task);
        self.len += 1;
        self.cost += cost;
    }

    /// The task that is next.
    pub fn peek(&self) -> Option<(Source, usize)> {
        let &(_, team) = self.ready.first()?;
        let &(_, source) = self.teams[team].flows.first()?;
        let flow = &self.flows[&source];
        Some((source, *flow.tasks.front()?))
    }

    /// Takes out the task that is next.
    pub fn pop(&mut self) -> Option<(Source, usize)> {
        let (team_tag, number) = self.ready.pop_first()?;
        let team = &mut self.teams[number];
        let (tag, source) = team.flows.pop_first()?;
        let flow = self.flows.get_mut(&source)?;
        let task = flow.tasks.pop_front()?;
        self.clock = team_tag;
        team.clock += flow.cost / (team.flows.len() as u64 + 1);
        team.tag = team_tag + flow.cost / team.share;
        self.len -= 1;
        self.cost -= flow.cost;
        if flow.tasks.is_empty() {
            self.flows.remove(&source);
        } else {
            team.flows.insert((tag, source));
        }
        if !team.flows.is_empty() {
            self.ready.insert((team.tag, number));
        }
        Some((source, task))
    }

    /// Drops all tasks of a source and gives them back.
    pub fn remove(&mut self, source: Source) -> VecDeque<usize> {
        let Some(flow) = self.flows.remove(&source) else { return VecDeque::new() };
        let team = &mut self.teams[flow.team];
        team.flows.remove(&(flow.tag, source));
        if team.flows.is_empty() {
            self.ready.remove(&(team.tag, flow.team));
        }
        self.len -= flow.tasks.len();
        self.cost -= flow.cost * flow.tasks.len() as u64;
        flow.tasks
    }

    /// The sources that wait, in a fixed order.
    pub fn list(&self) -> Vec<Source> {
        self.flows.keys().copied().collect()
    }

    fn flow(&mut self, entry: &Entry, count: usize) -> &mut Flow {
        if !self.flows.contains_key(&entry.source) {
            self.admit(entry, count);
        }
        self.flows.get_mut(&entry.source).expect("the flow was just made sure of")
    }

    fn admit(&mut self, entry: &Entry, count: usize) {
        let by_arrival = entry.order == Order::Arrival;
        let number = if by_arrival { 0 } else { entry.team };
        if self.teams.len() <= number {
            self.teams.resize_with(number + 1, Team::default);
        }
        self.arrivals += 1;
        let team = &mut self.teams[number];
        team.share = u64::from(entry.share.max(1));
        let cost = if by_arrival { 0 } else { entry.size.0.max(1) * UNITS_PER_MS };
        let tag = if by_arrival { self.arrivals } else { team.clock + cost * count as u64 };
        if team.flows.is_empty() {
            team.tag = team.tag.max(self.clock);
            self.ready.insert((team.tag, number));
        }
        team.flows.insert((tag, entry.source));
        let flow = Flow { team: number, tag, cost, tasks: VecDeque::new() };
        self.flows.insert(entry.source, flow);
    }
}
