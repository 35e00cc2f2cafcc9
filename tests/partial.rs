//! Faults of parts of the platform: a store that serves only some VMs, changes that are made late, open connections
//! that go silent for good, VMs that are added and replaced.

#[path = "platform/mod.rs"]
mod platform;

use std::thread;
use std::time::{Duration, Instant};

use platform::{Env, Reply, Way, wait_until};

/// How soon a VM that the store does not serve has the configuration that another one has.
const CONFIG_MAX: Duration = Duration::from_secs(2);

/// How long the lease of a registration lasts at the most after its VM has ended.
const LEASE_MAX: Duration = Duration::from_secs(3);

fn is_done(reply: Option<&Reply>) -> bool {
    reply.is_some_and(|reply| reply.status == 200 && reply.state == "done")
}

/// A condition that is true once `limit` has passed from now.
fn after(limit: Duration) -> impl Fn() -> bool + Sync {
    let start = Instant::now();
    move || start.elapsed() > limit
}

/// Of two VMs that start at once one may have raised the token of a target before it hears that the other has taken
/// it; that one is refused at its next hold, half a second later. Plays some load until that is over.
fn settle(env: &Env) {
    let all = (0..env.vms.len()).collect::<Vec<_>>();
    let replies = env.load(&all, 4, after(Duration::from_secs(1)));
    assert!(!replies.is_empty());
}

/// How often targets were taken so far.
fn taken(env: &Env) -> u64 {
    (0..env.vms.len()).map(|vm| env.metric(vm, "targets.taken")).sum()
}

#[test]
fn a_vm_that_the_store_turns_away_serves_on_and_learns_of_changes() {
    let env = Env::start(2, 2);
    settle(&env);
    let before = taken(&env);
    for silent in [false, true] {
        for vm in [0, 2] {
            let proxy = &env.store_proxies[vm];
            if silent {
                proxy.freeze(Way::Up, true);
            } else {
                proxy.refuse(true);
                proxy.reset();
            }
        }
        thread::sleep(Duration::from_secs(2));
        let (version, prefix) = if silent { (4, "/third/") } else { (2, "/second/") };
        env.configure(version, prefix);
        let start = Instant::now();
        let knows = |vm: usize| env.get(vm, prefix).is_some_and(|(status, _)| status == 200);
        wait_until("all know the new queue", || (0..4).all(knows));
        assert!(start.elapsed() < CONFIG_MAX, "{:?}", start.elapsed());
        env.configure(version + 1, "/holds/");
        wait_until("all know the old queue", || {
            (0..4).all(|vm| env.get(vm, "/holds/").is_some_and(|(status, _)| status == 200))
        });
        let replies = env.load(&[0, 1, 2, 3], 4, after(Duration::from_secs(2)));
        assert!(replies.iter().all(|reply| is_done(reply.as_ref())), "{replies:?}");
        env.store_proxies.iter().for_each(platform::Proxy::heal);
    }
    assert_eq!(taken(&env), before, "targets changed hands");
    env.check();
}

#[test]
fn changes_that_the_store_makes_late_do_no_harm() {
    let mut env = Env::start(2, 2);
    env.store.delay_writes(Some(Duration::from_secs(2)));
    let replies = thread::scope(|scope| {
        let load = scope.spawn(|| env.load(&[1, 3], 4, after(Duration::from_secs(5))));
        // Its registration is made when it has been gone for long.
        env.vms[0].kill();
        load.join().unwrap()
    });
    env.store.delay_writes(None);
    assert!(
        replies.iter().filter(|reply| is_done(reply.as_ref())).count() * 10 > replies.len() * 9
    );
    env.vms[0] = env.launch(0);
    wait_until("it is ready", || env.is_ready(0));
    wait_until("all are registered, and nobody else", || {
        env.store.keys("gypsumkeel/vms/").len() == 4
    });
    let replies = env.load(&[0, 1, 2, 3], 4, after(Duration::from_secs(1)));
    assert!(replies.iter().all(|reply| is_done(reply.as_ref())), "{replies:?}");
    env.check();
}

#[test]
fn connections_to_the_store_that_go_silent_are_made_anew() {
    let env = Env::start(1, 2);
    env.store_proxies.iter().for_each(|proxy| proxy.freeze_open(Way::Down, true));
    env.configure(2, "/second/");
    // A watch lasts three seconds at the most, and its answer has some time beyond that.
    let start = Instant::now();
    wait_until("both know the new queue", || {
        (0..2).all(|vm| env.get(vm, "/second/").is_some_and(|(status, _)| status == 200))
    });
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    env.check();
}

#[test]
fn a_vm_that_comes_takes_nothing_from_owners_that_live() {
    let mut env = Env::start(1, 3);
    settle(&env);
    let before = taken(&env);
    for domain in ["a", "b", "a"] {
        env.add(domain);
    }
    let all = (0..env.vms.len()).collect::<Vec<_>>();
    let replies = env.load(&all, 6, after(Duration::from_secs(2)));
    assert!(replies.iter().all(|reply| is_done(reply.as_ref())), "{replies:?}");
    assert_eq!(taken(&env), before, "targets changed hands");
    env.check();
}

#[test]
fn a_vm_at_a_new_address_replaces_one_that_is_gone_for_good() {
    let mut env = Env::start(1, 3);
    env.vms[0].kill();
    let gone = Instant::now();
    let new = env.add("a");
    wait_until("it owns the targets of its domain", || env.metric(new, "targets.owned") == 3);
    assert!(gone.elapsed() < LEASE_MAX, "{:?}", gone.elapsed());
    let replies = env.load(&[1, new], 4, after(Duration::from_secs(2)));
    assert!(replies.iter().all(|reply| is_done(reply.as_ref())), "{replies:?}");
    env.check();
}
