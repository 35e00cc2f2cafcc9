//! Leases, views, claims and closing records against a test store that runs in this process.

mod testenv;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use gypsumkeel::clock::Millis;
use gypsumkeel::job::{Closing, Incarnation, Key, Mark, Prefix};
use gypsumkeel::membership::claim::{self, Budget};
use gypsumkeel::membership::closed::{self, Lookup};
use gypsumkeel::membership::{
    self, Epochs, Membership, Registration, Version, Versioned, View, keep_lease, watch_members,
    watch_targets,
};
use gypsumkeel::ownership::Quota;
use gypsumkeel::settings::Lease;
use gypsumkeel::store::Consul;
use smol::future;
use testenv::store::{Rates, Store, TARGETS};
use testenv::wait_until;

const PREFIX: &str = "gypsumkeel/test";
const TIMEOUT: Millis = Millis::from_secs(2);
/// How long a blocking read of the store waits for a change.
const WAIT: Millis = Millis::from_secs(1);
/// How long a condition may take to hold.
const LIMIT: Duration = Duration::from_secs(30);
const LEASE: Lease = Lease { ttl: Millis(1500), renew: Millis(300) };

fn client(store: &Store) -> Consul {
    Consul::new(store.address(), TIMEOUT)
}

/// Starts a VM that keeps its lease and watches the VMs and the targets until the test process ends.
fn vm(store: &Store, number: u16) -> Arc<Membership> {
    let membership = Arc::new(Membership::new(Registration {
        vm: format!("vm-{number}"),
        domain: "a".to_owned(),
        region: "south".to_owned(),
        incarnation: Incarnation(number.into()),
        caller_address: ([127, 0, 0, 1], 7000 + number).into(),
        peer_address: ([127, 0, 0, 1], 8000 + number).into(),
        draining: false,
        cpu: 0,
        quota: Quota::default(),
    }));
    let (local, consul) = (Arc::clone(&membership), client(store));
    thread::spawn(move || {
        let lease = keep_lease(&local, &consul, PREFIX, LEASE);
        let members = watch_members(&local, &consul, PREFIX, WAIT);
        let targets = watch_targets(&local, &consul, TARGETS, WAIT);
        smol::block_on(future::zip(lease, future::zip(members, targets)));
    });
    membership
}

fn names(membership: &Membership) -> Vec<String> {
    let view = membership.view();
    view.members.value.values().map(|member| member.vm.clone()).collect()
}

fn leaving(membership: &Membership) -> Vec<String> {
    membership.view().leaving.value.iter().cloned().collect()
}

#[test]
fn vms_see_each_other_register_drain_and_deregister() {
    let store = Store::start();
    let (first, second) = (vm(&store, 1), vm(&store, 2));
    wait_until("both VMs know both", LIMIT, || {
        names(&first) == ["vm-1", "vm-2"] && names(&second) == names(&first)
    });
    assert!(!first.view().members.value[&Incarnation(2)].draining);
    second.drain();
    wait_until("the first VM knows that the second is draining", LIMIT, || {
        first.view().members.value[&Incarnation(2)].draining
    });
    smol::block_on(membership::deregister(&second, &client(&store), PREFIX)).unwrap();
    wait_until("the second VM's registration is gone", LIMIT, || {
        store.memory().peek_keys(PREFIX).len() < 2
    });
    store.close();
}

#[test]
fn a_lapsed_lease_is_replaced() {
    let store = Store::start();
    let (first, second) = (vm(&store, 1), vm(&store, 2));
    wait_until("both VMs know both", LIMIT, || {
        names(&first).len() == 2 && names(&second).len() == 2
    });
    for _ in 0..3 {
        let before = first.view().members.version;
        store.memory().expire_sessions();
        let both_known = || names(&first).len() == 2 && first.view().members.version > before;
        wait_until("both VMs are known again", LIMIT, both_known);
    }
    store.close();
}

#[test]
fn a_leaving_mark_reaches_every_vm_and_an_outage_of_the_store_drops_nothing() {
    let store = Store::start();
    store.set_targets(["t1", "t2"]);
    let (first, second) = (vm(&store, 1), vm(&store, 2));
    wait_until("both VMs know both", LIMIT, || {
        names(&first).len() == 2 && names(&second).len() == 2
    });
    store.set_leaving("t1", true);
    wait_until("both VMs know the mark", LIMIT, || {
        leaving(&first) == ["t1"] && leaving(&second) == ["t1"]
    });
    // From now on the store returns a stale list of targets; the newer one comes from a peer.
    store.freeze_vms(true);
    store.set_leaving("t2", true);
    let third = vm(&store, 3);
    wait_until("the third VM has the stale list", LIMIT, || {
        leaving(&third) == ["t1"] && names(&third).len() == 3
    });
    let mut newer = View::clone(&second.view());
    newer.leaving.version.index += 100;
    newer.leaving.value.insert("t2".to_owned());
    assert!(third.offer(&newer));
    assert!(!third.offer(&newer) && !third.offer(&first.view()));
    assert_eq!(leaving(&third), ["t1", "t2"]);
    store.down(true);
    wait_until("calls to the store fail", LIMIT, || store.seen().dropped > 20);
    assert_eq!((names(&third).len(), leaving(&third).len()), (3, 2));
    store.down(false);
    store.freeze_vms(false);
    wait_until("all VMs are known", LIMIT, || names(&first).len() == 3);
    assert_eq!(leaving(&third), ["t1", "t2"]);
    store.close();
}

#[test]
fn views_merged_in_any_order_give_the_newest() {
    let views = (0..40).map(|number: u64| {
        let version = Version { epoch: number / 16, index: number % 16 };
        let incarnation = Incarnation(number.into());
        let leaving = Versioned { version, value: BTreeSet::from([format!("t{number}")]) };
        let member = Registration {
            vm: incarnation.to_string(),
            domain: String::new(),
            region: String::new(),
            incarnation,
            caller_address: ([127, 0, 0, 1], 1).into(),
            peer_address: ([127, 0, 0, 1], 2).into(),
            draining: false,
            cpu: 0,
            quota: Quota::default(),
        };
        let members = Versioned { version, value: BTreeMap::from([(incarnation, member)]) };
        View { members, leaving }
    });
    let views = views.collect::<Vec<_>>();
    for seed in 0..100 {
        let mut order = views.clone();
        fastrand::Rng::with_seed(seed).shuffle(&mut order);
        let mut view = View::default();
        for other in &order {
            let before = view.versions();
            let newer = other.versions().is_ahead_of(&before);
            assert_eq!(view.merge(other), newer, "seed {seed}");
            assert!(!before.is_ahead_of(&view.versions()), "seed {seed}");
        }
        assert_eq!(&view, &views[39], "seed {seed}");
    }
}

/// VMs of other versions read this from the store and from their peers.
/// Another writer may have left the registration.
#[test]
fn a_quota_out_of_range_is_brought_into_range() {
    let read = |text: &str| serde_json::from_str::<Quota>(text).map(Quota::targets);
    assert_eq!(read("0").unwrap(), 1);
    assert_eq!(read("7").unwrap(), 7);
    assert_eq!(read("4294967295").unwrap(), Quota::default().targets());
    assert!(read("4294967296").is_err(), "the registration is unreadable");
    assert_eq!(serde_json::to_string(&Quota::from(7)).unwrap(), "7");
}

#[test]
fn a_registration_keeps_its_stored_form() {
    let text = r#"{"vm":"vm-1","domain":"a","region":"south","incarnation":"AAAAAAAAAAAAAAAAAAAAAQ","callers":"127.0.0.1:7001","peers":"127.0.0.1:8001","draining":true,"cpu":1500}"#;
    let registration = serde_json::from_str::<Registration>(text).unwrap();
    assert_eq!(registration.caller_address, ([127, 0, 0, 1], 7001).into());
    assert_eq!(registration.peer_address, ([127, 0, 0, 1], 8001).into());
    assert_eq!(serde_json::to_string(&registration).unwrap(), text);
}

#[test]
fn a_store_set_up_again_begins_an_epoch_and_a_lagging_one_does_not() {
    let known = Version { epoch: 0, index: 50 };
    let newer = |epoch, index| Some(Version { epoch, index });
    let steps = [
        (0, 50, None),
        (1, 51, newer(0, 51)),
        (2, 20, None),
        (61, 20, None),
        (61, 50, None),
        (62, 20, None),
        (121, 21, None),
        (122, 22, newer(1, 22)),
    ];
    let mut epochs = Epochs::default();
    for (second, index, expected) in steps {
        let version = epochs.version(Millis::from_secs(second), known, index);
        assert_eq!(version, expected, "at {second} s");
    }
}

#[test]
fn racing_claims_of_a_key_agree_on_one_prefix_even_when_answers_are_lost() {
    let store = Store::start();
    for round in 0..10 {
        store.lose_responses("", round % 4);
        let key = format!("order-{round}");
        let threads = (0..6u16).map(|number| {
            let (consul, key) = (client(&store), key.clone());
            let local = Prefix { incarnation: Incarnation(number.into()), window: 7 };
            thread::spawn(move || smol::block_on(claim::claim(&consul, PREFIX, &key, local)))
        });
        let threads = threads.collect::<Vec<_>>();
        let claims = threads.into_iter().map(|thread| thread.join().unwrap()).collect::<Vec<_>>();
        let prefixes =
            claims.iter().filter_map(|claim| claim.clone().ok()).collect::<BTreeSet<_>>();
        assert_eq!(prefixes.len(), 1, "round {round}: {claims:?}");
    }
    store.down(true);
    let local = Prefix { incarnation: Incarnation(1), window: 1 };
    let refused = smol::block_on(claim::claim(&client(&store), PREFIX, "order-1", local));
    assert!(refused.unwrap_err().to_string().contains("POST /v1/keys"));
    store.close();
}

#[test]
fn the_budget_bounds_claims_in_each_second() {
    let mut budget = Budget::new();
    let taken = (0..3000).step_by(10).filter(|&now| budget.take(Millis(now), 20).is_ok());
    assert_eq!(taken.count(), 60);
}

#[test]
fn a_closing_record_says_what_became_of_every_key() {
    let store = Store::start_with(Rates { writes: 2, reads: 1000 });
    let incarnation = Incarnation(9);
    let marks = [Mark::NotRun, Mark::Ran, Mark::Unknown];
    let keys = (0..60_000usize).map(|number| {
        let own_id = format!("k{number}").into_boxed_str();
        (3 + number as u64 / 20_000, own_id, marks[number % 3])
    });
    let closing = Closing { oldest: 3, keys: keys.collect() };
    let consul = client(&store);
    let key = |window, suffix: &str| Key {
        prefix: Prefix { incarnation, window },
        suffix: suffix.into(),
    };
    let lookup = |key: &Key| smol::block_on(closed::lookup(&consul, PREFIX, key)).unwrap();
    assert_eq!(lookup(&key(3, "k0")), Lookup::NoRecord);
    store.lose_responses("", 1);
    smol::block_on(closed::write(&consul, PREFIX, incarnation, &closing));
    for number in (0..60_000).step_by(977) {
        let (window, own_id, mark) = &closing.keys[number];
        assert_eq!(lookup(&key(*window, own_id)), Lookup::Accepted(*mark), "{own_id}");
    }
    assert_eq!(lookup(&key(4, "k0")), Lookup::NeverAccepted);
    assert_eq!(lookup(&key(99, "k0")), Lookup::NeverAccepted);
    assert_eq!(lookup(&key(2, "k0")), Lookup::Dropped);
    let stored = || store.memory().peek_keys(&format!("{PREFIX}/closed/")).len();
    // Three chunks and the head.
    assert_eq!(stored(), 4);
    store.memory().expire_sessions();
    assert_eq!((stored(), lookup(&key(3, "k0"))), (0, Lookup::NoRecord));
    store.close();
}
