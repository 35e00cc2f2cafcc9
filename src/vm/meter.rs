//! The metrics page of a VM.

use crate::logs;
use crate::metrics::{Counter, Gauge};

use super::node::Node;

impl Node {
    /// All metrics as text, one per line.
    pub fn metrics_text(&self) -> String {
        self.update_gauges();
        self.update_counters();
        self.metrics.text()
    }

    fn update_gauges(&self) {
        let now = self.now();
        let (load, capacity, owned, waiting, evacuated) = {
            let core = self.lock();
            let (engine, evacuated) = (&core.engine, core.evacuation.domains.len());
            let owned = engine.owned().count();
            (engine.load(now), engine.capacity(now), owned, engine.waiting(), evacuated)
        };
        for (gauge, level) in [
            (Gauge::TargetsOwned, owned as u64),
            (Gauge::CpuFree, capacity.free),
            (Gauge::CpuUsed, capacity.used),
            (Gauge::CpuEjected, capacity.ejected),
            (Gauge::CpuUnsynced, capacity.unsynced),
            (Gauge::CpuDraining, capacity.draining),
            (Gauge::CpuEvacuated, capacity.evacuated),
            (Gauge::DomainsEvacuated, evacuated as u64),
            (Gauge::TargetsAge, self.age(&self.targets_read_at).0),
            (Gauge::RoutesAge, self.age(&self.routes_applied_at).0),
            (Gauge::RoutesReadAge, self.age(&self.routes_read_at).0),
            (Gauge::Backlog, load.backlog.0),
            (Gauge::BatchesWaiting, waiting as u64),
            (Gauge::PeersLinked, self.links.up().len() as u64),
            (Gauge::RequestsBusy, self.traffic.busy() as u64),
            (Gauge::ConnectionsOpen, self.traffic.open() as u64),
            (Gauge::HeldBytes, self.traffic.holdings().bytes()),
            (Gauge::Draining, u64::from(self.is_draining())),
        ] {
            self.metrics.set(gauge, level);
        }
    }

    fn update_counters(&self) {
        let calls = self.store.calls();
        let leases = self.lock().engine.leases();
        let volume = self.links.volume();
        for (counter, total) in [
            (Counter::StoreReads, calls.reads),
            (Counter::StoreWrites, calls.writes),
            (Counter::StoreWatches, calls.watches),
            (Counter::StoreUnanswered, calls.unanswered),
            (Counter::StoreRefused, calls.refused),
            (Counter::LeasesLate, leases.late),
            (Counter::LeasesLapsed, leases.lapsed),
            (Counter::LinesOmitted, logs::omitted()),
            (Counter::CallersEvicted, self.traffic.holdings().evicted()),
            (Counter::PeerControlFrames, volume.control_frames),
            (Counter::PeerControlBytes, volume.control_bytes),
            (Counter::PeerJobFrames, volume.job_frames),
            (Counter::PeerJobBytes, volume.job_bytes),
        ] {
            self.metrics.raise(counter, total);
        }
    }
}
