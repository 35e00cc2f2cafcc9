//! Services and teams by number, with what was learnt of each service's tasks.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::config::{self, Document};

use super::budget::Budget;
use super::estimate::Size;
use super::fleet::Fleet;
use super::health::Tally;

/// A service.
#[derive(Debug)]
pub struct Service {
    /// Its pool of targets.
    pub pool: usize,
    /// Its rules; `None` once it is gone from the configuration.
    pub rules: Option<config::Service>,
    /// Domains with a target that may run it and is not leaving.
    pub domains: BTreeSet<String>,
    /// How long its tasks last.
    pub size: Size,
    /// How its tasks ended.
    pub tally: Tally,
    /// The spare copies that it may make.
    pub spares: Budget,
}

/// All services and teams that were ever configured, under numbers that stay the same.
#[derive(Debug, Default)]
pub struct Services {
    /// The services by number.
    pub list: Vec<Service>,
    by_name: BTreeMap<String, usize>,
    teams: BTreeMap<String, usize>,
    shares: Vec<u32>,
}

impl Services {
    /// Takes over a configuration. Returns whether a service has moved to another pool.
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
            let number = self.number(&rules.name, pool);
            let service = &mut self.list[number];
            moved |= service.pool != pool;
            service.pool = pool;
            service.rules = Some(rules.clone());
            service.domains = domains(document, leaving, rules);
        }
        self.shares.iter_mut().for_each(|share| *share = 1);
        for team in &document.teams {
            let next = self.teams.len() + 1;
            let number = *self.teams.entry(team.name.clone()).or_insert(next);
            self.shares.resize(self.shares.len().max(number + 1), 1);
            self.shares[number] = team.share;
        }
        moved
    }

    /// The number of a service that is configured.
    pub fn find(&self, name: &str) -> Option<usize> {
        let &number = self.by_name.get(name)?;
        self.list[number].rules.as_ref().map(|_| number)
    }

    /// The number of a team; all that are not configured share one.
    pub fn team(&self, name: &str) -> usize {
        self.teams.get(name).copied().unwrap_or(0)
    }

    /// A team's share.
    pub fn share(&self, team: usize) -> u32 {
        self.shares.get(team).copied().unwrap_or(1)
    }

    fn number(&mut self, name: &str, pool: usize) -> usize {
        if let Some(&number) = self.by_name.get(name) {
            return number;
        }
        let number = self.list.len();
        self.by_name.insert(name.to_owned(), number);
        self.list.push(Service {
            pool,
            rules: None,
            domains: BTreeSet::new(),
            size: Size::default(),
            tally: Tally::default(),
            spares: Budget::default(),
        });
        number
    }
}

impl Service {
    /// The longest that one task may run.
    pub fn run_max(&self) -> Millis {
        self.rules.as_ref().map_or(Millis::from_secs(10), |rules| rules.run_max)
    }

    /// The spare copies that it may make, as a share of first starts.
    pub fn spare_share(&self) -> f64 {
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
