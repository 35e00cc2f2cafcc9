//! The planned stop: callers are sent elsewhere, targets are handed over, and what is in flight ends.

use std::io;
use std::sync::Arc;

use async_signal::{Signal, Signals};
use smol::Timer;
use smol::stream::StreamExt as _;

use crate::clock::Millis;
use crate::event;
use crate::membership;
use crate::peer::Handler;
use crate::schedule::Event;

use super::node::Node;

/// How often a stop looks whether all is done.
const STEP: Millis = Millis(20);

/// The time that taking the registration out of the store may take.
const LEAVE_MAX: Millis = Millis(300);

/// Takes the signals to stop and to read the settings again. From here on they end nothing by themselves.
pub(super) fn signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Waits for the signal to stop, and until everything has ended or time is up.
pub(super) async fn run(node: &Arc<Node>, mut signals: Signals) {
    loop {
        match signals.next().await {
            Some(Ok(Signal::Hup)) => reload(node),
            Some(Err(error)) => event!(warn, "signal-unread", reason = error),
            Some(Ok(_)) | None => break,
        }
    }
    let begun = node.now();
    event!(info, "drain-begin", unfinished = node.unfinished(), requests = node.traffic.busy());
    node.drain();
    loop {
        let spent = node.now() - begun;
        if spent >= node.settings.stop_min {
            node.traffic.close_idle();
        }
        let is_idle = node.traffic.busy() == 0 && node.unfinished() == 0 && node.links.owed() == 0;
        if spent >= node.settings.stop_max || (is_idle && spent >= node.settings.stop_min) {
            break;
        }
        Timer::after(STEP.duration()).await;
    }
    event!(info, "drain-end", unfinished = node.unfinished(), requests = node.traffic.busy());
    let leave = async {
        let left =
            membership::deregister(&node.membership, &*node.store, &node.settings.prefix).await;
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

/// Reads the settings again. What can change while a VM runs comes into force; of the rest a line tells.
fn reload(node: &Arc<Node>) {
    let settings = match node.adapter.settings() {
        Ok(settings) => settings,
        Err(reason) => {
            event!(warn, "reload-refused", reason = reason);
            return;
        }
    };
    let was = &node.settings;
    let needs_restart =
        (settings.peers, settings.callers, &settings.vm) != (was.peers, was.callers, &was.vm);
    event!(info, "reloaded", seeds = settings.seeds.len(), needs_restart = needs_restart);
    let handler = Arc::clone(node) as Arc<dyn Handler>;
    for &address in &settings.seeds {
        node.links.know(address, &handler);
    }
    node.handle(Event::Rules(settings.rules));
}
