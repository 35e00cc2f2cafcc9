//! Validates the merged sections of a document, including references from one section to another.

use std::collections::BTreeMap;
use std::fmt;

use crate::clock::Millis;
use crate::settings::Fault;

use super::section::{Body, Name};
use super::{Limits, Service, Target, Team};

/// The most slots that a target may have.
const SLOTS_MAX: u32 = 1024;

/// The most connections that all VMs together may open to a target.
const CONNECTIONS_MAX: u32 = 1024;

/// The longest name of a target, domain, rack, service or team, in bytes.
const NAME_MAX_BYTES: usize = 64;

/// Returns a fault for each rule that the sections break together.
pub(super) fn sections(sections: &BTreeMap<&Name, &Body>) -> Vec<Fault> {
    let mut check = Check::default();
    // Services refer to targets, so every target is recorded first.
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
    /// The path and the domain of each target, by id.
    targets: BTreeMap<&'a str, (String, &'a str)>,
    /// The id of the target at each address.
    addresses: BTreeMap<String, &'a str>,
    /// The path of each service, by name.
    services: BTreeMap<&'a str, String>,
    /// The path of each team, by name.
    teams: BTreeMap<&'a str, String>,
}

impl<'a> Check<'a> {
    fn require(&mut self, holds: bool, path: &str, value: impl fmt::Display, remedy: &str) {
        if !holds {
            self.faults.push(Fault::new(path, value, remedy));
        }
    }

    fn name(&mut self, path: &str, name: &str) {
        let is_visible = |byte: u8| byte.is_ascii_graphic();
        let valid = (1..=NAME_MAX_BYTES).contains(&name.len()) && name.bytes().all(is_visible);
        self.require(valid, path, format!("{name:?}"), "use 1 to 64 visible ASCII characters");
    }

    fn targets(&mut self, section: &Name, targets: &'a [Target]) {
        for (index, target) in targets.iter().enumerate() {
            let path = |field: &str| format!("{section}[{index}].{field}");
            self.name(&path("id"), &target.id);
            self.name(&path("domain"), &target.domain);
            self.unique_target(&path("id"), target);
            self.require(
                (1..=SLOTS_MAX).contains(&target.slots),
                &path("slots"),
                target.slots,
                "use 1 to 1024; to give the target no new tasks set leaving: true",
            );
            self.require(
                (1..=CONNECTIONS_MAX).contains(&target.connections),
                &path("connections"),
                target.connections,
                "use 1 to 1024",
            );
            self.require(
                target.address.port() != 0,
                &path("address"),
                target.address,
                "give the port that the target listens on",
            );
        }
    }

    fn unique_target(&mut self, path: &str, target: &'a Target) {
        if let Some((other, domain)) = self.targets.get(target.id.as_str()) {
            let remedy = if *domain == target.domain {
                format!("the id is used at {other} too; remove one of them")
            } else {
                format!(
                    "the target is in domain {domain:?} at {other} and in {:?} here; keep one",
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
            if let Some(other) = self.services.insert(&service.name, path("name")) {
                let remedy = format!("the name is used at {other} too; remove one of them");
                self.faults.push(Fault::new(&path("name"), &service.name, remedy));
            }
            let unknown = service.targets.iter().enumerate();
            let unknown = unknown.filter(|(_, id)| !self.targets.contains_key(id.as_str()));
            for (position, id) in unknown.collect::<Vec<_>>() {
                let remedy = "no section defines this target; add it first or remove it here";
                let path = format!("{}[{position}]", path("targets"));
                self.faults.push(Fault::new(&path, format!("{id:?}"), remedy));
            }
            self.positive(&path("timeout"), service.timeout);
            self.positive(&path("run_max"), service.run_max);
            self.share(&path("spare_share"), service.spare_share);
        }
    }

    fn teams(&mut self, section: &Name, teams: &'a [Team]) {
        for (index, team) in teams.iter().enumerate() {
            let path = |field: &str| format!("{section}[{index}].{field}");
            self.name(&path("name"), &team.name);
            if let Some(other) = self.teams.insert(&team.name, path("name")) {
                let remedy = format!("the name is used at {other} too; remove one of them");
                self.faults.push(Fault::new(&path("name"), &team.name, remedy));
            }
            self.require(team.share > 0, &path("share"), team.share, "use at least 1");
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
            self.require(count > 0, &path(field), count, "use at least 1");
        }
        self.positive(&path("timeout_max"), limits.timeout_max);
        self.positive(&path("ejection.pause"), limits.ejection.pause);
        self.positive(&path("windows.length"), limits.windows.length);
        self.share(&path("retries.share"), limits.retries.share);
        self.share(&path("ejection.share_max"), limits.ejection.share_max);
        self.require(
            limits.ejection.pause_max >= limits.ejection.pause,
            &path("ejection.pause_max"),
            limits.ejection.pause_max,
            "use at least ejection.pause",
        );
    }

    fn positive(&mut self, path: &str, time: Millis) {
        self.require(time > Millis::ZERO, path, time, "use a time above zero");
    }

    fn share(&mut self, path: &str, share: f64) {
        self.require((0.0..=1.0).contains(&share), path, share, "use a share from 0 to 1");
    }
}
