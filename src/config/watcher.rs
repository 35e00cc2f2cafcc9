//! Keeps a VM's configuration up with the store by one waiting call.

use crate::clock::Millis;
use crate::event;
use crate::store::{Index, Pace, Store};

use super::fetch;
use super::head::key;
use super::holder::Holder;

/// Follows the head below `prefix` for ever. Each call waits up to `wait`.
///
/// An answer older than what is in force changes nothing, and nothing is dropped while the store is out.
pub async fn watch(holder: &Holder, store: &dyn Store, prefix: &str, wait: Millis) {
    let mut pace = Pace::new("config");
    loop {
        let given = step(holder, store, prefix, pace.index(), wait).await;
        pace.settle(given).await;
    }
}

async fn step(
    holder: &Holder,
    store: &dyn Store,
    prefix: &str,
    index: Index,
    wait: Millis,
) -> Result<Index, fetch::Error> {
    let read = store.watch(&key::head(prefix), index, wait).await?;
    if read.index == index {
        return Ok(index);
    }
    let head = fetch::parse_head(read.value.as_ref())?;
    let known = holder.snapshot();
    if head.version < known.version {
        holder.count_stale();
        event!(warn, "config-stale", answered = head.version, in_force = known.version);
    }
    if head.version > known.version {
        let update = fetch::update(store, prefix, &head, &known).await?;
        // A refusal is logged and counted there; the next change gets another chance.
        drop(holder.offer(update));
    }
    Ok(read.index)
}
