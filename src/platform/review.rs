//! A review of a configuration before it is sent: errors, routes that can never match, limits that contradict each other,
//! and what differs from another configuration.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use serde::Serialize;
use serde_norway::Value;

use crate::clock::Millis;
use crate::settings::{Fault, read};

use super::configuration::{Document, Entry};

/// The shortest body of a job that asks for one task.
const BODY_MIN_BYTES: u64 = 64;

/// What a change of a field does, by field.
const EFFECTS: [(&str, &str); 8] = [
    ("host", "callers of the old host get 404, unless another route matches"),
    ("prefix", "callers of the old path get 404, unless another route matches"),
    ("service", "jobs that have arrived stay on the old service; later ones run on the new one"),
    ("timeoutMs", "holds for requests that arrive from then on"),
    ("sloMs", "holds for jobs that arrive from then on"),
    ("priority", "holds for jobs that arrive from then on"),
    ("attempts", "holds for jobs that arrive from then on"),
    ("stretch", "holds for jobs that arrive from then on"),
];

/// A configuration that could be read.
#[derive(Debug)]
pub struct Configuration(Document);

/// A difference between two configurations.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The name of the route; empty for the configuration as a whole.
    pub route: String,
    /// The field; empty if the whole route was added or removed.
    pub field: &'static str,
    /// The value in the other configuration; empty if there is none.
    pub was: String,
    /// The value in this configuration; empty if there is none.
    pub now: String,
    /// What the change does to callers and jobs.
    pub effect: &'static str,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { route, field, was, now, effect } = self;
        match (route.as_str(), *field) {
            ("", field) => write!(f, "{field}: {was} to {now}; {effect}"),
            (route, "") if was.is_empty() => write!(f, "route {route}: added; {effect}"),
            (route, "") => write!(f, "route {route}: removed; {effect}"),
            (route, field) => write!(f, "route {route}: {field} {was} to {now}; {effect}"),
        }
    }
}

/// Whether a parsed text looks like a configuration of the platform, valid or not.
pub fn recognizes(root: &Value) -> bool {
    root.get("routes").is_some_and(Value::is_sequence) && root.get("version").is_some()
}

/// Reads a configuration, and returns it with all its faults. It is `None` if too little of it can be read.
pub fn review(root: &Value) -> (Option<Configuration>, Vec<Fault>) {
    let (document, mut faults) = read::typed::<Document>(root);
    let Some(document) = document else { return (None, faults) };
    faults.extend(check_document(&document));
    faults.extend(check_routes(&document));
    (Some(Configuration(document)), faults)
}

fn check_document(document: &Document) -> Vec<Fault> {
    let mut faults = Vec::new();
    if document.version == 0 {
        faults.push(Fault::new("version", 0, "use at least 1; VMs take 0 as no configuration"));
    }
    let bytes = document.limits.max_body_bytes;
    if bytes < BODY_MIN_BYTES {
        let remedy = "use at least 64; no job fits into less";
        faults.push(Fault::new("limits.maxBodyBytes", bytes, remedy));
    }
    let mut names = BTreeSet::new();
    for (index, service) in document.services.iter().enumerate() {
        let path = format!("services[{index}].name");
        if service.name.is_empty() {
            faults.push(Fault::new(&path, "empty", "name the service"));
        } else if !names.insert(&service.name) {
            faults.push(Fault::new(&path, &service.name, "list each service once"));
        }
    }
    faults
}

fn check_routes(document: &Document) -> Vec<Fault> {
    let services = document.services.iter().map(|service| &*service.name).collect::<BTreeSet<_>>();
    let mut names = HashMap::<&str, usize>::new();
    let mut places = HashMap::<(&str, &str), usize>::new();
    let mut faults = Vec::new();
    for (index, route) in document.routes.iter().enumerate() {
        let mut fault = |field: &str, value: &dyn fmt::Display, remedy: &str| {
            faults.push(Fault::new(&format!("routes[{index}].{field}"), value, remedy));
        };
        check_route(route, &mut fault);
        if let Some(first) = names.insert(&route.name, index) {
            let remedy = format!("routes[{first}] has this name too; give each route its own");
            fault("name", &route.name, &remedy);
        }
        if let Some(first) = places.insert((&route.host, &route.prefix), index) {
            let remedy = format!(
                "one of this and routes[{first}] never matches, as host and prefix are the same; remove one"
            );
            fault("prefix", &route.prefix, &remedy);
        }
        if !services.is_empty() && !services.contains(&*route.service) {
            let remedy = "no service has this name; add it to services or correct it";
            fault("service", &route.service, remedy);
        }
    }
    faults
}

/// Checks what one route says by itself.
fn check_route(route: &Entry, fault: &mut dyn FnMut(&str, &dyn fmt::Display, &str)) {
    if route.name.is_empty() {
        fault("name", &"empty", "name the route");
    }
    if route.host.is_empty() || route.host.contains(':') {
        let remedy =
            "give the host without a port; the port of a request is ignored, so this never matches";
        fault("host", &route.host, remedy);
    }
    if !route.prefix.starts_with('/') {
        let remedy = "begin with a slash; the path of a request does, so this never matches";
        fault("prefix", &route.prefix, remedy);
    }
    if route.attempts == 0 {
        fault("attempts", &route.attempts, "use at least 1; a task needs an attempt");
    }
    if let Some(stretch) = route.stretch.filter(|stretch| !stretch.is_finite() || *stretch < 1.0) {
        let remedy = "use at least 1; no job ends before its work is done";
        fault("stretch", &stretch, remedy);
    }
    if route.timeout_ms > Millis::ZERO && route.timeout_ms <= route.slo_ms {
        let remedy = "use more than sloMs; otherwise callers give up before any job has to be done";
        fault("timeoutMs", &route.timeout_ms.0, remedy);
    }
}

impl Configuration {
    /// What differs from `other`, in the order of the routes' names.
    pub fn changes_since(&self, other: &Self) -> Vec<Change> {
        let (new, old) = (by_name(&self.0), by_name(&other.0));
        let mut changes = Vec::new();
        self.compare_version(other, &mut changes);
        for (name, route) in &new {
            match old.get(name) {
                None => changes.push(Change {
                    route: (*name).to_owned(),
                    field: "",
                    was: String::new(),
                    now: "added".to_owned(),
                    effect: "its callers are served as soon as it is in force",
                }),
                Some(old) => compare_routes(old, route, &mut changes),
            }
        }
        let removed = old.keys().filter(|name| !new.contains_key(*name));
        changes.extend(removed.map(|name| Change {
            route: (*name).to_owned(),
            field: "",
            was: "removed".to_owned(),
            now: String::new(),
            effect: "its callers get 404, unless another route matches; jobs that have arrived go on",
        }));
        changes
    }

    /// The fault of a version that VMs which have `other` in force ignore.
    pub fn stale_since(&self, other: &Self) -> Option<Fault> {
        let remedy = format!("use more than {}; VMs ignore older versions", other.0.version);
        let is_stale = self.0.version <= other.0.version;
        is_stale.then(|| Fault::new("version", self.0.version, &remedy))
    }

    fn compare_version(&self, other: &Self, changes: &mut Vec<Change>) {
        let values = [
            ("version", self.0.version, other.0.version, "comes into force once it is higher"),
            (
                "limits.maxBodyBytes",
                self.0.limits.max_body_bytes,
                other.0.limits.max_body_bytes,
                "holds for requests that arrive from then on",
            ),
        ];
        for (field, now, was, effect) in values {
            if now != was {
                let (was, now) = (was.to_string(), now.to_string());
                changes.push(Change { route: String::new(), field, was, now, effect });
            }
        }
    }
}

fn by_name(document: &Document) -> BTreeMap<&str, &Entry> {
    document.routes.iter().map(|route| (route.name.as_str(), route)).collect()
}

/// The values of a route's fields as text, in the order of [`EFFECTS`].
fn values(route: &Entry) -> [String; EFFECTS.len()] {
    [
        route.host.clone(),
        route.prefix.clone(),
        route.service.clone(),
        route.timeout_ms.0.to_string(),
        route.slo_ms.0.to_string(),
        route.priority.to_string(),
        route.attempts.to_string(),
        route.stretch.unwrap_or(1.0).to_string(),
    ]
}

fn compare_routes(old: &Entry, new: &Entry, changes: &mut Vec<Change>) {
    for (((field, effect), was), now) in EFFECTS.into_iter().zip(values(old)).zip(values(new)) {
        if was != now {
            changes.push(Change { route: new.name.clone(), field, was, now, effect });
        }
    }
}
