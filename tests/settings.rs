//! Settings: defaults, and a report of every fault with its path, value and remedy.

use gypsumkeel::clock::Millis;
use gypsumkeel::settings::{Level, Settings};
use insta::assert_snapshot;

/// Only the required fields.
const MINIMAL: &str = "
vm: lantern-a-1
domain: a
region: south
listen: { callers: 127.0.0.1:0, peers: 127.0.0.1:0 }
store: { url: http://127.0.0.1:7300 }
";

/// Returns the faults of the settings in `text`, one a line.
fn faults(text: &str) -> String {
    let faults = Settings::parse(text).expect_err("the settings have faults");
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// Returns the faults of the minimal settings with `more` appended.
fn faults_with(more: &str) -> String {
    faults(&format!("{MINIMAL}{more}"))
}

#[test]
fn minimal_settings_get_the_defaults() {
    let settings = Settings::parse(MINIMAL).expect("the minimal settings are valid");
    assert_eq!(settings.store.address.port(), 7300);
    assert_eq!(settings.heartbeat.every, Millis(500));
    assert_eq!(settings.lease.ttl, Millis::from_secs(15));
    assert_eq!(settings.log.level, Level::Info);
    assert_eq!(settings.metrics.statsd, None);
}

#[test]
fn serialized_settings_parse_to_the_same_value() {
    let settings = Settings::parse(MINIMAL).expect("the minimal settings are valid");
    let text = serde_norway::to_string(&settings).expect("settings can be written");
    assert_eq!(Settings::parse(&text), Ok(settings));
}

#[test]
fn an_empty_file_lacks_the_required_fields() {
    assert_snapshot!(faults(""), @r"
    vm: missing: give the VM a unique name, such as lantern-a-1
    domain: missing: name the VM's failure domain, such as a
    region: missing: name the VM's region, such as south
    listen.callers: missing: give IP:PORT for callers; port 0 selects a free port
    listen.peers: missing: give IP:PORT for other VMs; port 0 selects a free port
    store.url: missing: give the store as http://IP:PORT
    ");
}

#[test]
fn every_fault_is_reported_at_once() {
    let text = "
vm: 12
domain: a b
trheads: 4
listen: { callers: here, peers: 127.0.0.1:0 }
store: { url: https://store.example, timeout: 2 }
peers: [127.0.0.1:1, x, 127.0.0.1:2, y]
threads: 0
drain: soon
heartbeat: { every: 1s, patience: 1s }
lease: { ttl: 5s, renew: 4s }
log: { level: loud }
";
    assert_snapshot!(faults(text), @r#"
    vm: 12: expected a string
    trheads: 4: no such field; use one of `vm`, `domain`, `region`, `listen`, `advertise`, `store`, `peers`, `threads`, `drain`, `heartbeat`, `lease`, `callers`, `targets`, `log`, `metrics`
    listen.callers: "here": give it as IP:PORT, such as 192.0.2.1:7100
    store.url: "https://store.example": expected a server by its IP address, such as http://192.0.2.1:8500
    store.timeout: 2: expected a time with its unit, such as 250ms, 2s or 1m
    peers[1]: "x": give it as IP:PORT, such as 192.0.2.1:7100
    peers[3]: "y": give it as IP:PORT, such as 192.0.2.1:7100
    drain: "soon": expected a time with its unit, such as 250ms, 2s or 1m
    log.level: "loud": expected one of `off`, `error`, `warn`, `info`, `debug`, `trace`
    region: missing: name the VM's region, such as south
    domain: "a b": use letters, digits, '-', '_' and '.' only
    threads: 0: use 1 to 256, usually the number of processors
    heartbeat.patience: 1s: use at least twice heartbeat.every, so that one lost heartbeat doesn't close the link
    lease.ttl: 5s: use at least 10s, the minimum that the store accepts
    lease.renew: 4s: use at most half of lease.ttl, so that one failed renewal doesn't end the lease
    "#);
}

#[test]
fn invalid_yaml_is_reported_with_its_position() {
    assert_snapshot!(faults_with("peers: [127.0.0.1:1"), @"line 8 column 1: did not find expected ',' or ']' at line 8 column 1, while parsing a flow sequence at line 7 column 8: fix the YAML syntax there");
    assert_snapshot!(faults_with("domain: b"), @r#"line 2 column 1: duplicate entry with key "domain" at line 2 column 1: fix the YAML syntax there"#);
    assert_snapshot!(faults("- a list"), @r"
    the file: a list: expected a mapping of fields
    vm: missing: give the VM a unique name, such as lantern-a-1
    domain: missing: name the VM's failure domain, such as a
    region: missing: name the VM's region, such as south
    listen.callers: missing: give IP:PORT for callers; port 0 selects a free port
    listen.peers: missing: give IP:PORT for other VMs; port 0 selects a free port
    store.url: missing: give the store as http://IP:PORT
    ");
}
