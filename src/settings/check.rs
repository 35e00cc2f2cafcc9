//! Checks that the types can't express: required fields, ranges, and fields that depend on each other.

use serde_norway::Value;

use super::{Fault, Settings, read, unit};
use crate::clock::Millis;

/// The minimum session TTL that Consul accepts.
const LEASE_TTL_MIN: Millis = Millis::from_secs(10);

/// The upper limit of the `threads` setting.
const THREADS_MAX: usize = 256;

/// The lower limit of the `callers.memory_max` setting, in bytes.
const MEMORY_MIN: u64 = 1 << 20;

/// The paths of the fields without a default, each with the remedy to report if it is missing.
const REQUIRED: [(&str, &str); 6] = [
    ("vm", "give the VM a unique name, such as lantern-a-1"),
    ("domain", "name the VM's failure domain, such as a"),
    ("region", "name the VM's region, such as south"),
    ("listen.callers", "give IP:PORT for callers; port 0 selects a free port"),
    ("listen.peers", "give IP:PORT for other VMs; port 0 selects a free port"),
    ("store.url", "give the store as http://IP:PORT"),
];

/// Returns a fault for each required field that is absent or null in `root`.
pub fn missing_fields(root: &Value) -> impl Iterator<Item = Fault> {
    let absent = |path: &str| read::lookup(root, path).is_none_or(Value::is_null);
    REQUIRED
        .iter()
        .filter(move |(path, _)| absent(path))
        .map(|(path, remedy)| Fault::missing(path, *remedy))
}

/// Returns a fault for each rule that `settings` violate.
pub fn violations(settings: &Settings) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut check = |holds: bool, path: &str, value: String, remedy: &str| {
        if !holds {
            faults.push(Fault::new(path, value, remedy));
        }
    };
    for (path, name) in
        [("vm", &settings.vm), ("domain", &settings.domain), ("region", &settings.region)]
    {
        check(
            is_name(name),
            path,
            format!("{name:?}"),
            "use letters, digits, '-', '_' and '.' only",
        );
    }
    let threads = settings.threads;
    check(
        (1..=THREADS_MAX).contains(&threads),
        "threads",
        threads.to_string(),
        "use 1 to 256, usually the number of processors",
    );
    let positive = [
        ("drain", settings.drain),
        ("store.timeout", settings.store.timeout),
        ("heartbeat.every", settings.heartbeat.every),
        ("lease.renew", settings.lease.renew),
        ("callers.head_timeout", settings.callers.head_timeout),
        ("callers.body_timeout", settings.callers.body_timeout),
        ("targets.connect_timeout", settings.targets.connect_timeout),
        ("targets.prove_after", settings.targets.prove_after),
    ];
    for (path, span) in positive {
        check(span > Millis::ZERO, path, unit::text(span), "use a time above zero");
    }
    check(
        settings.heartbeat.patience >= settings.heartbeat.every * 2,
        "heartbeat.patience",
        unit::text(settings.heartbeat.patience),
        "use at least twice heartbeat.every, so that one lost heartbeat doesn't close the link",
    );
    check(
        settings.lease.ttl >= LEASE_TTL_MIN,
        "lease.ttl",
        unit::text(settings.lease.ttl),
        "use at least 10s, the minimum that the store accepts",
    );
    check(
        settings.lease.ttl >= settings.lease.renew * 2,
        "lease.renew",
        unit::text(settings.lease.renew),
        "use at most half of lease.ttl, so that one failed renewal doesn't end the lease",
    );
    check(
        settings.callers.connections_max > 0,
        "callers.connections_max",
        settings.callers.connections_max.to_string(),
        "use at least 1",
    );
    check(
        settings.callers.memory_max >= MEMORY_MIN,
        "callers.memory_max",
        settings.callers.memory_max.to_string(),
        "use at least 1MiB, so that ordinary requests fit",
    );
    let prefix = &settings.store.prefix;
    check(
        !prefix.is_empty() && prefix.split('/').all(is_name),
        "store.prefix",
        format!("{prefix:?}"),
        "use names with '/' between them, such as gypsumkeel/lantern",
    );
    check(
        is_name(&settings.store.list),
        "store.list",
        format!("{:?}", settings.store.list),
        "give the name of the platform's VM list, such as targets",
    );
    faults
}

/// Returns whether `text` is a non-empty name of letters, digits, `-`, `_` and `.`.
fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !text.is_empty() && text.bytes().all(is_allowed)
}
