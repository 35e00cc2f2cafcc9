//! A fleet of real processes under load and faults: no task runs twice at a time, and each configuration is in force in
//! time. A short run by default; environment variables make it as large as a deployment, see CONTRIBUTING.md.

#[path = "fleet/mod.rs"]
mod fleet;
#[path = "platform/mod.rs"]
mod platform;

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::{Options, Summary};

#[track_caller]
fn check(summary: &Summary) {
    assert!(summary.done > 0, "no job was served");
    let violations = &summary.violations;
    assert!(violations.is_empty(), "{} broken rules: {violations:#?}", violations.len());
}

#[test]
fn a_disturbed_fleet_runs_no_task_twice_and_keeps_its_configuration() {
    check(&fleet::run(Options::load()));
}

/// Guards against VMs whose watches all began just before their connections to the store went silent: none of them reads
/// a configuration written meanwhile before those watches have timed out.
#[test]
fn a_configuration_written_while_the_store_is_silent_is_in_force_in_time() {
    let options = Options {
        faults: BTreeSet::from(["silent".to_owned()]),
        gap: 0.5,
        length: Duration::from_millis(200),
        jobs: 100.0,
        ..Options::load()
    };
    check(&fleet::run(options));
}
