//! The fair queue of one pool.
//!
//! Teams share the slots by start-time fair queueing, weighted by their shares. Within a team, jobs
//! run in the order in which they would finish under processor sharing. No job finishes later than
//! under processor sharing and most finish sooner: short jobs overtake long ones, and equal jobs
//! run one after the other. Every operation is logarithmic in the number of queued teams and jobs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::clock::Millis;
use crate::config::Order;
use crate::job;

use super::event::DelegationId;

/// What a queued task belongs to.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// A job of this VM.
    Job(job::Id),
    /// A task that a VM of another failure domain has delegated to this one.
    Delegated(DelegationId),
}

/// Virtual time units per millisecond that a task occupies a slot.
const UNITS_PER_MS: u64 = 1000;

/// The queued tasks of one source.
#[derive(Debug)]
struct Flow {
    team: usize,
    /// The team's virtual time at which the flow would finish, or its arrival number.
    finish_tag: u64,
    /// The cost of each task, in virtual time units.
    cost: u64,
    /// The indexes of the tasks in their job.
    tasks: VecDeque<usize>,
}

#[derive(Debug, Default)]
struct Team {
    /// The queue's virtual time at which the team's next task starts.
    start_tag: u64,
    share: u64,
    /// The team's virtual time, by which its flows are ordered.
    virtual_time: u64,
    /// The queued flows by finish tag.
    flows: BTreeSet<(u64, Source)>,
}

/// The tasks that wait for a slot of one pool.
#[derive(Debug, Default)]
pub struct Queue {
    teams: Vec<Team>,
    /// The teams with queued tasks, by start tag.
    ready: BTreeSet<(u64, usize)>,
    flows: BTreeMap<Source, Flow>,
    virtual_time: u64,
    len: usize,
    /// The cost of all queued tasks, in virtual time units.
    cost: u64,
    /// The flows added so far; the tags if the queue is ordered by arrival.
    arrivals: u64,
}

/// How the tasks of a source are queued.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// The job or delegated task that the tasks belong to.
    pub source: Source,
    /// The index of the team.
    pub team: usize,
    /// The team's share.
    pub share: u32,
    /// The expected run time of one task on a target of mean speed.
    pub size: Millis,
    /// The order of the queue.
    pub order: Order,
}

impl Queue {
    /// The number of queued tasks.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether no task is queued.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The number of sources with queued tasks.
    pub fn sources(&self) -> usize {
        self.flows.len()
    }

    /// The expected total run time of the queued tasks, on one slot of mean speed.
    pub const fn work(&self) -> Millis {
        Millis(self.cost / UNITS_PER_MS)
    }

    /// Appends tasks to those of the same source.
    pub fn push(&mut self, entry: &Entry, tasks: impl ExactSizeIterator<Item = usize>) {
        let count = tasks.len();
        let flow = self.flow(entry, count);
        let cost = flow.cost;
        flow.tasks.extend(tasks);
        self.len += count;
        self.cost += cost * count as u64;
    }

    /// Puts a task in front of those of the same source.
    pub fn push_front(&mut self, entry: &Entry, task: usize) {
        let flow = self.flow(entry, 1);
        let cost = flow.cost;
        flow.tasks.push_front(task);
        self.len += 1;
        self.cost += cost;
    }

    /// The next task: its source and its index in the job.
    pub fn peek(&self) -> Option<(Source, usize)> {
        let &(_, team) = self.ready.first()?;
        let &(_, source) = self.teams[team].flows.first()?;
        let flow = &self.flows[&source];
        Some((source, *flow.tasks.front()?))
    }

    /// Removes the next task and returns it.
    pub fn pop(&mut self) -> Option<(Source, usize)> {
        let (start_tag, team_index) = self.ready.pop_first()?;
        let team = &mut self.teams[team_index];
        let (finish_tag, source) = team.flows.pop_first()?;
        let flow = self.flows.get_mut(&source)?;
        let task = flow.tasks.pop_front()?;
        self.virtual_time = start_tag;
        team.virtual_time += flow.cost / (team.flows.len() as u64 + 1);
        team.start_tag = start_tag + flow.cost / team.share;
        self.len -= 1;
        self.cost -= flow.cost;
        if flow.tasks.is_empty() {
            self.flows.remove(&source);
        } else {
            team.flows.insert((finish_tag, source));
        }
        if !team.flows.is_empty() {
            self.ready.insert((team.start_tag, team_index));
        }
        Some((source, task))
    }

    /// Removes all tasks of a source and returns their indexes.
    pub fn remove(&mut self, source: Source) -> VecDeque<usize> {
        let Some(flow) = self.flows.remove(&source) else { return VecDeque::new() };
        let team = &mut self.teams[flow.team];
        team.flows.remove(&(flow.finish_tag, source));
        if team.flows.is_empty() {
            self.ready.remove(&(team.start_tag, flow.team));
        }
        self.len -= flow.tasks.len();
        self.cost -= flow.cost * flow.tasks.len() as u64;
        flow.tasks
    }

    /// The sources with queued tasks, in a fixed order.
    pub fn list(&self) -> Vec<Source> {
        self.flows.keys().copied().collect()
    }

    fn flow(&mut self, entry: &Entry, count: usize) -> &mut Flow {
        if !self.flows.contains_key(&entry.source) {
            self.add_flow(entry, count);
        }
        self.flows.get_mut(&entry.source).expect("the flow exists or was just added")
    }

    fn add_flow(&mut self, entry: &Entry, count: usize) {
        let by_arrival = entry.order == Order::Arrival;
        let team_index = if by_arrival { 0 } else { entry.team };
        if self.teams.len() <= team_index {
            self.teams.resize_with(team_index + 1, Team::default);
        }
        self.arrivals += 1;
        let team = &mut self.teams[team_index];
        team.share = u64::from(entry.share.max(1));
        let cost = if by_arrival { 0 } else { entry.size.0.max(1) * UNITS_PER_MS };
        let finish_tag =
            if by_arrival { self.arrivals } else { team.virtual_time + cost * count as u64 };
        if team.flows.is_empty() {
            team.start_tag = team.start_tag.max(self.virtual_time);
            self.ready.insert((team.start_tag, team_index));
        }
        team.flows.insert((finish_tag, entry.source));
        let flow = Flow { team: team_index, finish_tag, cost, tasks: VecDeque::new() };
        self.flows.insert(entry.source, flow);
    }
}
