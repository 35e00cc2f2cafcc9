//! The settings of one VM, read from a YAML file once at startup.

mod check;
mod fault;
pub mod read;
pub mod unit;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::thread;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

pub use self::fault::Fault;
use self::unit::{HttpAddress, Size, Span};
use crate::clock::Millis;

/// A loopback address with a port that the operating system chooses.
const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// All settings of a VM.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The VM's name, unique among the VMs that share a store and prefix.
    pub vm: String,
    /// The VM's failure domain.
    pub domain: String,
    /// The VM's region.
    pub region: String,
    /// The addresses that the VM listens on.
    pub listen: Listen,
    /// The addresses under which others reach the VM.
    pub advertise: Advertise,
    /// The connection to the platform's store.
    pub store: Store,
    /// Peer addresses of other VMs to contact at startup if the store is unavailable.
    pub peers: Vec<SocketAddr>,
    /// The number of worker threads.
    pub threads: usize,
    /// How long a planned stop waits for jobs in flight.
    #[serde_as(as = "Span")]
    pub drain: Millis,
    /// Heartbeats between VMs.
    pub heartbeat: Heartbeat,
    /// The lease of the VM's registration in the store.
    pub lease: Lease,
    /// Limits of callers' connections.
    pub callers: Callers,
    /// Settings of connections to targets.
    pub targets: Targets,
    /// The level and destination of log lines.
    pub log: Log,
    /// The destination of metrics.
    pub metrics: Metrics,
}

/// The addresses that a VM listens on. Port 0 lets the operating system choose a free port.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// For callers' HTTP.
    pub callers: SocketAddr,
    /// For other VMs.
    pub peers: SocketAddr,
}

impl Default for Listen {
    fn default() -> Self {
        Self { callers: LOOPBACK, peers: LOOPBACK }
    }
}

/// The addresses under which others reach a VM. By default those that it listens on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Advertise {
    /// For callers' HTTP.
    pub callers: Option<SocketAddr>,
    /// For other VMs.
    pub peers: Option<SocketAddr>,
}

/// The connection to the platform's store.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Store {
    /// The store's address, written `http://IP:PORT`.
    #[serde(rename = "url")]
    #[serde_as(as = "HttpAddress")]
    pub address: SocketAddr,
    /// The prefix of all of this installation's keys.
    pub prefix: String,
    /// The timeout of a call, except for one that watches a key for changes.
    #[serde_as(as = "Span")]
    pub timeout: Millis,
    /// The name of the platform's VM list, which says which targets are live and which are leaving.
    pub list: String,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            address: LOOPBACK,
            prefix: "gypsumkeel".to_owned(),
            timeout: Millis::from_secs(2),
            list: "targets".to_owned(),
        }
    }
}

/// Heartbeats between VMs.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Heartbeat {
    /// The interval between heartbeats.
    #[serde_as(as = "Span")]
    pub every: Millis,
    /// The timeout: a link on which nothing arrives for this long is closed.
    #[serde_as(as = "Span")]
    pub patience: Millis,
}

impl Default for Heartbeat {
    fn default() -> Self {
        Self { every: Millis(500), patience: Millis::from_secs(2) }
    }
}

/// The lease of the VM's registration in the store.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Lease {
    /// How long the lease lasts without a renewal.
    #[serde_as(as = "Span")]
    pub ttl: Millis,
    /// The interval between renewals.
    #[serde_as(as = "Span")]
    pub renew: Millis,
}

impl Default for Lease {
    fn default() -> Self {
        Self { ttl: Millis::from_secs(15), renew: Millis::from_secs(5) }
    }
}

/// Limits of callers' connections.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Callers {
    /// The maximum number of open connections.
    pub connections_max: usize,
    /// How long the head of a request may take to arrive, and how long a connection may stay idle.
    #[serde_as(as = "Span")]
    pub head_timeout: Millis,
    /// How long the body of a request may take to arrive.
    #[serde_as(as = "Span")]
    pub body_timeout: Millis,
    /// The memory for requests that are not answered yet. When it is used up, callers that make no progress are
    /// disconnected, and further requests are refused.
    #[serde_as(as = "Size")]
    pub memory_max: u64,
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            connections_max: 4096,
            head_timeout: Millis::from_secs(10),
            body_timeout: Millis::from_secs(10),
            memory_max: 256 << 20,
        }
    }
}

/// Settings of connections to targets.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Targets {
    /// How long opening a connection may take.
    #[serde_as(as = "Span")]
    pub connect_timeout: Millis,
    /// A connection that has been idle for this long is probed before a task is sent on it.
    #[serde_as(as = "Span")]
    pub prove_after: Millis,
}

impl Default for Targets {
    fn default() -> Self {
        Self { connect_timeout: Millis::from_secs(1), prove_after: Millis::from_secs(5) }
    }
}

/// The level and destination of log lines.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// The least severe level that is logged.
    pub level: Level,
    /// The file that log lines are appended to; standard error if there is none.
    pub file: Option<PathBuf>,
}

/// The severity of an event.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Logs nothing.
    Off,
    /// A failure.
    Error,
    /// A condition that an operator should look into.
    Warn,
    /// Information for operators.
    #[default]
    Info,
    /// Information for developers.
    Debug,
    /// Every event.
    Trace,
}

/// The destination of metrics.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Metrics {
    /// The address of the StatsD server; no metrics are sent if there is none.
    pub statsd: Option<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Self {
        let threads = thread::available_parallelism().map_or(1, usize::from);
        Self {
            vm: String::new(),
            domain: String::new(),
            region: String::new(),
            listen: Listen::default(),
            advertise: Advertise::default(),
            store: Store::default(),
            peers: Vec::new(),
            threads,
            drain: Millis::from_secs(30),
            heartbeat: Heartbeat::default(),
            lease: Lease::default(),
            callers: Callers::default(),
            targets: Targets::default(),
            log: Log::default(),
            metrics: Metrics::default(),
        }
    }
}

impl Settings {
    /// Parses and checks the text of a settings file. On failure returns every fault in it.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let root = read::parse(text).map_err(|fault| vec![fault])?;
        let (settings, mut faults) = read::typed::<Self>(&root);
        faults.extend(check::missing_fields(&root));
        if let Some(settings) = &settings {
            let violations = check::violations(settings).into_iter();
            let new =
                violations.filter(|fault| faults.iter().all(|known| known.path != fault.path));
            faults.extend(new.collect::<Vec<_>>());
        }
        settings.filter(|_| faults.is_empty()).ok_or(faults)
    }

    /// Returns the settings of `gypsumkeel dev`, whose store is in memory: the store's address isn't used.
    pub fn for_dev() -> Self {
        Self {
            vm: "dev".to_owned(),
            domain: "dev".to_owned(),
            region: "dev".to_owned(),
            ..Self::default()
        }
    }
}
