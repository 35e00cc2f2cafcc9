//! The planned stop: callers are sent elsewhere, targets are handed over, and what is in flight ends.

use std::sync::Arc;

use async_signal::Signals;
use smol::Timer;
use smol::stream::StreamExt as _;

use crate::clock::Millis;
use crate::event;
use crate::membership;

use super::node::Node;

/// How often a stop looks whether all is done.
const STEP: Millis = Millis(20);

/// The time that taking the registration out of the store may take.
const LEAVE_MAX: Millis = Millis(300);

/// Waits for the signal to stop, and until everything has ended or time is up.
pub(super) async fn run(node: &Arc<Node>, mut signals: Signals) {
    signals.next().await;
    let begun = node.now();
    event!(info, "drain-begin", unfinished = node.unfinished(), requests = node.traffic.busy());
    node.drain();
    loop {
        let spent = node.now() - begun;
        let is_idle = node.traffic.busy() == 0 && node.unfinished() == 0 && node.links.owed() == 0;
        if spent >= node.settings.stop_max || (is_idle && spent >= node.settings.stop_min) {
            break;
        }
        Timer::after(STEP.duration()).await;
    }
    event!(info, "drain-end", unfinished = node.unfinished(), requests = node.traffic.busy());
    let leave = async {
        let left = membership::leave(&node.membership, &*node.store, &node.settings.prefix).await;
        if let Err(error) = left {
            event!(warn, "leave-failed", reason = error);
        }
    };
    let late = async {
        Timer::after(LEAVE_MAX.duration()).await;
    };
    smol::future::or(leave, late).await;
    event!(info, "stopped", after = node.now() - begun);
}
