//! The planned stop of a VM: it ends what is in flight, and leaves a closing record.

use std::io;

use async_signal::{Signal, Signals};
use smol::Timer;
use smol::future::FutureExt as _;
use smol::stream::StreamExt as _;

use crate::clock::Millis;
use crate::event;
use crate::membership::{self, closed};

use super::node::Node;

/// How often a drain looks whether the last job has ended.
const DRAIN_STEP: Millis = Millis(20);

/// The time that the closing record gets even if the drain took all there was.
const CLOSE_MIN: Millis = Millis(2000);

/// Takes the signals to stop. From here on they end nothing by themselves.
pub fn signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int])
}

/// Waits for the signal to stop, then for all that is in flight, and leaves a closing record.
pub async fn run(node: &Node, mut signals: Signals) {
    signals.next().await;
    let begun = node.now();
    event!(info, "drain-begin", unfinished = node.unfinished());
    node.drain();
    let left = || begun + node.settings.drain - node.now();
    within(left(), finish(node)).await;
    event!(info, "drain-end", unfinished = node.unfinished());
    within(left().max(CLOSE_MIN), close(node)).await;
    // Requests that came meanwhile are passed on or refused, and their answers are owed as well.
    within(left(), finish(node)).await;
}

async fn finish(node: &Node) {
    while node.unfinished() > 0 {
        Timer::after(DRAIN_STEP.duration()).await;
    }
}

/// Tells the other VMs, by the store, what became of all keys.
async fn close(node: &Node) {
    let (store, prefix) = (&*node.store, node.settings.store.prefix.as_str());
    closed::write(store, prefix, node.incarnation, &node.closing()).await;
    if let Err(error) = membership::deregister(&node.membership, store, prefix).await {
        event!(warn, "leave-failed", reason = error);
    }
}

async fn within(limit: Millis, work: impl Future<Output = ()>) {
    let late = async {
        Timer::after(limit.duration()).await;
    };
    work.or(late).await;
}
