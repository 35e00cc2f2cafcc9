//! This VM's registration under a lease.

use smol::Timer;
use smol::future::FutureExt as _;

use crate::clock::Millis;
use crate::event;
use crate::settings::Lease;
use crate::store::{Error, Store};

use super::Membership;

/// What the keys of registrations start with.
pub(super) fn key_prefix(prefix: &str) -> String {
    format!("{prefix}/vms/")
}

fn key(membership: &Membership, prefix: &str) -> String {
    format!("{}{}", key_prefix(prefix), membership.incarnation)
}

/// Registers this VM and renews its lease for ever.
///
/// A lease that lapsed, as while the process was paused, is followed by a new one under the same key. Nothing
/// else depends on it: who may start a job's tasks is fixed by its key.
pub async fn keep_lease(membership: &Membership, store: &dyn Store, prefix: &str, lease: Lease) {
    let key = key(membership, prefix);
    let mut session = None;
    let mut failing = false;
    loop {
        let renewed = step(membership, store, &key, lease.ttl, &mut session).await;
        if let Err(error) = &renewed
            && !failing
        {
            event!(warn, "lease-not-renewed", reason = error);
        }
        failing = renewed.is_err();
        let own_changed = membership.own_changed.listen();
        let jitter = Millis(fastrand::u64(0..=lease.renew.0 / 10));
        let due = async {
            Timer::after((lease.renew - jitter).duration()).await;
        };
        due.or(own_changed).await;
    }
}

/// Renews the session, or opens one, and registers if need be. An error leaves the session for the next step.
async fn step(
    membership: &Membership,
    store: &dyn Store,
    key: &str,
    ttl: Millis,
    session: &mut Option<String>,
) -> Result<(), Error> {
    if let Some(id) = session
        && !store.renew_session(id).await?
    {
        event!(warn, "lease-lapsed");
        *session = None;
    }
    let is_new = session.is_none();
    if is_new {
        *session = Some(store.open_session(ttl).await?);
    }
    let Some(id) = session else { return Ok(()) };
    if is_new || !membership.is_registered() {
        let value = serde_json::to_vec(&*membership.own());
        let value = value.expect("a registration has string keys only");
        store.acquire(key, value, id).await?;
    }
    Ok(())
}

/// Takes this VM's registration out of the store at the end of a planned stop.
pub async fn deregister(
    membership: &Membership,
    store: &dyn Store,
    prefix: &str,
) -> Result<(), Error> {
    store.delete(&key(membership, prefix)).await
}
