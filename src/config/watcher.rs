//! Keeps a VM's configuration in line with the store by one blocking read at a time.

use crate::clock::Millis;
use crate::event;
use crate::store::{Cursor, Index, Store};

use super::fetch;
use super::head::key;
use super::holder::Holder;

/// Follows the head below `prefix` and never returns. Each read waits up to `wait` for a change.
///
/// A response older than the version in force changes nothing. During an outage of the store the version in
/// force stays.
pub async fn watch(holder: &Holder, store: &dyn Store, prefix: &str, wait: Millis) {
    let mut cursor = Cursor::new("config");
    loop {
        let result = poll(holder, store, prefix, cursor.index(), wait).await;
        cursor.advance(result).await;
    }
}

async fn poll(
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
        // The holder logs and counts a refusal. The next change of the head is tried again.
        drop(holder.offer(update));
    }
    Ok(read.index)
}
