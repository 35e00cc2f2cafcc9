//! Membership against the stand-in store: leases, leaving marks, claims and closing records.

mod testenv;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use gypsumkeel::clock::Millis;
use gypsumkeel::job::{Closing, Incarnation, Key, Mark, Prefix};
use gypsumkeel::membership::claim::{self, Budget};
use gypsumkeel::membership::closed::{self, Fate};
use gypsumkeel::membership::{
    self, Epochs, Listed, Membership, Registration, Version, View, keep_lease, watch_list,
    watch_members,
};
use gypsumkeel::settings::Lease;
use gypsumkeel::store::Consul;
use smol::future;
use testenv::store::{Rates, Store, TARGETS};
use testenv::wait_until;

const PREFIX: &str = "gypsumkeel/test";
const TIMEOUT: Millis = Millis::from_secs(2);
const WAIT: Millis = Millis::from_secs(1);
const LIMIT: Duration = Duration::from_secs(30);
const LEASE: Lease = Lease { ttl: Millis(1500), renew: Millis(300) };

fn client(store: &Store) -> Consul {
    Consul::new(store.address(), TIMEOUT)
}

/// A VM that keeps its lease and watches both lists for as long as the test lasts.
fn vm(store: &Store, number: u16) -> Arc<Membership> {
    let membership = Arc::new(Membership::new(Registration {
        vm: format!("vm-{number}"),
        domain: "a".to_owned(),
        region: "south".to_owned(),
        incarnation: Incarnation(number.into()),
        callers: ([127, 0, 0, 1], 7000 + number).into(),
        peers: ([127, 0, 0, 1], 8000 + number).into(),
        draining: false,
        cpu: 0,
    }));
    let (own, consul) = (Arc::clone(&membership), client(store));
    thread::spawn(move || {
        let lease = keep_lease(&own, &consul, PREFIX, LEASE);
        let members = watch_members(&own, &consul, PREFIX, WAIT);
        let list = watch_list(&own, &consul, TARGETS, WAIT);
        smol::block_on(future::zip(lease, future::zip(members, list)));
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
fn vms_see_each_other_drain_and_go() {
    let store = Store::start();
    let (one, two) = (vm(&store, 1), vm(&store, 2));
    wait_until("both", LIMIT, || names(&one) == ["vm-1", "vm-2"] && names(&two) == names(&one));
    assert!(!one.view().members.value[&Incarnation(2)].draining);
    two.drain();
    wait_until("the drain", LIMIT, || one.view().members.value[&Incarnation(2)].draining);
    smol::block_on(membership::leave(&two, &client(&store), PREFIX)).unwrap();
    wait_until("the end", LIMIT, || store.memory().peek_keys(PREFIX).len() < 2);
    store.close();
}

#[test]
fn a_lapsed_lease_is_followed_by_another() {
    let store = Store::start();
    let (one, two) = (vm(&store, 1), vm(&store, 2));
    wait_until("both", LIMIT, || names(&one).len() == 2 && names(&two).len() == 2);
    for _ in 0..3 {
        let before = one.view().members.version;
        store.memory().lapse_sessions();
        let is_back = || names(&one).len() == 2 && one.view().members.version > before;
        wait_until("both again", LIMIT, is_back);
    }
    store.close();
}

#[test]
fn a_leaving_mark_spreads_and_an_outage_drops_nothing() {
    let store = Store::start();
    store.set_targets(["t1", "t2"]);
    let (one, two) = (vm(&store, 1), vm(&store, 2));
    wait_until("both", LIMIT, || names(&one).len() == 2 && names(&two).len() == 2);
    store.leave("t1", true);
    wait_until("the mark", LIMIT, || leaving(&one) == ["t1"] && leaving(&two) == ["t1"]);
    // The list is frozen for a VM that starts now, and a peer tells it.
    store.freeze_vms(true);
    store.leave("t2", true);
    let three = vm(&store, 3);
    wait_until("the old list", LIMIT, || leaving(&three) == ["t1"] && names(&three).len() == 3);
    let mut newer = View::clone(&two.view());
    newer.leaving.version.index += 100;
    newer.leaving.value.insert("t2".to_owned());
    assert!(three.offer(&newer));
    assert!(!three.offer(&newer) && !three.offer(&one.view()));
    assert_eq!(leaving(&three), ["t1", "t2"]);
    store.down(true);
    wait_until("calls that fail", LIMIT, || store.seen().dropped > 20);
    assert_eq!((names(&three).len(), leaving(&three).len()), (3, 2));
    store.down(false);
    store.freeze_vms(false);
    wait_until("all again", LIMIT, || names(&one).len() == 3);
    assert_eq!(leaving(&three), ["t1", "t2"]);
    store.close();
}

#[test]
fn a_view_only_gets_newer_in_any_order() {
    let views = (0..40).map(|number: u64| {
        let version = Version { epoch: number / 16, index: number % 16 };
        let own = Incarnation(number.into());
        let leaving = Listed { version, value: BTreeSet::from([format!("t{number}")]) };
        let member = Registration {
            vm: own.to_string(),
            domain: String::new(),
            region: String::new(),
            incarnation: own,
            callers: ([127, 0, 0, 1], 1).into(),
            peers: ([127, 0, 0, 1], 2).into(),
            draining: false,
            cpu: 0,
        };
        let members = Listed { version, value: BTreeMap::from([(own, member)]) };
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

#[test]
fn a_store_set_up_anew_begins_an_epoch_and_a_lagging_one_does_not() {
    let known = Version { epoch: 0, index: 50 };
    let news = |epoch, index| Some(Version { epoch, index });
    let steps = [
        (0, 50, None),
        (1, 51, news(0, 51)),
        (2, 20, None),
        (61, 20, None),
        (61, 50, None),
        (62, 20, None),
        (121, 21, None),
        (122, 22, news(1, 22)),
    ];
    let mut epochs = Epochs::default();
    for (second, index, expected) in steps {
        let given = epochs.version(Millis::from_secs(second), known, index);
        assert_eq!(given, expected, "at {second} s");
    }
}

#[test]
fn a_key_has_one_claim_however_many_ask_and_answers_are_lost() {
    let store = Store::start();
    for round in 0..10 {
        store.lose("", round % 4);
        let key = format!("order-{round}");
        let askers = (0..6u16).map(|number| {
            let (consul, key) = (client(&store), key.clone());
            let own = Prefix { incarnation: Incarnation(number.into()), window: 7 };
            thread::spawn(move || smol::block_on(claim::claim(&consul, PREFIX, &key, own)))
        });
        let askers = askers.collect::<Vec<_>>();
        let claims = askers.into_iter().map(|asker| asker.join().unwrap()).collect::<Vec<_>>();
        let told = claims.iter().filter_map(|claim| claim.clone().ok()).collect::<BTreeSet<_>>();
        assert_eq!(told.len(), 1, "round {round}: {claims:?}");
    }
    store.down(true);
    let own = Prefix { incarnation: Incarnation(1), window: 1 };
    let refused = smol::block_on(claim::claim(&client(&store), PREFIX, "order-1", own));
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
fn a_closing_record_tells_the_fate_of_every_key() {
    let store = Store::start_with(Rates { writes: 2, reads: 1000 });
    let incarnation = Incarnation(9);
    let marks = [Mark::NotRun, Mark::Ran, Mark::Unknown];
    let keys = (0..60_000usize).map(|number| {
        let own = format!("k{number}").into_boxed_str();
        (3 + number as u64 / 20_000, own, marks[number % 3])
    });
    let closing = Closing { oldest: 3, keys: keys.collect() };
    let consul = client(&store);
    let key = |window, suffix: &str| Key {
        prefix: Prefix { incarnation, window },
        suffix: suffix.into(),
    };
    let look = |key: &Key| smol::block_on(closed::look(&consul, PREFIX, key)).unwrap();
    assert_eq!(look(&key(3, "k0")), Fate::Open);
    store.lose("", 1);
    smol::block_on(closed::write(&consul, PREFIX, incarnation, &closing));
    for number in (0..60_000).step_by(977) {
        let (window, own, mark) = &closing.keys[number];
        assert_eq!(look(&key(*window, own)), Fate::Accepted(*mark), "{own}");
    }
    assert_eq!(look(&key(4, "k0")), Fate::Never);
    assert_eq!(look(&key(99, "k0")), Fate::Never);
    assert_eq!(look(&key(2, "k0")), Fate::Dropped);
    let kept = || store.memory().peek_keys(&format!("{PREFIX}/closed/")).len();
    assert_eq!(kept(), 4);
    store.memory().lapse_sessions();
    assert_eq!((kept(), look(&key(3, "k0"))), (0, Fate::Open));
    store.close();
}
