//! Keeps this VM registered under a lease.

use smol::Timer;
use smol::future::FutureExt as _;

use crate::clock::Millis;
use crate::event;
use crate::settings::Lease;
use crate::store::{Error, Store};

use super::Membership;

/// The prefix of all registrations' keys.
pub(super) fn key_prefix(prefix: &str) -> String {
    format!("{prefix}/vms/")
}

fn key(membership: &Membership, prefix: &str) -> String {
    format!("{}{}", key_prefix(prefix), membership.incarnation)
}

/// Registers this VM, renews its lease and never returns.
///
/// When the lease has lapsed, for example while the process was paused, a new one is opened under the same key.
/// This is safe: which process may start a job's tasks is fixed by the job's key, not by the lease.
pub async fn keep_lease(membership: &Membership, store: &dyn Store, prefix: &str, lease: Lease) {
    let key = key(membership, prefix);
    let mut session = None;
    let mut failing = false;
    loop {
        let renewed = renew(membership, store, &key, lease.ttl, &mut session).await;
        if let Err(error) = &renewed
            && !failing
        {
            event!(warn, "lease-not-renewed", reason = error);
        }
        failing = renewed.is_err();
        let local_changed = membership.local_changed.listen();
        let jitter = Millis(fastrand::u64(0..=lease.renew.0 / 10));
        let due = async {
            Timer::after((lease.renew - jitter).duration()).await;
        };
        due.or(local_changed).await;
    }
}

/// Renews or opens the session, and registers this VM if needed. After an error the next call goes on with the
/// same session.
async fn renew(
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
        let value = serde_json::to_vec(&*membership.local());
        let value = value.expect("a registration has string keys only");
        store.acquire(key, value, id).await?;
    }
    Ok(())
}

/// Deletes this VM's registration from the store at the end of a planned stop.
pub async fn deregister(
    membership: &Membership,
    store: &dyn Store,
    prefix: &str,
) -> Result<(), Error> {
    store.delete(&key(membership, prefix)).await
}
