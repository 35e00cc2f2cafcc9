//! Signals and the graceful stop, which drains the VM: callers go elsewhere, targets are released, and the batches in
//! flight end.

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
use super::settings::Settings;

/// The interval between two checks whether the drain is complete.
const CHECK_EVERY: Millis = Millis(20);

/// The time limit for removing the registration from the store.
const DEREGISTER_TIMEOUT: Millis = Millis(300);

/// Installs handlers for the signals to stop and to reload the settings, which then no longer end the process.
pub(super) fn signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Waits for the signal to stop, then drains the VM until nothing is in flight or the time is up.
pub(super) async fn run(node: &Arc<Node>, mut signals: Signals) {
    loop {
        match signals.next().await {
            Some(Ok(Signal::Hup)) => reload(node),
            Some(Err(error)) => event!(warn, "signal-unread", reason = error),
            Some(Ok(_)) | None => break,
        }
    }
    let began_at = node.now();
    // The settings may have changed without a signal, and with them the time until the kill.
    let (drain_min, drain_max) = load_settings(node).map_or_else(
        || (node.settings.drain_min, node.settings.drain_max),
        |settings| (settings.drain_min, settings.drain_max),
    );
    event!(info, "drain-begin", unfinished = node.unfinished(), requests = node.traffic.busy());
    node.drain();
    loop {
        let elapsed = node.now() - began_at;
        if elapsed >= drain_min {
            node.traffic.close_idle();
        }
        let is_idle =
            node.traffic.busy() == 0 && node.unfinished() == 0 && node.links.unsent_replies() == 0;
        if elapsed >= drain_max || (is_idle && elapsed >= drain_min) {
            break;
        }
        Timer::after(CHECK_EVERY.duration()).await;
    }
    event!(info, "drain-end", unfinished = node.unfinished(), requests = node.traffic.busy());
    let deregister = async {
        let result =
            membership::deregister(&node.membership, &*node.store, &node.settings.prefix).await;
        if let Err(error) = result {
            event!(warn, "leave-failed", reason = error);
        }
    };
    let timeout = async {
        Timer::after(DEREGISTER_TIMEOUT.duration()).await;
    };
    smol::future::or(deregister, timeout).await;
    event!(info, "stopped", after = node.now() - began_at);
}

/// Reads the settings again and applies what can change at run time: seeds and rules. The log says whether other
/// changes need a restart.
fn reload(node: &Arc<Node>) {
    let Some(settings) = load_settings(node) else { return };
    let current = &node.settings;
    let needs_restart = (settings.peers, settings.callers, &settings.vm)
        != (current.peers, current.callers, &current.vm);
    event!(info, "reloaded", seeds = settings.seeds.len(), needs_restart = needs_restart);
    let handler = Arc::clone(node) as Arc<dyn Handler>;
    for &address in &settings.seeds {
        node.links.connect(address, &handler);
    }
    node.handle(Event::Rules(settings.rules));
}

/// Reads the settings again; logs why if they can't be read.
fn load_settings(node: &Node) -> Option<Settings> {
    let settings = node.adapter.load_settings();
    if let Err(reason) = &settings {
        event!(warn, "reload-refused", reason = reason);
    }
    settings.ok()
}
