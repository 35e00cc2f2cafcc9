//! VMs that start and stop during an outage of the store.

mod testenv;

use std::io::Write as _;
use std::process::{Command, Stdio};
use std::time::Duration;

use serde_json::json;
use testenv::{Block, Env, Job, Setup, Vm, wait_until};

const LIMIT: Duration = Duration::from_secs(20);

/// The number of log lines of a VM with the event.
fn count(vm: &Vm, event: &str) -> usize {
    vm.log().lines().filter(|line| line.contains(&format!("event={event} "))).count()
}

#[test]
fn a_vm_without_configuration_sends_callers_to_another_vm() {
    let env = Env::start(&Setup::default());
    env.store.down(true);
    env.partition("b", Block::Reset);
    env.replace(1);
    let (configured, unconfigured) = (env.caller(0), env.caller(1));
    assert!(!smol::block_on(unconfigured.is_ready()));
    let refused = smol::block_on(unconfigured.keys());
    let refused =
        format!("{:?}", refused.expect_err("a VM without configuration gave out a prefix"));
    assert!(refused.contains("status: 503") && refused.contains("not-run"), "{refused}");
    let mut child = Command::new(env!("CARGO_BIN_EXE_gypsumkeel"))
        .args(["submit", "--entry", &format!("{},{}", unconfigured.entry, configured.entry), "-"])
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .expect("the program starts");
    let body = Job::new("job", 1, 1).body.to_string();
    let mut stdin = child.stdin.take().expect("standard input is piped");
    stdin.write_all(body.as_bytes()).expect("the program reads its input");
    drop(stdin);
    assert!(child.wait().expect("the program ends").success());
}

#[test]
fn a_stop_during_an_outage_ends_in_time_and_logs_each_failure_once() {
    let settings = json!({ "drain": "2s" });
    let env = Env::start(&Setup { domains: &["a"], settings, ..Setup::default() });
    let vm = env.vm(0);
    env.store.down(true);
    wait_until("the VM notices the outage", LIMIT, || count(&vm, "lease-not-renewed") > 0);
    vm.stop();
    assert!(vm.wait().success(), "{}", vm.log());
    for event in ["closing-record-failed", "lease-not-renewed"] {
        assert_eq!(count(&vm, event), 1, "{event}: {}", vm.log());
    }
}
