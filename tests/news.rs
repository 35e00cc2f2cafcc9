//! Configuration and membership changes across VM processes: every VM gets them and none goes back to an older
//! state, also while the store or a whole failure domain is unreachable.

mod testenv;

use std::collections::HashSet;
use std::env;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use gypsumkeel::clock::Millis;
use serde_json::{Value, json};
use testenv::store::Store;
use testenv::{Block, Env, Job, Setup, Target, until, wait_until};

/// How long a condition may take to hold on a busy machine. The times that it took are printed.
const LIMIT: Duration = Duration::from_secs(20);

fn env(domains: &'static [&'static str], vms: usize) -> Env {
    Env::start(&Setup { domains, vms, targets: 1, ..Setup::default() })
}

fn status(env: &Env, index: usize) -> Value {
    smol::block_on(env.caller(index).status()).unwrap().body
}

fn version(env: &Env, index: usize) -> u64 {
    status(env, index)["config"].as_u64().unwrap()
}

fn peers(env: &Env, index: usize) -> usize {
    status(env, index)["peers"].as_array().unwrap().len()
}

/// Changes the section of one team, and returns the new version of the document.
fn change(env: &Env, share: u32) -> u64 {
    env.configure("teams/desk", &json!([{ "name": "desk", "share": share }]));
    let head = env.store.memory().peek("gypsumkeel/config/head").unwrap();
    serde_json::from_slice::<Value>(&head).unwrap()["version"].as_u64().unwrap()
}

/// Waits until the VMs at `indices` have a version in force, and prints how long that took.
#[track_caller]
fn wait_in_force(env: &Env, what: &str, indices: &[usize], expected: u64) {
    let begun = Instant::now();
    wait_until(what, LIMIT, || indices.iter().all(|&index| version(env, index) == expected));
    println!("{what}: in force after {} ms", begun.elapsed().as_millis());
}

#[test]
fn a_change_reaches_a_domain_without_the_store_and_after_a_partition() {
    let env = env(&["a", "b", "c"], 2);
    let all = [0, 1, 2, 3, 4, 5];
    wait_in_force(&env, "all connected", &all, change(&env, 1));
    env.store_proxy("c").block(Block::Silent, |_| true);
    wait_in_force(&env, "the store silently unreachable for one domain", &all, change(&env, 2));
    env.heal();
    for (shut, share) in [(Block::Reset, 3), (Block::Silent, 4)] {
        env.partition("c", shut);
        let expected = change(&env, share);
        wait_in_force(&env, "the domains that aren't partitioned", &all[..4], expected);
        assert!(version(&env, 4) < expected && version(&env, 5) < expected);
        env.heal();
        wait_in_force(&env, "after the partition", &all, expected);
    }
}

#[test]
fn a_vm_restarted_during_an_outage_gets_the_configuration_from_its_peers() {
    let env = env(&["a", "b"], 1);
    let expected = change(&env, 1);
    wait_in_force(&env, "all connected", &[0, 1], expected);
    env.store.down(true);
    for index in [0, 1, 0] {
        env.replace(index);
        wait_in_force(&env, "a restarted VM", &[index], expected);
    }
    // The VMs are linked, so each serves the other's keys.
    smol::block_on(async {
        for index in [0, 1] {
            let prefix = env.keys(index).await;
            let job = Job::new(&format!("outage-{index}"), 3, 1);
            let reply = env.caller(1 - index).submit(&format!("{prefix}.job"), &job).await.unwrap();
            assert!(reply.is_whole(&job.ids), "{reply:?}");
        }
    });
    env.store.down(false);
    wait_in_force(&env, "after the outage", &[0, 1], change(&env, 2));
}

#[test]
fn a_vm_that_its_peers_can_not_dial_catches_up_over_its_own_link() {
    let env = env(&["a", "b"], 1);
    let old = change(&env, 1);
    wait_in_force(&env, "all connected", &[0, 1], old);
    // From now on b can reach neither the store nor a, while a can still dial b.
    env.store_proxy("b").block(Block::Reset, |_| true);
    env.peer_proxies[0].block(Block::Reset, |_| true);
    wait_until("b has no link to a", LIMIT, || peers(&env, 1) == 0 && peers(&env, 0) == 1);
    let new = change(&env, 2);
    wait_in_force(&env, "the VM that reaches the store", &[0], new);
    assert_eq!(version(&env, 1), old);
    env.peer_proxies[0].heal();
    wait_in_force(&env, "b, once it can dial a", &[1], new);
}

#[test]
fn an_unregistered_vm_is_linked_to_all_during_an_outage_of_the_store() {
    let env = env(&["a", "b"], 1);
    let members = |index| status(&env, index)["members"].as_array().unwrap().len();
    wait_until("both VMs are registered", LIMIT, || members(0) == 2 && members(1) == 2);
    env.store.down(true);
    let stranger = env.start_stranger("a", &[0]);
    let status = || smol::block_on(stranger.caller().status()).unwrap().body;
    wait_until("the unregistered VM has the configuration", LIMIT, || {
        status()["config"] == version(&env, 0)
    });
    wait_until("all VMs have a link to the unregistered VM", LIMIT, || {
        peers(&env, 0) == 2 && peers(&env, 1) == 2
    });
    let prefix = smol::block_on(stranger.caller().keys()).unwrap();
    let job = Job::new("stranger", 3, 1);
    let reply = smol::block_on(env.caller(1).submit(&format!("{prefix}.job"), &job)).unwrap();
    assert!(reply.is_whole(&job.ids), "{reply:?}");
}

#[test]
fn stale_reads_of_the_store_revert_no_vm() {
    let env = env(&["a", "b"], 1);
    let old = change(&env, 1);
    wait_in_force(&env, "before the stale reads", &[0, 1], old);
    wait_until("both VMs wait for a change of the head", LIMIT, || {
        env.store.waiting("config/head") == 2
    });
    env.store.stale(true);
    // The reads that already wait return the current state, so the VMs get this change.
    let new = change(&env, 2);
    wait_in_force(&env, "from the reads that waited", &[0, 1], new);
    env.replace(0);
    wait_in_force(&env, "a restarted VM, from its peer", &[0], new);
    let watches = env.store.seen().watches;
    wait_until("the store gave more stale answers", LIMIT, || {
        env.store.seen().watches > watches + 4
    });
    assert_eq!([version(&env, 0), version(&env, 1)], [new, new]);
    env.store.stale(false);
    wait_in_force(&env, "after the stale reads", &[0, 1], change(&env, 3));
}

#[test]
fn a_leaving_target_gets_no_tasks_even_in_a_domain_that_learns_of_it_from_peers() {
    let env = Env::start(&Setup { domains: &["a", "b"], vms: 2, targets: 2, ..Setup::default() });
    let leaving = &env.targets[0];
    // Only domain b reaches the store; domain a gets the mark from its peers in b.
    env.store_proxy("a").block(Block::Silent, |_| true);
    env.store.set_leaving(&leaving.name, true);
    let knows = |index| {
        let targets = status(&env, index)["targets"].clone();
        let target =
            targets.as_array().unwrap().iter().find(|target| target["id"] == *leaving.name);
        target.unwrap()["leaving"] == true
    };
    let begun = Instant::now();
    wait_until("all VMs know the mark", LIMIT, || (0..4).all(knows));
    println!("leaving mark known everywhere after {} ms", begun.elapsed().as_millis());
    let answered = || leaving.counts().answered.load(Ordering::Relaxed);
    let before = answered();
    smol::block_on(async {
        for index in 0..4 {
            let prefix = env.keys(index).await;
            let job = Job::new(&format!("leaving-{index}"), 30, 1);
            let reply = env.caller(index).submit(&format!("{prefix}.job"), &job).await.unwrap();
            assert!(reply.is_whole(&job.ids), "{reply:?}");
        }
    });
    assert_eq!(answered(), before);
}

#[test]
fn a_vm_whose_lease_lapses_while_it_is_frozen_registers_again() {
    let env = env(&["a", "b"], 1);
    let registered = |store: &Store| store.memory().peek_keys("gypsumkeel/vms/").len();
    wait_until("both VMs are registered", LIMIT, || registered(&env.store) == 2);
    let prefix = smol::block_on(env.keys(0));
    env.vm(0).freeze();
    env.store.memory().expire_sessions();
    wait_until("the running VM is registered again", LIMIT, || registered(&env.store) == 1);
    env.vm(0).thaw();
    wait_until("both VMs are registered again", LIMIT, || registered(&env.store) == 2);
    let job = Job::new("thawed", 3, 1).timeout(Millis::from_secs(10).0);
    let submit = || smol::block_on(env.caller(1).submit(&format!("{prefix}.job"), &job));
    wait_until("the thawed VM's keys are served", LIMIT, || {
        submit().is_ok_and(|reply| reply.status == 200)
    });
    assert_eq!(env.ledger.total(), 3);
}

/// The outage lasts a few seconds, or as many seconds as `GYPSUMKEEL_OUTAGE_SECONDS` says.
#[test]
fn vms_replaced_during_an_outage_are_known_after_it() {
    let env = Env::start(&Setup {
        domains: &["a", "b", "c"],
        settings: json!({ "lease": { "ttl": "10s", "renew": "1s" } }),
        ..Setup::default()
    });
    let known = |index| {
        let members = status(&env, index)["members"].clone();
        let members = members.as_array().unwrap().iter();
        members.map(|member| member["incarnation"].clone()).collect::<Vec<_>>()
    };
    wait_until("all VMs are registered", LIMIT, || (0..3).all(|index| known(index).len() == 3));
    let begun = Instant::now();
    env.store.down(true);
    env.replace(0);
    env.vm(1).stop();
    assert!(env.vm(1).wait().success());
    env.replace(1);
    let serve = |what: &str| {
        smol::block_on(async {
            for index in 0..3 {
                until("the VM is ready", LIMIT, || env.caller(index).is_ready()).await;
                let prefix = env.keys(index).await;
                let job = Job::new(&format!("{what}-{index}"), 4, 1);
                let key = format!("{prefix}.{what}");
                let reply = env.caller((index + 1) % 3).submit(&key, &job).await.unwrap();
                assert!(reply.is_whole(&job.ids), "{what} {index}: {reply:?}");
            }
        });
    };
    serve("outage");
    let seconds = env::var("GYPSUMKEEL_OUTAGE_SECONDS").map_or(0, |text| text.parse().unwrap());
    for round in 0.. {
        if begun.elapsed() >= Duration::from_secs(seconds) {
            break;
        }
        env.replace(round % 3);
        serve(&format!("outage-{round}"));
    }
    assert_eq!(known(2).len(), 3, "the outage dropped a VM from the view");
    env.store.down(false);
    let running = (0..3).map(|index| status(&env, index)["incarnation"].clone());
    let running = running.collect::<Vec<_>>();
    let knows_running = |index| {
        let known = known(index);
        known.len() == 3 && running.iter().all(|incarnation| known.contains(incarnation))
    };
    wait_until("all VMs know those that run", Duration::from_secs(40), || {
        (0..3).all(knows_running)
    });
    serve("after");
}

/// Callers for each VM: enough to use the slots of all targets. With fewer, only the best target gets tasks.
const CALLERS: usize = 12;

/// Stops the load when it is dropped, so that the test also ends if a check fails.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Submits jobs to all VMs until `stop` is set. Returns how many were complete and how many weren't.
fn load(env: &Env, name: &str, stop: &AtomicBool) -> (usize, usize) {
    let prefixes = (0..env.len()).map(|index| smol::block_on(env.keys(index)));
    let prefixes = prefixes.collect::<Vec<_>>();
    let prefixes = &prefixes;
    let run = (0..env.len() * CALLERS).map(|caller| async move {
        let (mut complete, mut incomplete) = (0, 0);
        for number in 0.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let job = Job::new(&format!("{name}-{caller}-{number}"), 4, 5);
            let key = format!("{}.{name}-{caller}-{number}", prefixes[caller % prefixes.len()]);
            let reply = env.caller((caller + number) % env.len()).submit(&key, &job).await.unwrap();
            if reply.status == 200 {
                assert!(reply.is_whole(&job.ids), "{reply:?}");
                complete += 1;
                continue;
            }
            let executed = job.ids.iter().any(|id| env.ledger.starts(id) > 0);
            assert!(!(executed && reply.execution() == "not-run"), "{reply:?}");
            incomplete += 1;
        }
        (complete, incomplete)
    });
    let counts = smol::block_on(futures_util::future::join_all(run));
    counts.into_iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
}

fn attempts(target: &Target) -> usize {
    target.counts().answered.load(Ordering::Relaxed)
        + target.counts().running.load(Ordering::Relaxed)
}

#[test]
fn under_load_a_leaving_target_soon_gets_no_more_tasks() {
    let env = Env::start(&Setup { domains: &["a", "b"], vms: 2, targets: 3, ..Setup::default() });
    let (leaving, stop) = (&env.targets[0], AtomicBool::new(false));
    let (counts, last) = thread::scope(|scope| {
        let load = scope.spawn(|| load(&env, "leaving", &stop));
        let load_guard = StopOnDrop(&stop);
        wait_until("all targets run tasks", LIMIT, || {
            env.targets.iter().all(|target| attempts(target) > 20)
        });
        env.store.set_leaving(&leaving.name, true);
        let marked = Instant::now();
        let (mut last, mut count) = (Duration::ZERO, attempts(leaving));
        wait_until("no more attempts for two seconds", LIMIT, || {
            let now = attempts(leaving);
            if now > count {
                (last, count) = (marked.elapsed(), now);
            }
            marked.elapsed() > last + Duration::from_secs(2)
        });
        drop(load_guard);
        (load.join().unwrap(), last)
    });
    println!(
        "last attempt {} ms after the mark; {counts:?} jobs complete and not",
        last.as_millis()
    );
    assert!(last < Duration::from_secs(3), "{last:?}");
    assert_eq!((counts.1, env.ledger.repeated(&HashSet::new())), (0, Vec::new()));
}

#[test]
fn after_the_loss_of_a_rack_no_task_starts_twice_and_other_targets_go_on() {
    let env = Env::start(&Setup { domains: &["a", "b"], vms: 1, targets: 4, ..Setup::default() });
    let stop = AtomicBool::new(false);
    let (complete, incomplete) = thread::scope(|scope| {
        let load = scope.spawn(|| load(&env, "rack", &stop));
        let load_guard = StopOnDrop(&stop);
        let wait_for_attempts = |targets: &[Target], more: usize| {
            let before = targets.iter().map(attempts).collect::<Vec<_>>();
            wait_until("the targets got more attempts", LIMIT, || {
                targets.iter().zip(&before).all(|(target, before)| attempts(target) > before + more)
            });
        };
        wait_for_attempts(&env.targets, 20);
        // The rack holds half of the targets of each domain.
        let rack = [0, 1, 4, 5].map(|index| &env.targets[index]);
        for target in rack {
            target.kill();
        }
        wait_for_attempts(&env.targets[2..4], 50);
        wait_for_attempts(&env.targets[6..8], 50);
        for target in rack {
            target.revive();
        }
        wait_for_attempts(&env.targets, 20);
        drop(load_guard);
        load.join().unwrap()
    });
    println!("{complete} jobs complete, {incomplete} not");
    assert_eq!(env.ledger.repeated(&HashSet::new()), Vec::new());
    assert!(complete > 50 && incomplete < complete / 2, "{complete} complete, {incomplete} not");
}

/// Run it with `cargo test --release --test news -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement of two minutes"]
fn store_calls_of_a_vm_in_a_minute() {
    const MINUTE: Duration = Duration::from_mins(1);
    const CHANGES: u32 = 40;
    let env = env(&["a", "b", "c"], 2);
    let before = |env: &Env| (0..6).map(|index| status(env, index)["store"].clone()).collect();
    let report = |what: &str, before: Vec<Value>| {
        for (index, before) in before.iter().enumerate() {
            let now = status(&env, index)["store"].clone();
            let calls = ["reads", "writes", "watches"].map(|kind| {
                let number = |calls: &Value| calls[kind].as_u64().unwrap();
                format!("{kind} {}", number(&now) - number(before))
            });
            println!("{what}, VM {index}: {}", calls.join(", "));
        }
    };
    let begun: Vec<Value> = before(&env);
    thread::sleep(MINUTE);
    report("idle, one minute", begun);
    let begun: Vec<Value> = before(&env);
    let mut slowest = Duration::ZERO;
    for share in 1..=CHANGES {
        let expected = change(&env, share);
        let changed = Instant::now();
        wait_until("the change is in force", LIMIT, || {
            (0..6).all(|index| version(&env, index) == expected)
        });
        slowest = slowest.max(changed.elapsed());
        thread::sleep((MINUTE / CHANGES).saturating_sub(changed.elapsed()));
    }
    report("40 changes in one minute", begun);
    println!("slowest change in force on 6 VMs after {} ms", slowest.as_millis());
}
