//! Partial faults of the platform: a store that serves only some VMs or applies writes late, and open connections that
//! pass no more bytes. VMs that are added and replaced.

#[path = "platform/mod.rs"]
mod platform;

use std::thread;
use std::time::{Duration, Instant};

use gypsumkeel::clock::Millis;
use gypsumkeel::platform::STORE_TIMEOUT;
use gypsumkeel::store::FIRST_PAUSE_MAX;
use gypsumkeel::vm::{ROUTES_WAIT, TARGETS_PAUSE, TARGETS_PAUSE_OWNER, TARGETS_WAIT};
use platform::{Env, Reply, Way, wait_until};
use serde_json::json;

/// The time within which a VM that the store does not serve gets a new configuration from the other VMs.
const CONFIG_DELAY_MAX: Duration = Duration::from_secs(2);

/// The time after the connections of all VMs went silent from which the platform's bounds hold again, if the change was
/// acknowledged a second before its end or earlier.
const STABLE_WINDOW: Millis = Millis(3000);

/// The time in which a healthy store opens a connection and answers, and the VM applies the answer.
const STORE_ANSWER_MAX: Millis = Millis(200);

/// How long a task of the load runs at most, with its start.
const TASK_MAX: Millis = Millis(150);

/// The largest size of a route in a frame between VMs, in bytes.
const ROUTE_BYTES_MAX: u64 = 400;

/// The time within which a new VM owns the targets of a killed one. It includes the lease of the killed VM's
/// registration.
const TAKEOVER_MAX: Duration = Duration::from_secs(3);

fn is_done(reply: Option<&Reply>) -> bool {
    reply.is_some_and(|reply| reply.status == 200 && reply.state == "done")
}

/// Returns a condition that becomes true `limit` from now.
fn after(limit: Duration) -> impl Fn() -> bool + Sync {
    let start = Instant::now();
    move || start.elapsed() > limit
}

/// The number of acquisitions of targets by all VMs so far.
fn acquisitions(env: &Env) -> u64 {
    (0..env.vms.len()).map(|vm| env.metric(vm, "targets.taken")).sum()
}

#[test]
fn vms_without_the_store_serve_jobs_and_get_configuration_changes() {
    let env = Env::start(2, 2);
    env.wait_for_stable_ownership();
    let before = acquisitions(&env);
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
        wait_until("all VMs know the new queue", || (0..4).all(knows));
        assert!(start.elapsed() < CONFIG_DELAY_MAX, "{:?}", start.elapsed());
        env.configure(version + 1, "/holds/");
        wait_until("all VMs know the old queue again", || {
            (0..4).all(|vm| env.get(vm, "/holds/").is_some_and(|(status, _)| status == 200))
        });
        let replies = env.load(&[0, 1, 2, 3], 4, after(Duration::from_secs(2)));
        assert!(replies.iter().all(|reply| is_done(reply.as_ref())), "{replies:?}");
        env.store_proxies.iter().for_each(platform::Proxy::heal);
    }
    assert_eq!(acquisitions(&env), before, "targets changed owners");
    env.check();
}

/// Guards against VMs that ask every VM that announces a new version for the whole of it, at the same time.
#[test]
fn a_large_configuration_is_fetched_once_by_each_vm_without_the_store() {
    const ROUTES: usize = 1400;
    let env = Env::start(4, 1);
    env.wait_for_stable_ownership();
    for proxy in &env.store_proxies[1..] {
        proxy.freeze(Way::Up, true);
    }
    thread::sleep(Duration::from_secs(2));
    let sent = || (0..8).map(|vm| env.metric(vm, "peers.control_bytes")).sum::<u64>();
    let before = sent();
    let prefixes = (0..ROUTES).map(|route| format!("/queue-{route}/")).collect::<Vec<_>>();
    env.configure_routes(2, &prefixes);
    let start = Instant::now();
    wait_until("all VMs know the last queue", || {
        let last = prefixes.last().unwrap();
        (0..8).all(|vm| env.get(vm, last).is_some_and(|(status, _)| status == 200))
    });
    let took = start.elapsed();
    let sent = sent() - before;
    println!("{sent} bytes in {took:?}");
    assert!(sent < 7 * ROUTE_BYTES_MAX * ROUTES as u64 * 3 / 2, "{sent} bytes");
    assert!(took < CONFIG_DELAY_MAX, "{took:?}");
    env.check();
}

#[test]
fn late_store_writes_do_no_harm() {
    let mut env = Env::start(2, 2);
    env.store.delay_writes(Some(Duration::from_secs(2)));
    let replies = thread::scope(|scope| {
        let load = scope.spawn(|| env.load(&[1, 3], 4, after(Duration::from_secs(5))));
        // The store writes the last registration of this VM only after the VM has ended.
        env.vms[0].kill();
        load.join().unwrap()
    });
    env.store.delay_writes(None);
    assert!(
        replies.iter().filter(|reply| is_done(reply.as_ref())).count() * 10 > replies.len() * 9
    );
    env.vms[0] = env.launch(0);
    wait_until("the new VM is ready", || env.is_ready(0));
    wait_until("exactly the running VMs are registered", || {
        env.store.keys("gypsumkeel/vms/").len() == 4
    });
    let replies = env.load(&[0, 1, 2, 3], 4, after(Duration::from_secs(1)));
    assert!(replies.iter().all(|reply| is_done(reply.as_ref())), "{replies:?}");
    env.check();
}

/// The longest time after open connections to the store went silent until a change is read over new ones, with a healthy
/// store: the sum of the parts, the first of which is the pause between two reads.
fn silence_max(pause: Millis, wait: Millis) -> Millis {
    pause + wait + STORE_TIMEOUT + FIRST_PAUSE_MAX + STORE_ANSWER_MAX
}

#[test]
fn silent_connections_to_the_store_are_noticed_within_the_stable_window() {
    for bound in [
        silence_max(Millis::ZERO, ROUTES_WAIT),
        silence_max(TARGETS_PAUSE_OWNER, TARGETS_WAIT),
        silence_max(TARGETS_PAUSE, TARGETS_WAIT),
    ] {
        assert!(bound <= STABLE_WINDOW, "{bound}");
    }
}

#[test]
fn silent_connections_to_the_store_are_replaced() {
    let env = Env::start(1, 2);
    env.configure(2, "/second/");
    let know = |prefix: &str| {
        (0..2).all(|vm| env.get(vm, prefix).is_some_and(|(status, _)| status == 200))
    };
    wait_until("both VMs know the second queue", || know("/second/"));
    // All watches have just begun.
    let start = Instant::now();
    env.store_proxies.iter().for_each(|proxy| proxy.freeze_open(Way::Down, true));
    env.configure(3, "/third/");
    wait_until("both VMs know the third queue", || know("/third/"));
    assert!(start.elapsed() < STABLE_WINDOW.duration(), "{:?}", start.elapsed());
    env.check();
}

#[test]
fn a_worker_that_drains_while_connections_to_the_store_are_silent_gets_no_more_tasks() {
    let env = Env::start(1, 2);
    env.wait_for_stable_ownership();
    let worker = &env.workers[0];
    let start = Instant::now();
    env.store_proxies.iter().for_each(|proxy| proxy.freeze_open(Way::Down, true));
    env.store.put(&format!("servers/{}", worker.id), &worker.entry("draining"));
    let is_over = || start.elapsed() > STABLE_WINDOW.duration() + Duration::from_secs(2);
    let (replies, last) = thread::scope(|scope| {
        let load = scope.spawn(|| env.load(&[0, 1], 4, is_over));
        let mut last = Duration::ZERO;
        while !is_over() {
            if worker.running() > 0 {
                last = start.elapsed();
            }
            thread::sleep(Duration::from_millis(5));
        }
        (load.join().unwrap(), last)
    });
    assert!(replies.iter().all(|reply| is_done(reply.as_ref())), "{replies:?}");
    assert!(last < (STABLE_WINDOW + TASK_MAX).duration(), "a task ran after {last:?}");
    env.check();
}

#[test]
fn a_new_vm_acquires_no_targets_of_live_owners() {
    let mut env = Env::start(1, 3);
    env.wait_for_stable_ownership();
    let before = acquisitions(&env);
    for domain in ["a", "b", "a"] {
        env.add(domain);
    }
    let all = (0..env.vms.len()).collect::<Vec<_>>();
    let replies = env.load(&all, 6, after(Duration::from_secs(2)));
    assert!(replies.iter().all(|reply| is_done(reply.as_ref())), "{replies:?}");
    assert_eq!(acquisitions(&env), before, "targets changed owners");
    env.check();
}

#[test]
fn a_vm_at_a_new_address_replaces_a_killed_one() {
    let mut env = Env::start(1, 3);
    env.vms[0].kill();
    let killed_at = Instant::now();
    let new = env.add("a");
    wait_until("the new VM owns the targets of its domain", || {
        env.metric(new, "targets.owned") == 3
    });
    assert!(killed_at.elapsed() < TAKEOVER_MAX, "{:?}", killed_at.elapsed());
    let replies = env.load(&[1, new], 4, after(Duration::from_secs(2)));
    assert!(replies.iter().all(|reply| is_done(reply.as_ref())), "{replies:?}");
    env.check();
}

/// Guards against starts in an evacuated domain by a VM that the store refuses, that starts later, or that takes the
/// targets over from an owner that is killed meanwhile.
#[test]
fn an_evacuation_reaches_vms_without_the_store_and_new_ones() {
    let mut env = Env::start(2, 2);
    env.wait_for_stable_ownership();
    for vm in [0, 1] {
        env.store_proxies[vm].refuse(true);
        env.store_proxies[vm].reset();
    }
    env.store.put("op/evacuate/a", &json!({}));
    let knows = |env: &Env, vm: usize| env.status(vm)["evacuated"] == json!(["a"]);
    wait_until("all VMs know of the evacuation", || (0..4).all(|vm| knows(&env, vm)));
    env.store_proxies.iter().for_each(platform::Proxy::heal);
    let new = env.add("a");
    wait_until("the new VM knows of the evacuation", || knows(&env, new));
    let starts =
        |env: &Env| env.workers[..2].iter().map(platform::worker::Worker::starts).sum::<u64>();
    let before = starts(&env);
    let replies = env.load(&[1, 2, 3, new], 4, after(Duration::from_secs(2)));
    assert!(replies.iter().all(|reply| is_done(reply.as_ref())), "{replies:?}");
    env.vms[0].kill();
    let replies = env.load(&[1, 2, 3, new], 4, after(Duration::from_secs(3)));
    assert!(replies.iter().any(|reply| is_done(reply.as_ref())), "{replies:?}");
    assert_eq!(starts(&env), before, "a task started in the evacuated domain");
    env.store.remove("op/evacuate/a");
    wait_until("tasks start again in the domain", || {
        env.load(&[1, new], 4, after(Duration::from_millis(200)));
        starts(&env) > before
    });
    env.check();
}
