//! Copies the counters of a VM's parts into its metrics.

use std::io;
use std::sync::Arc;

use crate::clock::Millis;
use crate::job::{Execution, Outcome};
use crate::metrics::{Counter, Gauge, Metrics, Reporter, Timer};

use super::Node;

/// Starts reporting the VM's metrics to StatsD, if its settings have an address for it.
pub fn start(node: &Arc<Node>) -> io::Result<Option<Reporter>> {
    let Some(statsd) = node.settings.metrics.statsd else { return Ok(None) };
    let metrics = Arc::clone(&node.metrics);
    let refreshed = Arc::clone(node);
    let refresh = move |metrics: &Metrics| refresh(&refreshed, metrics);
    Reporter::start(metrics, statsd, &node.settings.vm, refresh).map(Some)
}

/// Records the outcome of a submission, `time` after its arrival.
pub fn record_submission(metrics: &Metrics, outcome: &Outcome, time: Millis) {
    metrics.time(Timer::JobTime, time);
    metrics.count(match outcome {
        Outcome::Complete(_) => Counter::JobsComplete,
        Outcome::Failed(failure) if failure.execution == Execution::NotRun => Counter::JobsRefused,
        Outcome::Failed(_) => Counter::JobsFailed,
    });
}

/// Brings the metrics up to date before a report.
fn refresh(node: &Node, metrics: &Metrics) {
    let (tasks, keys) = {
        let core = node.lock();
        (core.engine().counts(), core.table().len())
    };
    let (store, config, volume) = (node.store.calls(), node.holder.counts(), node.links.volume());
    for (counter, total) in [
        (Counter::QueueRefused, tasks.refused),
        (Counter::TasksStarted, tasks.first_attempts),
        (Counter::FurtherAttempts, tasks.further_attempts),
        (Counter::TasksHedged, tasks.hedges),
        (Counter::TasksDelegated, tasks.delegated),
        (Counter::TasksAccepted, tasks.accepted),
        (Counter::TasksFull, tasks.full),
        (Counter::TasksUnsent, tasks.unsent),
        (Counter::TasksFailed, tasks.failed),
        (Counter::TasksLost, tasks.lost),
        (Counter::TasksWasted, tasks.wasted),
        (Counter::TrialAttempts, tasks.trials),
        (Counter::SlotMessages, tasks.slot_messages),
        (Counter::PeerControlFrames, volume.control_frames),
        (Counter::PeerControlBytes, volume.control_bytes),
        (Counter::PeerJobFrames, volume.job_frames),
        (Counter::PeerJobBytes, volume.job_bytes),
        (Counter::StoreReads, store.reads),
        (Counter::StoreWrites, store.writes),
        (Counter::StoreWatches, store.watches),
        (Counter::ConfigApplied, config.applied),
        (Counter::ConfigStale, config.stale),
        (Counter::ConfigRefused, config.refused),
    ] {
        metrics.raise(counter, total);
    }
    for (gauge, level) in [
        (Gauge::JobsRunning, tasks.jobs),
        (Gauge::TasksWaiting, tasks.waiting),
        (Gauge::TasksOpen, tasks.open),
        (Gauge::TargetsEjected, tasks.ejected),
        (Gauge::KeysHeld, keys as u64),
        (Gauge::ConnectionsOpen, node.traffic.open() as u64),
        (Gauge::HeldBytes, node.traffic.holdings().bytes()),
        (Gauge::RequestsBusy, node.traffic.busy() as u64),
        (Gauge::PeersLinked, node.links.up().len() as u64),
        (Gauge::ConfigVersion, node.holder.version()),
        (Gauge::Draining, node.is_draining().into()),
    ] {
        metrics.set(gauge, level);
    }
}
