//! The planned stop of a VM: it finishes its jobs and writes a closing record.

use std::io;

use async_signal::{Signal, Signals};
use smol::Timer;
use smol::future::FutureExt as _;
use smol::stream::StreamExt as _;

use crate::clock::Millis;
use crate::event;
use crate::membership::{self, closed};

use super::node::Node;

/// The time between two checks of a drain for unfinished work.
const DRAIN_CHECK_INTERVAL: Millis = Millis(20);

/// The least time for writing the closing record, also if the drain has used up its own time.
const CLOSE_TIMEOUT_MIN: Millis = Millis(2000);

/// Subscribes to the signals to stop. From then on they no longer end the process by themselves.
pub fn signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int])
}

/// Waits for a signal to stop, then drains the VM and writes the closing record.
pub async fn run(node: &Node, mut signals: Signals) {
    signals.next().await;
    let began_at = node.now();
    event!(info, "drain-begin", unfinished = node.unfinished());
    node.drain();
    let time_left = || began_at + node.settings.drain - node.now();
    with_timeout(time_left(), wait_until_finished(node)).await;
    event!(info, "drain-end", unfinished = node.unfinished());
    with_timeout(time_left().max(CLOSE_TIMEOUT_MIN), close(node)).await;
    // Requests that arrived in the meantime are forwarded or refused, and their responses have to be sent too.
    with_timeout(time_left(), wait_until_finished(node)).await;
}

async fn wait_until_finished(node: &Node) {
    while node.unfinished() > 0 {
        Timer::after(DRAIN_CHECK_INTERVAL.duration()).await;
    }
}

/// Writes to the store what became of all keys, for the other VMs, and removes the registration.
async fn close(node: &Node) {
    let (store, prefix) = (&*node.store, node.settings.store.prefix.as_str());
    closed::write(store, prefix, node.incarnation, &node.closing()).await;
    if let Err(error) = membership::deregister(&node.membership, store, prefix).await {
        event!(warn, "leave-failed", reason = error);
    }
}

async fn with_timeout(timeout: Millis, work: impl Future<Output = ()>) {
    let expired = async {
        Timer::after(timeout.duration()).await;
    };
    work.or(expired).await;
}
