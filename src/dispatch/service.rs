//! The configured services and teams, with the measurements of each service's tasks.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::config::{self, Document};

use super::budget::Budget;
use super::estimate::Size;
use super::fleet::Fleet;
use super::health::Tally;

/// A service and the measurements of its tasks.
#[derive(Debug)]
pub struct Service {
    /// The index of the service's pool of targets.
    pub pool: usize,
    /// The service's configuration; `None` once it was removed.
    pub rules: Option<config::Service>,
    /// The failure domains with a target that may run the service and is not leaving.
    pub domains: BTreeSet<String>,
    /// The run time of the service's tasks.
    pub size: Size,
    /// The results of the service's attempts.
    pub tally: Tally,
    /// The hedges that the service may still make.
    pub hedges: Budget,
}

/// All services and teams that were ever configured, under stable indexes.
#[derive(Debug, Default)]
pub struct Services {
    /// The services by index.
    pub list: Vec<Service>,
    by_name: BTreeMap<String, usize>,
    teams: BTreeMap<String, usize>,
    /// The shares of the teams by index.
    shares: Vec<u32>,
}

impl Services {
    /// Applies a configuration. Returns whether a service has moved to another pool.
    pub fn configure(
        &mut self,
        document: &Document,
        leaving: &BTreeSet<String>,
        fleet: &mut Fleet,
    ) -> bool {
        let mut moved = false;
        self.list.iter_mut().for_each(|service| service.rules = None);
        for rules in &document.services {
            let pool = fleet.pool(&rules.targets);
            let index = self.index(&rules.name, pool);
            let service = &mut self.list[index];
            moved |= service.pool != pool;
            service.pool = pool;
            service.rules = Some(rules.clone());
            service.domains = domains(document, leaving, rules);
        }
        self.shares.iter_mut().for_each(|share| *share = 1);
        for team in &document.teams {
            let next = self.teams.len() + 1;
            let index = *self.teams.entry(team.name.clone()).or_insert(next);
            self.shares.resize(self.shares.len().max(index + 1), 1);
            self.shares[index] = team.share;
        }
        moved
    }

    /// The index of a configured service.
    pub fn find(&self, name: &str) -> Option<usize> {
        let &index = self.by_name.get(name)?;
        self.list[index].rules.as_ref().map(|_| index)
    }

    /// The index of a team. All teams that were never configured share index 0.
    pub fn team(&self, name: &str) -> usize {
        self.teams.get(name).copied().unwrap_or(0)
    }

    /// The share of the team with this index.
    pub fn share(&self, team: usize) -> u32 {
        self.shares.get(team).copied().unwrap_or(1)
    }

    fn index(&mut self, name: &str, pool: usize) -> usize {
        if let Some(&index) = self.by_name.get(name) {
            return index;
        }
        let index = self.list.len();
        self.by_name.insert(name.to_owned(), index);
        self.list.push(Service {
            pool,
            rules: None,
            domains: BTreeSet::new(),
            size: Size::default(),
            tally: Tally::default(),
            hedges: Budget::default(),
        });
        index
    }
}

impl Service {
    /// The maximum run time of a task.
    pub fn run_max(&self) -> Millis {
        self.rules.as_ref().map_or(Millis::from_secs(10), |rules| rules.run_max)
    }

    /// The hedges that the service may make, as a share of first attempts.
    pub fn hedge_share(&self) -> f64 {
        self.rules.as_ref().map_or(0.0, |rules| rules.spare_share)
    }
}

fn domains(
    document: &Document,
    leaving: &BTreeSet<String>,
    rules: &config::Service,
) -> BTreeSet<String> {
    let allowed = rules.targets.iter().collect::<BTreeSet<_>>();
    let fit = document.targets.iter().filter(|target| {
        let stays = !target.leaving && !leaving.contains(&target.id);
        stays && (allowed.is_empty() || allowed.contains(&target.id))
    });
    fit.map(|target| target.domain.clone()).collect()
}
