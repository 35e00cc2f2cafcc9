//! Keeps a VM's configuration up with the store by one waiting call.

use smol::Timer;

use crate::clock::Millis;
use crate::platform::{Index, Store};

use super::fetch;
use super::head::key;
use super::holder::Holder;

/// The pause after a call that failed or gave an older answer, before jitter.
const PAUSE: Millis = Millis(500);

/// Follows the head below `prefix` for ever. Each call waits up to `wait`.
///
/// An answer older than what is in force changes nothing, and nothing is dropped while the store is out.
pub async fn watch(holder: &Holder, store: &dyn Store, prefix: &str, wait: Millis) {
    let mut index = 0;
    let mut failing = false;
    loop {
        let step = step(holder, store, prefix, index, wait).await;
        let sound = step.is_ok();
        if let (Err(error), false) = (&step, failing) {
            log::warn!("event=config-unreachable reason={:?}", error.to_string());
        }
        if failing && sound {
            log::info!("event=config-reachable version={}", holder.version());
        }
        failing = !sound;
        match step {
            Ok(next) if next >= index => index = next,
            // The store was restarted or answers from an older state: follow it, but not in a tight loop.
            Ok(next) => {
                index = next;
                pause().await;
            }
            Err(_) => {
                index = 0;
                pause().await;
            }
        }
    }
}

async fn pause() {
    let jitter = Millis(fastrand::u64(0..=PAUSE.0));
    Timer::after((PAUSE + jitter).duration()).await;
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
        let (answered, version) = (head.version, known.version);
        log::warn!("event=config-stale answered={answered} in_force={version}");
    }
    if head.version > known.version {
        let update = fetch::update(store, prefix, &head, &known).await?;
        // A refusal is logged and counted there; the next change gets another chance.
        drop(holder.offer(update));
    }
    Ok(read.index)
}
