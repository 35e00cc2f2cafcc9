//! VMs that start and stop while the platform's store is out.

mod testenv;

use std::io::Write as _;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use gypsumkeel::clock::Millis;
use gypsumkeel::config::operator::{self, Edit};
use gypsumkeel::platform::Consul;
use serde_json::{Value, json};
use testenv::store::Store;
use testenv::{Job, Place, Target, Vm, wait_until};

const LIMIT: Duration = Duration::from_secs(20);
const PREFIX: &str = "gypsumkeel/outage";

/// Accepts one section as it is given, since JSON is YAML too.
fn configure(store: &Store, section: &str, value: &Value) {
    let consul = Consul::new(store.address(), Millis::from_secs(2));
    let place = operator::Place { store: &consul, prefix: PREFIX };
    let (section, text) = (section.parse().expect("a section"), value.to_string());
    let edit = Edit { section: &section, base: 0, text: Some(&text), who: "test", why: "test" };
    smol::block_on(operator::apply(place, edit, Millis::from_secs(10))).expect("accepted");
}

fn vm(store: &Store, name: &str) -> Vm {
    let settings = json!({
        "vm": name, "domain": "a", "region": "south", "threads": 2, "drain": "2s",
        "listen": { "callers": "127.0.0.1:0", "peers": "127.0.0.1:0" },
        "store": { "url": store.url(), "prefix": PREFIX },
    });
    let place = Place { name: format!("outage-{name}"), domain: "a".to_owned(), settings };
    Vm::start(Path::new(env!("CARGO_TARGET_TMPDIR")), &place)
}

fn start_target(store: &Store) -> Target {
    let target = Target::start("t-1", 8, Arc::default());
    let listed = json!([{ "id": target.name, "domain": "a", "address": target.address }]);
    configure(store, "targets", &listed);
    configure(store, "services", &json!([{ "name": "holds" }]));
    target
}

fn wait_ready(vm: &Vm) {
    wait_until(&format!("{} is ready", vm.name), LIMIT, || smol::block_on(vm.caller().is_ready()));
}

fn count(vm: &Vm, event: &str) -> usize {
    vm.log().lines().filter(|line| line.contains(&format!("event={event} "))).count()
}

#[test]
fn a_vm_that_knows_nothing_yet_sends_callers_elsewhere() {
    let store = Store::start();
    let _target = start_target(&store);
    let old = vm(&store, "knowing");
    wait_ready(&old);
    store.down(true);
    let lone = vm(&store, "lone");
    assert!(!smol::block_on(lone.caller().is_ready()));
    let refused = smol::block_on(lone.caller().keys());
    let refused = format!("{:?}", refused.expect_err("no prefix is given out"));
    assert!(refused.contains("status: 503") && refused.contains("not-run"), "{refused}");
    let mut child = Command::new(env!("CARGO_BIN_EXE_gypsumkeel"))
        .args(["submit", "--entry", &format!("{},{}", lone.callers, old.callers), "-"])
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .expect("the program starts");
    let body = Job::new("job", 1, 1).body.to_string();
    let mut stdin = child.stdin.take().expect("standard input is piped");
    stdin.write_all(body.as_bytes()).expect("the program reads its input");
    drop(stdin);
    assert!(child.wait().expect("the program ends").success());
    drop((old, lone));
    store.close();
}

#[test]
fn a_stop_in_an_outage_ends_in_time_and_says_why_once() {
    let store = Store::start();
    let _target = start_target(&store);
    let vm = vm(&store, "stopping");
    wait_ready(&vm);
    store.down(true);
    wait_until("the outage is noticed", LIMIT, || count(&vm, "lease-not-renewed") > 0);
    vm.stop();
    assert!(vm.wait().success(), "{}", vm.log());
    assert_eq!(count(&vm, "closing-record-failed"), 1, "{}", vm.log());
    assert_eq!(count(&vm, "lease-not-renewed"), 1, "{}", vm.log());
    store.close();
}
