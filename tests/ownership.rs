//! Which VM acquires which target, and when.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use gypsumkeel::clock::Millis;
use gypsumkeel::job::Incarnation;
use gypsumkeel::ownership::{Ownership, Peer, Presence, Quota, Target};

const ALIVE: Presence = Presence { registered: true, linked: true, refused: false };

fn id(number: u128) -> Incarnation {
    Incarnation(number)
}

/// Address of a VM. The port is 7000 plus the number in the VM's name.
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
        quota: Quota::default(),
        owns: None,
        known_since: Millis::ZERO,
    }
}

fn targets(domain: &str, count: usize) -> BTreeMap<Arc<str>, Target> {
    let target = Target { domain: Arc::from(domain), acquirable: true };
    (0..count).map(|number| (Arc::from(format!("{domain}{number}")), target.clone())).collect()
}

fn owned(domain: &str, count: usize) -> BTreeSet<Arc<str>> {
    targets(domain, count).into_keys().collect()
}

/// The views of the VMs `vms` of domain a, which are all linked and have announced that they own nothing.
fn views(vms: &[&str]) -> Vec<Ownership> {
    let view = |local: usize| {
        let mut view = Ownership::new(vms[local], "a", address(vms[local]));
        view.set_targets(targets("a", 16));
        let others = vms.iter().enumerate().filter(|(other, _)| *other != local);
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
    let acquired =
        views(&vms).iter_mut().map(|view| view.to_acquire(Millis(1000)).len()).collect::<Vec<_>>();
    assert_eq!(acquired.iter().sum::<usize>(), 16, "{acquired:?}");
    assert_eq!(acquired.iter().filter(|&&count| count > 0).count(), 1, "{acquired:?}");
}

#[test]
fn many_targets_have_several_owners() {
    let vms = ["v0", "v1", "v2", "v3"];
    let mut total = 0;
    let mut owners = 0;
    for mut view in views(&vms) {
        view.set_targets(targets("a", 96));
        let acquired = view.to_acquire(Millis(1000)).len();
        total += acquired;
        owners += usize::from(acquired > 0);
    }
    assert_eq!((total, owners), (96, 4));
}

/// VMs with very different amounts of CPU, and more VMs than the targets need owners.
/// A VM whose link carries few calls would let its targets wait, while other VMs of its domain are idle.
#[test]
fn vms_with_slow_links_share_the_targets_of_their_domain() {
    let quotas = [8, 8, 8, 8];
    let mut owned = Vec::new();
    for (local, &quota) in quotas.iter().enumerate() {
        let name = format!("v{local}");
        let quota = Quota::from(quota);
        let mut view = Ownership::new(&name, "a", address(&name)).with_quota(quota);
        view.set_targets(targets("a", 24));
        let others = (0..quotas.len()).filter(|other| *other != local);
        let others = others.map(|other| {
            (id(other as u128), Peer { quota, ..peer(&format!("v{other}"), "a", ALIVE) })
        });
        view.set_peers(Millis(0), others);
        (0..quotas.len())
            .for_each(|other| view.record_announcement(id(other as u128), BTreeSet::new(), false));
        owned.push(view.to_acquire(Millis(1000)).len());
    }
    assert_eq!(owned.iter().sum::<usize>(), 24, "{owned:?}");
    assert_eq!(owned.iter().filter(|&&count| count > 0).count(), 3, "{owned:?}");
    assert!(owned.iter().all(|&count| count <= 12), "{owned:?}");
}

#[test]
fn the_largest_vms_own_the_targets_in_proportion_to_their_cpu() {
    let cpus = [90, 500, 90, 250, 120, 500, 90, 90];
    let mut owned = BTreeMap::<u32, usize>::new();
    for (local, &cpu) in cpus.iter().enumerate() {
        let name = format!("v{local}");
        let mut view = Ownership::new(&name, "a", address(&name)).with_cpu(cpu);
        view.set_targets(targets("a", 72));
        let others = cpus.iter().enumerate().filter(|(other, _)| *other != local);
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
fn an_owner_that_is_alive_keeps_its_targets() {
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
fn targets_of_a_vm_that_is_gone_are_acquired() {
    for presence in [
        Presence { registered: false, linked: false, refused: false },
        Presence { registered: true, linked: false, refused: true },
    ] {
        let mut view = Ownership::new("v0", "a", address("v0"));
        view.set_targets(targets("a", 16));
        let other = (id(2), peer("v2", "b", ALIVE));
        view.set_peers(Millis(0), [(id(1), peer("v1", "a", ALIVE)), other.clone()]);
        view.record_announcement(id(1), owned("a", 16), false);
        view.set_peers(Millis(1000), [(id(1), peer("v1", "a", presence)), other]);
        assert_eq!(view.to_acquire(Millis(1000)).len(), 16, "{presence:?}");
    }
}

#[test]
fn an_announcement_before_its_vm_is_known_counts() {
    let mut view = Ownership::new("v0", "a", address("v0"));
    view.set_targets(targets("a", 16));
    view.record_announcement(id(1), owned("a", 16), false);
    view.set_peers(Millis(0), [(id(1), peer("v1", "a", ALIVE))]);
    assert!(view.to_acquire(Millis(60_000)).is_empty());
    assert_eq!(view.owner(Millis(60_000), "a3"), Some(id(1)));
}

#[test]
fn a_new_vm_is_given_time_to_announce_its_targets() {
    let mut view = Ownership::new("v0", "a", address("v0"));
    view.set_targets(targets("a", 16));
    view.set_peers(Millis(1000), [(id(1), peer("v1", "a", ALIVE))]);
    assert!(view.to_acquire(Millis(1010)).is_empty());
    view.record_announcement(id(1), owned("a", 16), false);
    assert!(view.to_acquire(Millis(60_000)).is_empty());
}

#[test]
fn targets_of_a_domain_without_vms_are_acquired_after_a_delay() {
    let mut view = Ownership::new("v0", "a", address("v0"));
    view.set_targets(targets("b", 16));
    assert!(view.to_acquire(Millis(1000)).is_empty());
    assert!(view.to_acquire(Millis(2000)).is_empty());
    assert_eq!(view.to_acquire(Millis(2600)).len(), 16);
    assert!(!view.belongs_elsewhere(Millis(2600), "b3"));
    view.set_peers(Millis(3000), [(id(1), peer("v1", "b", ALIVE))]);
    assert!(view.to_acquire(Millis(9000)).is_empty(), "the domain has a VM again");
    assert!(view.belongs_elsewhere(Millis(9000), "b3"));
}

#[test]
fn a_lost_target_is_not_reacquired_at_once() {
    let mut view = Ownership::new("v0", "a", address("v0"));
    view.set_targets(targets("a", 1));
    let target = Arc::from("a0");
    view.record_acquired(&target);
    view.record_lost(Millis(1000), &target, true);
    assert!(view.to_acquire(Millis(1100)).is_empty());
    assert_eq!(view.to_acquire(Millis(2600)).len(), 1);
}

#[test]
fn a_draining_vm_acquires_nothing_and_is_not_chosen() {
    let mut view = Ownership::new("v0", "a", address("v0"));
    view.set_targets(targets("a", 16));
    view.set_peers(Millis(0), [(id(1), peer("v1", "a", ALIVE))]);
    view.record_announcement(id(1), BTreeSet::new(), true);
    assert_eq!(view.to_acquire(Millis(1000)).len(), 16);
    view.drain();
    assert!(view.to_acquire(Millis(1000)).is_empty());
}

#[test]
fn a_draining_target_is_not_acquired() {
    let mut view = Ownership::new("v0", "a", address("v0"));
    let mut targets = targets("a", 2);
    targets.get_mut("a0").unwrap().acquirable = false;
    view.set_targets(targets);
    assert_eq!(view.to_acquire(Millis(1000)), [Arc::<str>::from("a1")]);
}

/// The view of a VM of domain a that is linked to a second VM of a and to a VM of domain b, which owns the
/// targets of b.
fn view_of_two_domains() -> Ownership {
    let mut view = Ownership::new("v0", "a", address("v0"));
    view.set_targets(targets("b", 16));
    let peers = [(id(1), peer("v1", "b", ALIVE)), (id(2), peer("v2", "a", ALIVE))];
    view.set_peers(Millis(0), peers);
    view.record_announcement(id(1), owned("b", 16), false);
    view
}

#[test]
fn a_partitioned_domain_acquires_no_targets_of_other_domains() {
    let mut view = view_of_two_domains();
    let gone = Presence { registered: false, linked: false, refused: false };
    // Domain a is partitioned from domain b and from the store; the second VM of a is still linked.
    let peers = [(id(1), peer("v1", "b", gone)), (id(2), peer("v2", "a", ALIVE))];
    view.set_peers(Millis(1000), peers);
    view.record_store_status(Millis(1000), false);
    for now in (1000..8000).step_by(250) {
        assert!(view.to_acquire(Millis(now)).is_empty(), "at {now}");
    }
    // The partition ends: the store is up again, but b's registration lapsed and has not been renewed yet.
    view.record_store_status(Millis(8000), true);
    assert!(view.to_acquire(Millis(8000)).is_empty());
    assert!(view.belongs_elsewhere(Millis(8000), "b3"));
    assert!(view.to_acquire(Millis(10_000)).is_empty());
    let back = [(id(1), peer("v1", "b", ALIVE)), (id(2), peer("v2", "a", ALIVE))];
    view.set_peers(Millis(10_100), back);
    assert!(view.to_acquire(Millis(60_000)).is_empty());
}

#[test]
fn an_isolated_vm_acquires_nothing() {
    let mut view = Ownership::new("v0", "a", address("v0"));
    view.set_targets(targets("a", 16));
    view.set_peers(Millis(0), [(id(1), peer("v1", "a", ALIVE))]);
    let unlinked = Presence { registered: true, linked: false, refused: true };
    view.set_peers(Millis(100), [(id(1), peer("v1", "a", unlinked))]);
    assert!(view.to_acquire(Millis(5000)).is_empty(), "the store lists another VM");
    let gone = Presence { registered: false, linked: false, refused: false };
    view.set_peers(Millis(6000), [(id(1), peer("v1", "a", gone))]);
    view.record_store_status(Millis(6000), false);
    assert!(view.to_acquire(Millis(60_000)).is_empty(), "the store is down");
    view.record_store_status(Millis(60_000), true);
    assert_eq!(view.to_acquire(Millis(60_000)).len(), 16);
}

#[test]
fn during_a_store_outage_a_vm_without_a_link_is_soon_considered_gone() {
    let mut view = Ownership::new("v0", "a", address("v0"));
    view.set_targets(targets("a", 16));
    let unlinked = Presence { registered: true, linked: false, refused: false };
    let others = [(id(1), peer("v1", "a", unlinked)), (id(2), peer("v2", "b", ALIVE))];
    view.set_peers(Millis(0), others);
    view.record_announcement(id(1), owned("a", 16), false);
    view.record_store_status(Millis(1000), false);
    assert!(view.to_acquire(Millis(2000)).is_empty());
    assert_eq!(view.to_acquire(Millis(2600)).len(), 16);
}

#[test]
fn after_a_restart_of_all_vms_former_incarnations_delay_nothing() {
    let stale = Presence { registered: true, linked: false, refused: false };
    let mut view = Ownership::new("v0", "a", address("v0"));
    view.set_targets(targets("a", 16));
    // The registrations of the former incarnations of both VMs have not lapsed yet; both VMs are back.
    let incarnations = [
        (id(10), peer("v0", "a", stale)),
        (id(11), peer("v1", "a", stale)),
        (id(1), peer("v1", "a", ALIVE)),
    ];
    view.set_peers(Millis(20), incarnations);
    view.record_announcement(id(1), BTreeSet::new(), false);
    let mut other = Ownership::new("v1", "a", address("v1"));
    other.set_targets(targets("a", 16));
    let incarnations = [
        (id(10), peer("v0", "a", stale)),
        (id(11), peer("v1", "a", stale)),
        (id(0), peer("v0", "a", ALIVE)),
    ];
    other.set_peers(Millis(20), incarnations);
    other.record_announcement(id(0), BTreeSet::new(), false);
    let acquired = view.to_acquire(Millis(30)).len() + other.to_acquire(Millis(30)).len();
    assert_eq!(acquired, 16);
}

/// VMs whose views differ own the same target for a while, which only their announcements show.
#[test]
fn a_target_that_another_vm_announces_too_is_contested_once() {
    let mut views = views(&["v0", "v1"]);
    let view = &mut views[0];
    for target in owned("a", 3) {
        view.record_acquired(&target);
    }
    let announced = owned("a", 5);
    assert_eq!(view.contested(id(1), &announced), Vec::from_iter(owned("a", 3)));
    assert!(view.contested(id(1), &owned("b", 5)).is_empty());
    view.record_announcement(id(1), announced.clone(), false);
    assert!(view.contested(id(1), &announced).is_empty(), "it is reported once");
    let claimant = |target: &str| view.claimant(target).map(|peer| peer.vm.to_string());
    assert_eq!(claimant("a0").as_deref(), Some("v1"));
    assert_eq!(claimant("a9"), None);
}
