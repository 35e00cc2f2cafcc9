//! The Consul client against the fake store.

mod testenv;

use std::sync::Arc;
use std::time::Duration;

use gypsumkeel::clock::Millis;
use gypsumkeel::store::{Condition, Consul, Error, Store as _, Vm};
use smol::future::FutureExt as _;
use testenv::store::{Rates, Store, TARGETS};

const TIMEOUT: Millis = Millis::from_secs(2);
const WAIT: Millis = Millis::from_secs(30);

fn client(store: &Store) -> Arc<Consul> {
    Arc::new(Consul::new(store.address(), TIMEOUT))
}

#[test]
fn keys_compare_and_swap_and_wake_watches() {
    let store = Store::start();
    let consul = client(&store);
    smol::block_on(async {
        assert_eq!(consul.get("a/x").await.unwrap(), None);
        assert!(consul.put("a/x", b"1".to_vec(), Condition::Absent).await.unwrap());
        assert!(!consul.put("a/x", b"2".to_vec(), Condition::Absent).await.unwrap());
        let read = consul.watch("a/x", 0, WAIT).await.unwrap();
        let entry = read.value.unwrap();
        assert_eq!(entry.value, b"1");
        let watch = consul.watch("a/x", read.index, WAIT);
        let swap = async {
            assert!(consul.put("a/x", b"3".to_vec(), Condition::Unchanged(entry.index)).await?);
            assert!(!consul.put("a/x", b"4".to_vec(), Condition::Unchanged(entry.index)).await?);
            std::future::pending().await
        };
        let changed = watch.or(swap).await.unwrap();
        assert_eq!(changed.value.unwrap().value, b"3");
        let list = consul.list("a/", 0, WAIT).await.unwrap();
        assert_eq!(list.value.len(), 1);
        let watch = consul.list("a/", list.index, WAIT);
        let delete = async {
            consul.delete("a/x").await?;
            std::future::pending().await
        };
        let changed = watch.or(delete).await.unwrap();
        assert!(changed.value.is_empty() && changed.index > list.index);
    });
    assert_eq!(consul.calls().total(), store.seen().total());
    store.close();
}

#[test]
fn an_expired_session_deletes_its_keys() {
    let store = Store::start();
    let consul = client(&store);
    smol::block_on(async {
        let session = consul.open_session(Millis(300)).await.unwrap();
        assert!(consul.acquire("vms/1", b"x".to_vec(), &session).await.unwrap());
        assert!(consul.renew_session(&session).await.unwrap());
        let list = consul.list("vms/", 0, WAIT).await.unwrap();
        let expired = consul.list("vms/", list.index, WAIT).await.unwrap();
        assert!(expired.value.is_empty());
        assert!(!consul.renew_session(&session).await.unwrap());
        let refused = consul.acquire("vms/1", b"x".to_vec(), &session).await;
        assert!(matches!(refused, Err(Error::Refused { status: 500, .. })), "{refused:?}");
    });
    store.close();
}

#[test]
fn the_vm_list_shows_which_vms_are_leaving() {
    let store = Store::start();
    let consul = client(&store);
    store.set_targets(["t1", "t2"]);
    store.set_leaving("t2", true);
    let list = smol::block_on(consul.vms(TARGETS, 0, WAIT)).unwrap();
    let vm = |id: &str, leaving| Vm { id: id.to_owned(), leaving };
    assert_eq!(list.value, [vm("t1", false), vm("t2", true)]);
    store.close();
}

#[test]
fn errors_tell_whether_a_write_may_have_taken_effect() {
    let store = Store::start_with(Rates { writes: 3, reads: 100 });
    let consul = client(&store);
    let put = |value: Vec<u8>| smol::block_on(consul.put("k", value, Condition::Always));
    store.lose_responses("", 1);
    let lost = put(b"1".to_vec()).unwrap_err();
    assert!(lost.may_have_written(), "{lost}");
    assert_eq!(store.memory().peek("k"), Some(b"1".to_vec()));
    let large = put(vec![0; (1 << 20) + 1]).unwrap_err();
    assert!(matches!(large, Error::Refused { status: 413, .. }), "{large}");
    let limited = (0..20).find_map(|_| put(b"2".to_vec()).err()).unwrap();
    assert!(matches!(limited, Error::Refused { status: 429, .. }), "{limited}");
    store.down(true);
    let down = put(b"3".to_vec()).unwrap_err();
    assert_eq!(store.memory().peek("k"), Some(b"2".to_vec()), "{down}");
    store.down(false);
    testenv::wait_until("writes again", Duration::from_secs(10), || put(b"4".to_vec()).is_ok());
    store.close();
}
