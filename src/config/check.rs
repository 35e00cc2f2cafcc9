//! The rules that hold for the whole document, across its sections.

use std::collections::BTreeMap;
use std::fmt;

use crate::clock::Millis;
use crate::settings::Fault;

use super::section::{Body, Name};
use super::{Limits, Service, Target, Team};

/// The most slots of a target.
const SLOTS_MAX: u32 = 1024;

/// The most connections to a target.
const CONNECTIONS_MAX: u32 = 1024;

/// The longest name of a target, domain, rack, service or team, in bytes.
const NAME_MAX_BYTES: usize = 64;

/// Every rule that the merged sections break.
pub(super) fn whole(sections: &BTreeMap<&Name, &Body>) -> Vec<Fault> {
    let mut check = Check::default();
    for (name, body) in sections {
        if let Body::Targets(targets) = body {
            check.targets(name, targets);
        }
    }
    for (name, body) in sections {
        match body {
            Body::Services(services) => check.services(name, services),
            Body::Teams(teams) => check.teams(name, teams),
            Body::Limits(limits) => check.limits(name, limits),
            Body::Targets(_) => {}
        }
    }
    check.faults
}

#[derive(Default)]
struct Check<'a> {
    faults: Vec<Fault>,
    /// Each id or name that was seen, with where and, for a target, its domain.
    targets: BTreeMap<&'a str, (String, &'a str)>,
    addresses: BTreeMap<String, &'a str>,
    services: BTreeMap<&'a str, String>,
    teams: BTreeMap<&'a str, String>,
}

impl<'a> Check<'a> {
    fn rule(&mut self, holds: bool, path: &str, value: impl fmt::Display, remedy: &str) {
        if !holds {
            self.faults.push(Fault::new(path, value, remedy));
        }
    }

    fn name(&mut self, path: &str, name: &str) {
        let fits = |byte: u8| byte.is_ascii_graphic();
        let sound = !name.is_empty() && name.len() <= NAME_MAX_BYTES && name.bytes().all(fits);
        self.rule(sound, path, format!("{name:?}"), "use 1 to 64 visible ASCII characters");
    }

    fn targets(&mut self, section: &Name, targets: &'a [Target]) {
        for (index, target) in targets.iter().enumerate() {
            let path = |field: &str| format!("{section}[{index}].{field}");
            self.name(&path("id"), &target.id);
            self.name(&path("domain"), &target.domain);
            self.target_once(&path("id"), target);
            self.rule(
                (1..=SLOTS_MAX).contains(&target.slots),
                &path("slots"),
                target.slots,
                "use 1 to 1024; to stop its work set leaving: true",
            );
            self.rule(
                (1..=CONNECTIONS_MAX).contains(&target.connections),
                &path("connections"),
                target.connections,
                "use 1 to 1024",
            );
            self.rule(
                target.address.port() != 0,
                &path("address"),
                target.address,
                "give the port that the target listens on",
            );
        }
    }

    fn target_once(&mut self, path: &str, target: &'a Target) {
        if let Some((place, domain)) = self.targets.get(target.id.as_str()) {
            let remedy = if *domain == target.domain {
                format!("the id stands at {place} too; take one of them out")
            } else {
                format!(
                    "the target is in domain {domain:?} at {place} and in {:?} here; keep one",
                    target.domain
                )
            };
            self.faults.push(Fault::new(path, format!("{:?}", target.id), remedy));
            return;
        }
        self.targets.insert(&target.id, (path.to_owned(), &target.domain));
        let address = target.address.to_string();
        if let Some(other) = self.addresses.insert(address.clone(), &target.id) {
            let remedy = format!("target {other:?} has this address too; give each its own");
            let path = path.replace(".id", ".address");
            self.faults.push(Fault::new(&path, address, remedy));
        }
    }

    fn services(&mut self, section: &Name, services: &'a [Service]) {
        for (index, service) in services.iter().enumerate() {
            let path = |field: &str| format!("{section}[{index}].{field}");
            self.name(&path("name"), &service.name);
            if let Some(place) = self.services.insert(&service.name, path("name")) {
                let remedy = format!("the name stands at {place} too; take one of them out");
                self.faults.push(Fault::new(&path("name"), &service.name, remedy));
            }
            let unknown = service.targets.iter().enumerate();
            let unknown = unknown.filter(|(_, id)| !self.targets.contains_key(id.as_str()));
            for (at, id) in unknown.collect::<Vec<_>>() {
                let remedy = "no section names this target; add it first or take it out here";
                let path = format!("{}[{at}]", path("targets"));
                self.faults.push(Fault::new(&path, format!("{id:?}"), remedy));
            }
            self.span(&path("timeout"), service.timeout);
            self.span(&path("run_max"), service.run_max);
            self.share(&path("spare_share"), service.spare_share);
        }
    }

    fn teams(&mut self, section: &Name, teams: &'a [Team]) {
        for (index, team) in teams.iter().enumerate() {
            let path = |field: &str| format!("{section}[{index}].{field}");
            self.name(&path("name"), &team.name);
            if let Some(place) = self.teams.insert(&team.name, path("name")) {
                let remedy = format!("the name stands at {place} too; take one of them out");
                self.faults.push(Fault::new(&path("name"), &team.name, remedy));
            }
            self.rule(team.share > 0, &path("share"), team.share, "use at least 1");
        }
    }

    fn limits(&mut self, section: &Name, limits: &Limits) {
        let path = |field: &str| format!("{section}.{field}");
        let counts = [
            ("body_max", limits.body_max),
            ("tasks_max", limits.tasks_max as u64),
            ("queue.tasks_max", limits.queue.tasks_max as u64),
            ("retries.attempts_max", limits.retries.attempts_max.into()),
            ("ejection.failures", limits.ejection.failures.into()),
            ("windows.kept", limits.windows.kept),
            ("windows.keys_max", limits.windows.keys_max as u64),
        ];
        for (field, count) in counts {
            self.rule(count > 0, &path(field), count, "use at least 1");
        }
        self.span(&path("timeout_max"), limits.timeout_max);
        self.span(&path("ejection.pause"), limits.ejection.pause);
        self.span(&path("windows.length"), limits.windows.length);
        self.share(&path("retries.share"), limits.retries.share);
        self.share(&path("ejection.share_max"), limits.ejection.share_max);
        self.rule(
            limits.ejection.pause_max >= limits.ejection.pause,
            &path("ejection.pause_max"),
            limits.ejection.pause_max,
            "use at least ejection.pause",
        );
    }

    fn span(&mut self, path: &str, span: Millis) {
        self.rule(span > Millis::ZERO, path, span, "use a time above zero");
    }

    fn share(&mut self, path: &str, share: f64) {
        self.rule((0.0..=1.0).contains(&share), path, share, "use a share from 0 to 1");
    }
}
