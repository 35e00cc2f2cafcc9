//! Who takes which target, and when.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use gypsumkeel::clock::Millis;
use gypsumkeel::job::Incarnation;
use gypsumkeel::ownership::{Ownership, Peer, Presence, Target};

const ALIVE: Presence = Presence { registered: true, linked: true, refused: false };

fn id(number: u128) -> Incarnation {
    Incarnation(number)
}

/// A VM's address: the port ends with the number in its name.
fn address(vm: &str) -> SocketAddr {
    let number = vm.trim_start_matches('v').parse::<u16>().unwrap();
    SocketAddr::from(([127, 0, 0, 1], 7000 + number))
}

fn peer(vm: &str, domain: &str, presence: Presence) -> Peer {
    Peer {
        vm: Arc::from(vm),
        domain: Arc::from(domain),
        address: address(vm),
        presence,
        draining: false,
        cpu: 0,
        owns: None,
        known_since: Millis::ZERO,
    }
}

fn targets(domain: &str, count: usize) -> BTreeMap<Arc<str>, Target> {
    let place = Target { domain: Arc::from(domain), acquirable: true };
    (0..count).map(|number| (Arc::from(format!("{domain}{number}")), place.clone())).collect()
}

fn owned(domain: &str, count: usize) -> BTreeSet<Arc<str>> {
    targets(domain, count).into_keys().collect()
}

/// The views of VMs `vms` of domain a, which all know each other and have said that they own nothing.
fn views(vms: &[&str]) -> Vec<Ownership> {
    let view = |own: usize| {
        let mut view = Ownership::new(vms[own], "a", address(vms[own]));
        view.set_targets(targets("a", 16));
        let others = vms.iter().enumerate().filter(|(other, _)| *other != own);
        let others = others.map(|(other, vm)| (id(other as u128), peer(vm, "a", ALIVE)));
        view.set_peers(Millis(0), others);
        (0..vms.len())
            .for_each(|other| view.record_announcement(id(other as u128), BTreeSet::new(), false));
        view
    };
    (0..vms.len()).map(view).collect()
}

#[test]
fn all_views_choose_the_same_owner() {
    let vms = ["v0", "v1", "v2"];
    let taken =
        views(&vms).iter_mut().map(|view| view.to_acquire(Millis(1000)).len()).collect::<Vec<_>>();
    assert_eq!(taken.iter().sum::<usize>(), 16, "{taken:?}");
    assert_eq!(taken.iter().filter(|&&count| count > 0).count(), 1, "{taken:?}");
}

#[test]
fn many_targets_have_several_owners() {
    let vms = ["v0", "v1", "v2", "v3"];
    let mut total = 0;
    let mut owners = 0;
    for mut view in views(&vms) {
        view.set_targets(targets("a", 96));
        let taken = view.to_acquire(Millis(1000)).len();
        total += taken;
        owners += usize::from(taken > 0);
    }
    assert_eq!((total, owners), (96, 4));
}

/// VMs of very different size, more of them than owners are needed.
#[test]
fn the_largest_vms_own_the_targets_in_proportion() {
    let cpus = [90, 500, 90, 250, 120, 500, 90, 90];
    let mut owned = BTreeMap::<u32, usize>::new();
    for (number, &cpu) in cpus.iter().enumerate() {
        let name = format!("v{number}");
        let mut view = Ownership::new(&name, "a", address(&name)).with_cpu(cpu);
        view.set_targets(targets("a", 72));
        let others = cpus.iter().enumerate().filter(|(other, _)| *other != number);
        let others = others.map(|(other, &cpu)| {
            let name = format!("v{other}");
            (id(other as u128), Peer { cpu, ..peer(&name, "a", ALIVE) })
        });
        view.set_peers(Millis(0), others.collect::<Vec<_>>());
        *owned.entry(cpu).or_default() += view.to_acquire(Millis(1000)).len();
    }
    insta::assert_snapshot!(format!("{owned:?}"), @"{90: 0, 120: 0, 250: 10, 500: 62}");
}

#[test]
fn an_owner_that_is_alive_keeps_what_it_has() {
    for presence in [
        ALIVE,
        Presence { registered: true, linked: false, refused: false },
        Presence { registered: false, linked: true, refused: false },
    ] {
        let mut view = Ownership::new("v0", "a", address("v0"));
        view.set_targets(targets("a", 16));
        view.set_peers(Millis(0), [(id(1), peer("v1", "a", presence))]);
        view.record_announcement(id(1), owned("a", 16), false);
        assert!(view.to_acquire(Millis(60_000)).is_empty(), "{presence:?}");
    }
}

#[test]
fn the_targets_of_a_vm_that_is_gone_are_taken() {
    for presence in [
        Presence { registered: false, linked: false, refused: false },
        Presence { registered: true, linked: false, refused: true },
    ] {
        let mut view = Ownership::new("v0", "a", address("v0"));
        view.set_targets(targets("a", 16));
        let beside = (id(2), peer("v2", "b", ALIVE));
        view.set_peers(Millis(0), [(id(1), peer("v1", "a", ALIVE)), beside.clone()]);
        view.record_announcement(id(1), owned("a", 16), false);
        view.set_peers(Millis(1000), [(id(1), peer("v1", "a", presence)), beside]);
        assert_eq!(view.to_acquire(Millis(1000)).len(), 16, "{presence:?}");
    }
}

#[test]
fn what_a_vm_says_before_it_is_known_counts() {
    let mut view = Ownership::new("v0", "a", address("v0"));
    view.set_targets(targets("a", 16));
    view.record_announcement(id(1), owned("a", 16), false);
    view.set_peers(Millis(0), [(id(1), peer("v1", "a", ALIVE))]);
    assert!(view.to_acquire(Millis(60_000)).is_empty());
    assert_eq!(view.owner(Millis(60_000), "a3"), Some(id(1)));
}

#[test]
fn a_vm_that_has_just_come_is_heard_first() {
    let mut view = Ownership::new("v0", "a", address("v0"));
    view.set_targets(targets("a", 16));
    view.set_peers(Millis(1000), [(id(1), peer("v1", "a", ALIVE))]);
    assert!(view.to_acquire(Millis(1010)).is_empty());
    view.record_announcement(id(1), owned("a", 16), false);
    assert!(view.to_acquire(Millis(60_000)).is_empty());
}

#[test]
fn a_domain_without_vms_is_taken_after_a_while() {
    let mut view = Ownership::new("v0", "a", address("v0"));
    view.set_targets(targets("b", 16));
    assert!(view.to_acquire(Millis(1000)).is_empty());
    assert!(view.to_acquire(Millis(2000)).is_empty());
    assert_eq!(view.to_acquire(Millis(2600)).len(), 16);
    assert!(!view.belongs_elsewhere(Millis(2600), "b3"));
    view.set_peers(Millis(3000), [(id(1), peer("v1", "b", ALIVE))]);
    assert!(view.to_acquire(Millis(9000)).is_empty(), "its own VM takes them");
    assert!(view.belongs_elsewhere(Millis(9000), "b3"));
}

#[test]
fn a_target_lost_to_another_is_left_alone_for_a_while() {
    let mut view = Ownership::new("v0", "a", address("v0"));
    view.set_targets(targets("a", 1));
    let target = Arc::from("a0");
    view.record_acquired(&target);
    view.record_lost(Millis(1000), &target, true);
    assert!(view.to_acquire(Millis(1100)).is_empty());
    assert_eq!(view.to_acquire(Millis(2600)).len(), 1);
}

#[test]
fn a_vm_that_stops_takes_nothing_and_is_not_chosen() {
    let mut view = Ownership::new("v0", "a", address("v0"));
    view.set_targets(targets("a", 16));
    view.set_peers(Millis(0), [(id(1), peer("v1", "a", ALIVE))]);
    view.record_announcement(id(1), BTreeSet::new(), true);
    assert_eq!(view.to_acquire(Millis(1000)).len(), 16);
    view.drain();
    assert!(view.to_acquire(Millis(1000)).is_empty());
}

#[test]
fn a_target_that_leaves_is_not_taken() {
    let mut view = Ownership::new("v0", "a", address("v0"));
    let mut places = targets("a", 2);
    places.get_mut("a0").unwrap().acquirable = false;
    view.set_targets(places);
    assert_eq!(view.to_acquire(Millis(1000)), [Arc::<str>::from("a1")]);
}

/// A VM of domain a that knows a VM of domain b, which owns b's targets, and one beside it.
fn view_of_two_domains() -> Ownership {
    let mut view = Ownership::new("v0", "a", address("v0"));
    view.set_targets(targets("b", 16));
    let peers = [(id(1), peer("v1", "b", ALIVE)), (id(2), peer("v2", "a", ALIVE))];
    view.set_peers(Millis(0), peers);
    view.record_announcement(id(1), owned("b", 16), false);
    view
}

#[test]
fn a_domain_that_is_cut_off_takes_nothing_from_the_others() {
    let mut view = view_of_two_domains();
    let gone = Presence { registered: false, linked: false, refused: false };
    // Cut off from the other domain and from the store; the VM beside it is still linked.
    let peers = [(id(1), peer("v1", "b", gone)), (id(2), peer("v2", "a", ALIVE))];
    view.set_peers(Millis(1000), peers);
    view.record_store_status(Millis(1000), false);
    for now in (1000..8000).step_by(250) {
        assert!(view.to_acquire(Millis(now)).is_empty(), "at {now}");
    }
    // The cut has healed: the store answers, and shows a registration that has lapsed and is not back yet.
    view.record_store_status(Millis(8000), true);
    assert!(view.to_acquire(Millis(8000)).is_empty());
    assert!(view.belongs_elsewhere(Millis(8000), "b3"));
    assert!(view.to_acquire(Millis(10_000)).is_empty());
    let back = [(id(1), peer("v1", "b", ALIVE)), (id(2), peer("v2", "a", ALIVE))];
    view.set_peers(Millis(10_100), back);
    assert!(view.to_acquire(Millis(60_000)).is_empty());
}

#[test]
fn a_vm_that_reaches_nobody_takes_nothing() {
    let mut view = Ownership::new("v0", "a", address("v0"));
    view.set_targets(targets("a", 16));
    view.set_peers(Millis(0), [(id(1), peer("v1", "a", ALIVE))]);
    let silent = Presence { registered: true, linked: false, refused: true };
    view.set_peers(Millis(100), [(id(1), peer("v1", "a", silent))]);
    assert!(view.to_acquire(Millis(5000)).is_empty(), "the store lists another");
    let gone = Presence { registered: false, linked: false, refused: false };
    view.set_peers(Millis(6000), [(id(1), peer("v1", "a", gone))]);
    view.record_store_status(Millis(6000), false);
    assert!(view.to_acquire(Millis(60_000)).is_empty(), "the store is out");
    view.record_store_status(Millis(60_000), true);
    assert_eq!(view.to_acquire(Millis(60_000)).len(), 16);
}

#[test]
fn while_the_store_is_out_a_silent_link_is_enough() {
    let mut view = Ownership::new("v0", "a", address("v0"));
    view.set_targets(targets("a", 16));
    let silent = Presence { registered: true, linked: false, refused: false };
    let others = [(id(1), peer("v1", "a", silent)), (id(2), peer("v2", "b", ALIVE))];
    view.set_peers(Millis(0), others);
    view.record_announcement(id(1), owned("a", 16), false);
    view.record_store_status(Millis(1000), false);
    assert!(view.to_acquire(Millis(2000)).is_empty());
    assert_eq!(view.to_acquire(Millis(2600)).len(), 16);
}

#[test]
fn after_a_restart_of_all_nobody_waits_for_the_runs_of_before() {
    let stale = Presence { registered: true, linked: false, refused: false };
    let mut view = Ownership::new("v0", "a", address("v0"));
    view.set_targets(targets("a", 16));
    // The registrations of before have not lapsed: this VM's own, and that of the VM beside it, which is back.
    let runs = [
        (id(10), peer("v0", "a", stale)),
        (id(11), peer("v1", "a", stale)),
        (id(1), peer("v1", "a", ALIVE)),
    ];
    view.set_peers(Millis(20), runs);
    view.record_announcement(id(1), BTreeSet::new(), false);
    let mut other = Ownership::new("v1", "a", address("v1"));
    other.set_targets(targets("a", 16));
    let runs = [
        (id(10), peer("v0", "a", stale)),
        (id(11), peer("v1", "a", stale)),
        (id(0), peer("v0", "a", ALIVE)),
    ];
    other.set_peers(Millis(20), runs);
    other.record_announcement(id(0), BTreeSet::new(), false);
    let taken = view.to_acquire(Millis(30)).len() + other.to_acquire(Millis(30)).len();
    assert_eq!(taken, 16);
}
