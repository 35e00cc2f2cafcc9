//! The settings of one VM: what differs from VM to VM, read once at the start.

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
use self::unit::{HttpAddress, Span};
use crate::clock::Millis;

/// An address on the loopback interface whose port is chosen by the system.
const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// All settings of a VM.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The VM's name, unique among all that use the same store and prefix.
    pub vm: String,
    /// The failure domain it stands in.
    pub domain: String,
    /// The region it stands in.
    pub region: String,
    /// Where it listens.
    pub listen: Listen,
    /// Under which addresses others reach it.
    pub advertise: Advertise,
    /// The platform's store.
    pub store: Store,
    /// VMs to ask first, for a start while the store is out.
    pub peers: Vec<SocketAddr>,
    /// The number of threads that serve.
    pub threads: usize,
    /// The longest that a planned stop waits for jobs in flight.
    #[serde_as(as = "Span")]
    pub drain: Millis,
    /// Proofs of life between VMs.
    pub heartbeat: Heartbeat,
    /// The VM's registration in the store.
    pub lease: Lease,
    /// Bounds for callers' connections.
    pub callers: Callers,
    /// Connections to targets.
    pub targets: Targets,
    /// Where log lines go.
    pub log: Log,
    /// Where metrics go.
    pub metrics: Metrics,
}

/// Where a VM listens. Port 0 takes a free one.
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

/// Under which addresses others reach a VM; the bound ones where none is given.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Advertise {
    /// For callers' HTTP.
    pub callers: Option<SocketAddr>,
    /// For other VMs.
    pub peers: Option<SocketAddr>,
}

/// The platform's store.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Store {
    /// Where it listens, written `http://IP:PORT`.
    #[serde(rename = "url")]
    #[serde_as(as = "HttpAddress")]
    pub address: SocketAddr,
    /// What all keys of this installation start with.
    pub prefix: String,
    /// How long to wait for the answer to a call that does not watch.
    #[serde_as(as = "Span")]
    pub timeout: Millis,
    /// The name of the platform's VM list that tells which targets are live and leaving.
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

/// Proofs of life between VMs.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Heartbeat {
    /// The pause between two heartbeats.
    #[serde_as(as = "Span")]
    pub every: Millis,
    /// The silence after which a link is given up.
    #[serde_as(as = "Span")]
    pub patience: Millis,
}

impl Default for Heartbeat {
    fn default() -> Self {
        Self { every: Millis(500), patience: Millis::from_secs(2) }
    }
}

/// The VM's registration in the store.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Lease {
    /// How long it lasts without a renewal.
    #[serde_as(as = "Span")]
    pub ttl: Millis,
    /// The pause between two renewals.
    #[serde_as(as = "Span")]
    pub renew: Millis,
}

impl Default for Lease {
    fn default() -> Self {
        Self { ttl: Millis::from_secs(15), renew: Millis::from_secs(5) }
    }
}

/// Bounds for callers' connections.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Callers {
    /// The most connections at once.
    pub connections_max: usize,
    /// The longest that the head of a request may take to arrive, and an idle connection may stay.
    #[serde_as(as = "Span")]
    pub head_timeout: Millis,
    /// The longest that the body of a request may take to arrive.
    #[serde_as(as = "Span")]
    pub body_timeout: Millis,
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            connections_max: 4096,
            head_timeout: Millis::from_secs(10),
            body_timeout: Millis::from_secs(10),
        }
    }
}

/// Connections to targets.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Targets {
    /// The longest that opening a connection may take.
    #[serde_as(as = "Span")]
    pub connect_timeout: Millis,
    /// The idle time after which a connection is proved before it gets a task.
    #[serde_as(as = "Span")]
    pub prove_after: Millis,
}

impl Default for Targets {
    fn default() -> Self {
        Self { connect_timeout: Millis::from_secs(1), prove_after: Millis::from_secs(5) }
    }
}

/// Where log lines go.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// The least severe level that is written.
    pub level: Level,
    /// The file to append to; standard error where none is given.
    pub file: Option<PathBuf>,
}

/// How severe an event is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing is written.
    Off,
    /// Something broke.
    Error,
    /// Something needs a look.
    Warn,
    /// What an operator wants to know.
    #[default]
    Info,
    /// What a developer wants to know.
    Debug,
    /// Everything.
    Trace,
}

/// Where metrics go.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Metrics {
    /// The StatsD server; no metrics are sent where none is given.
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
    /// Reads and checks a settings file whole. Gives every fault in it.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let root = read::parse(text).map_err(|fault| vec![fault])?;
        let (settings, mut faults) = read::typed::<Self>(&root);
        faults.extend(check::missing(&root));
        if let Some(settings) = &settings {
            let broken = check::rules(settings).into_iter();
            let new = broken.filter(|fault| faults.iter().all(|known| known.path != fault.path));
            faults.extend(new.collect::<Vec<_>>());
        }
        settings.filter(|_| faults.is_empty()).ok_or(faults)
    }

    /// The settings of the embedded default. Its store is in memory, so the store's address is not used.
    pub fn for_dev() -> Self {
        Self {
            vm: "dev".to_owned(),
            domain: "dev".to_owned(),
            region: "dev".to_owned(),
            ..Self::default()
        }
    }
}
