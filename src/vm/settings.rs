//! The settings of a VM.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::ownership::Quota;
use crate::schedule::Rules;
use crate::settings::Lease;

/// The settings of a VM.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The VM's name.
    pub vm: String,
    /// The VM's failure domain.
    pub domain: String,
    /// The VM's region.
    pub region: String,
    /// The address for other VMs.
    pub peers: SocketAddr,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The processor capacity that the VM may use, in thousandths of a core; 0 if unknown.
    pub cpu: u32,
    /// How many targets the VM may own.
    pub quota: Quota,
    /// Addresses of VMs to link to even if the store is out when this VM starts.
    pub seeds: Vec<SocketAddr>,
    /// The prefix of all keys that gypsumkeel writes to the store.
    pub prefix: String,
    /// The lease of the VM's registration in the store.
    pub lease: Lease,
    /// The heartbeats on links between VMs.
    pub heartbeat: crate::peer::Rules,
    /// The times and factors that the platform sets for targets.
    pub rules: Rules,
    /// The minimum duration of a drain, after which the platform has stopped sending callers.
    pub drain_min: Millis,
    /// The maximum duration of a drain.
    pub drain_max: Millis,
    /// The address for metrics.
    pub metrics: SocketAddr,
    /// What callers may hold.
    pub callers_max: Callers,
}

/// What the callers of a VM may hold.
#[derive(Clone, Copy, Debug)]
pub struct Callers {
    /// The bytes of requests that are not answered yet.
    pub bytes: u64,
    /// The open connections of the server for jobs.
    pub connections: usize,
    /// The open connections of each other server.
    pub other_connections: usize,
}
