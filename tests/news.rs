//! The configuration and the membership among real VMs: in force everywhere, never going back, also while
//! the store or a whole failure domain is cut off.

mod testenv;

use std::collections::HashSet;
use std::env;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use gypsumkeel::clock::Millis;
use serde_json::{Value, json};
use testenv::store::Store;
use testenv::{Env, Job, Setup, Shut, Target, until, wait_until};

/// How long anything may take on a busy machine; the times themselves are printed.
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

/// Changes the section of one team and gives the version of the whole.
fn change(env: &Env, share: u32) -> u64 {
    env.configure("teams/desk", &json!([{ "name": "desk", "share": share }]));
    let head = env.store.memory().peek("gypsumkeel/config/head").unwrap();
    serde_json::from_slice::<Value>(&head).unwrap()["version"].as_u64().unwrap()
}

/// Waits until all VMs named have a version in force, and prints how long that took.
#[track_caller]
fn in_force(env: &Env, what: &str, indices: &[usize], expected: u64) {
    let begun = Instant::now();
    wait_until(what, LIMIT, || indices.iter().all(|&index| version(env, index) == expected));
    println!("{what}: in force after {} ms", begun.elapsed().as_millis());
}

#[test]
fn a_change_is_in_force_in_domains_that_are_cut_from_the_store_or_from_all() {
    let env = env(&["a", "b", "c"], 2);
    let all = [0, 1, 2, 3, 4, 5];
    in_force(&env, "all connected", &all, change(&env, 1));
    env.store_proxy("c").shut_out(Shut::Silent, |_| true);
    in_force(&env, "one domain silently cut from the store", &all, change(&env, 2));
    env.heal();
    for (shut, share) in [(Shut::Reset, 3), (Shut::Silent, 4)] {
        env.cut_off("c", shut);
        let expected = change(&env, share);
        in_force(&env, "the other domains", &all[..4], expected);
        assert!(version(&env, 4) < expected && version(&env, 5) < expected);
        env.heal();
        in_force(&env, "after a full cut", &all, expected);
    }
}

#[test]
fn a_vm_started_anew_during_an_outage_takes_what_its_peers_have() {
    let env = env(&["a", "b"], 1);
    let expected = change(&env, 1);
    in_force(&env, "all connected", &[0, 1], expected);
    env.store.down(true);
    for index in [0, 1, 0] {
        env.replace(index);
        in_force(&env, "a VM started anew", &[index], expected);
    }
    // Each reaches the other, so a key of either is served by both.
    smol::block_on(async {
        for index in [0, 1] {
            let prefix = env.keys(index).await;
            let job = Job::new(&format!("outage-{index}"), 3, 1);
            let reply = env.caller(1 - index).submit(&format!("{prefix}.job"), &job).await.unwrap();
            assert!(reply.is_whole(&job.ids), "{reply:?}");
        }
    });
    env.store.down(false);
    in_force(&env, "after the outage", &[0, 1], change(&env, 2));
}

#[test]
fn a_vm_that_its_peers_can_not_dial_catches_up_over_its_own_link() {
    let env = env(&["a", "b"], 1);
    let old = change(&env, 1);
    in_force(&env, "all connected", &[0, 1], old);
    // From now on b is cut from the store and can't dial a; a still dials b.
    env.store_proxy("b").shut_out(Shut::Reset, |_| true);
    env.peer_proxies[0].shut_out(Shut::Reset, |_| true);
    wait_until("b has no peer", LIMIT, || peers(&env, 1) == 0 && peers(&env, 0) == 1);
    let new = change(&env, 2);
    in_force(&env, "the connected one", &[0], new);
    assert_eq!(version(&env, 1), old);
    env.peer_proxies[0].heal();
    in_force(&env, "b, once it reaches a", &[1], new);
}

#[test]
fn a_vm_that_nobody_knows_is_met_by_all_while_the_store_is_out() {
    let env = env(&["a", "b"], 1);
    let members = |index| status(&env, index)["members"].as_array().unwrap().len();
    wait_until("both registered", LIMIT, || members(0) == 2 && members(1) == 2);
    env.store.down(true);
    let stranger = env.start_stranger("a", &[0]);
    let status = || smol::block_on(stranger.caller().status()).unwrap().body;
    wait_until("it has the configuration", LIMIT, || status()["config"] == version(&env, 0));
    wait_until("all VMs have a link to it", LIMIT, || peers(&env, 0) == 2 && peers(&env, 1) == 2);
    let prefix = smol::block_on(stranger.caller().keys()).unwrap();
    let job = Job::new("stranger", 3, 1);
    let reply = smol::block_on(env.caller(1).submit(&format!("{prefix}.job"), &job)).unwrap();
    assert!(reply.is_whole(&job.ids), "{reply:?}");
}

#[test]
fn a_stale_store_reverts_no_vm() {
    let env = env(&["a", "b"], 1);
    let old = change(&env, 1);
    in_force(&env, "before", &[0, 1], old);
    wait_until("both wait on the head", LIMIT, || env.store.waiting("config/head") == 2);
    env.store.stale(true);
    // The calls that wait are on the live state, so the VMs learn of this one.
    let new = change(&env, 2);
    in_force(&env, "by the calls that waited", &[0, 1], new);
    env.replace(0);
    in_force(&env, "a VM started anew, by its peer", &[0], new);
    let seen = env.store.seen().watches;
    wait_until("older answers", LIMIT, || env.store.seen().watches > seen + 4);
    assert_eq!([version(&env, 0), version(&env, 1)], [new, new]);
    env.store.stale(false);
    in_force(&env, "after it", &[0, 1], change(&env, 3));
}

#[test]
fn a_leaving_target_gets_no_work_also_where_one_vm_alone_hears_of_it() {
    let env = Env::start(&Setup { domains: &["a", "b"], vms: 2, targets: 2, ..Setup::default() });
    let leaving = &env.targets[0];
    // Only domain b hears from the store, and tells a.
    env.store_proxy("a").shut_out(Shut::Silent, |_| true);
    env.store.leave(&leaving.name, true);
    let knows = |index| {
        let targets = status(&env, index)["targets"].clone();
        let target =
            targets.as_array().unwrap().iter().find(|target| target["id"] == *leaving.name);
        target.unwrap()["leaving"] == true
    };
    let begun = Instant::now();
    wait_until("all VMs know", LIMIT, || (0..4).all(knows));
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
fn a_vm_whose_lease_lapses_while_it_is_frozen_comes_back() {
    let env = env(&["a", "b"], 1);
    let registered = |store: &Store| store.memory().peek_keys("gypsumkeel/vms/").len();
    wait_until("both registered", LIMIT, || registered(&env.store) == 2);
    let prefix = smol::block_on(env.keys(0));
    env.vm(0).freeze();
    env.store.memory().lapse_sessions();
    wait_until("the other is back", LIMIT, || registered(&env.store) == 1);
    env.vm(0).thaw();
    wait_until("both registered again", LIMIT, || registered(&env.store) == 2);
    let job = Job::new("thawed", 3, 1).timeout(Millis::from_secs(10).0);
    let submit = || smol::block_on(env.caller(1).submit(&format!("{prefix}.job"), &job));
    wait_until("its keys are served", LIMIT, || submit().is_ok_and(|reply| reply.status == 200));
    assert_eq!(env.ledger.total(), 3);
}

/// The outage lasts for a few seconds, or as many as `GYPSUMKEEL_OUTAGE_SECONDS` says.
#[test]
fn vms_that_come_and_go_during_an_outage_are_known_after_it() {
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
    wait_until("all registered", LIMIT, || (0..3).all(|index| known(index).len() == 3));
    let begun = Instant::now();
    env.store.down(true);
    env.replace(0);
    env.vm(1).stop();
    assert!(env.vm(1).wait().success());
    env.replace(1);
    let serve = |what: &str| {
        smol::block_on(async {
            for index in 0..3 {
                until("it is ready", LIMIT, || env.caller(index).is_ready()).await;
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
    let is_right = |index| {
        let known = known(index);
        known.len() == 3 && running.iter().all(|incarnation| known.contains(incarnation))
    };
    wait_until("the right ones", Duration::from_secs(40), || (0..3).all(is_right));
    serve("after");
}

/// Callers for each VM: enough to need all targets' slots, for a light load stays at the best target.
const CALLERS: usize = 12;

/// Tells the load to stop when it is dropped, so that a failed check ends the test too.
struct Stop<'a>(&'a AtomicBool);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Submits jobs by all VMs until told to stop; gives how many were whole and how many were not.
fn load(env: &Env, name: &str, stop: &AtomicBool) -> (usize, usize) {
    let prefixes = (0..env.len()).map(|index| smol::block_on(env.keys(index)));
    let prefixes = prefixes.collect::<Vec<_>>();
    let prefixes = &prefixes;
    let run = (0..env.len() * CALLERS).map(|caller| async move {
        let (mut whole, mut failed) = (0, 0);
        for number in 0.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let job = Job::new(&format!("{name}-{caller}-{number}"), 4, 5);
            let key = format!("{}.{name}-{caller}-{number}", prefixes[caller % prefixes.len()]);
            let reply = env.caller((caller + number) % env.len()).submit(&key, &job).await.unwrap();
            if reply.status == 200 {
                assert!(reply.is_whole(&job.ids), "{reply:?}");
                whole += 1;
                continue;
            }
            let executed = job.ids.iter().any(|id| env.ledger.starts(id) > 0);
            assert!(!(executed && reply.execution() == "not-run"), "{reply:?}");
            failed += 1;
        }
        (whole, failed)
    });
    let counts = smol::block_on(futures_util::future::join_all(run));
    counts.into_iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
}

fn starts(target: &Target) -> usize {
    target.counts().answered.load(Ordering::Relaxed)
        + target.counts().running.load(Ordering::Relaxed)
}

#[test]
fn under_load_the_last_start_at_a_leaving_target_is_soon_after_its_mark() {
    let env = Env::start(&Setup { domains: &["a", "b"], vms: 2, targets: 3, ..Setup::default() });
    let (leaving, stop) = (&env.targets[0], AtomicBool::new(false));
    let (counts, last) = thread::scope(|scope| {
        let load = scope.spawn(|| load(&env, "leaving", &stop));
        let until = Stop(&stop);
        wait_until("work at all targets", LIMIT, || {
            env.targets.iter().all(|target| starts(target) > 20)
        });
        env.store.leave(&leaving.name, true);
        let marked = Instant::now();
        let (mut last, mut seen) = (Duration::ZERO, starts(leaving));
        wait_until("no more starts for two seconds", LIMIT, || {
            let now = starts(leaving);
            if now > seen {
                (last, seen) = (marked.elapsed(), now);
            }
            marked.elapsed() > last + Duration::from_secs(2)
        });
        drop(until);
        (load.join().unwrap(), last)
    });
    println!("last start {} ms after the mark; {counts:?} jobs whole, not", last.as_millis());
    assert!(last < Duration::from_secs(3), "{last:?}");
    assert_eq!((counts.1, env.ledger.repeated(&HashSet::new())), (0, Vec::new()));
}

#[test]
fn a_rack_of_targets_lost_at_once_starts_nothing_twice_and_work_goes_on() {
    let env = Env::start(&Setup { domains: &["a", "b"], vms: 1, targets: 4, ..Setup::default() });
    let stop = AtomicBool::new(false);
    let (whole, failed) = thread::scope(|scope| {
        let load = scope.spawn(|| load(&env, "rack", &stop));
        let until = Stop(&stop);
        let busy = |targets: &[Target], more: usize| {
            let before = targets.iter().map(starts).collect::<Vec<_>>();
            wait_until("more work", LIMIT, || {
                targets.iter().zip(&before).all(|(target, before)| starts(target) > before + more)
            });
        };
        busy(&env.targets, 20);
        // The rack holds half of the targets of each domain.
        let rack = [0, 1, 4, 5].map(|index| &env.targets[index]);
        for target in rack {
            target.kill();
        }
        busy(&env.targets[2..4], 50);
        busy(&env.targets[6..8], 50);
        for target in rack {
            target.revive();
        }
        busy(&env.targets, 20);
        drop(until);
        load.join().unwrap()
    });
    println!("{whole} jobs whole, {failed} not");
    assert_eq!(env.ledger.repeated(&HashSet::new()), Vec::new());
    assert!(whole > 50 && failed < whole / 2, "{whole} whole, {failed} not");
}

/// Run by command: `cargo test --release --test news -- --ignored --nocapture`.
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
        let since = Instant::now();
        wait_until("in force", LIMIT, || (0..6).all(|index| version(&env, index) == expected));
        slowest = slowest.max(since.elapsed());
        thread::sleep((MINUTE / CHANGES).saturating_sub(since.elapsed()));
    }
    report("40 changes in one minute", begun);
    println!("slowest change in force on 6 VMs after {} ms", slowest.as_millis());
}
