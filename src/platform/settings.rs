//! The settings file that the platform writes for each process.

use std::collections::BTreeMap;
use std::env;
use std::fmt;
use std::fs;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use serde::Deserialize;

use crate::clock::Millis;
use crate::ownership::Quota;
use crate::peer;
use crate::schedule::Rules;
use crate::settings::Lease;
use crate::vm;

/// The environment variable that holds the path of the file.
const VARIABLE: &str = "GYPSUMKEEL_SETTINGS";

/// The port for metrics and status; deploy/system.toml names the same one.
const METRICS_PORT: u16 = 9100;

/// The prefix of all keys that this system writes to the store.
const PREFIX: &str = "gypsumkeel";

/// The interval between heartbeats on a link to another VM.
const HEARTBEAT: Millis = Millis(200);

/// A link on which nothing arrives for this long is closed. A caller whose connection broke sends its job again
/// after 1,300 ms; by then the former attempts must have ended, so this time, a stop and the lapse of a lease take
/// less in total.
const LINK_TIMEOUT: Millis = Millis(600);

/// The lease of a VM's registration. When it lapses, other VMs take over its targets.
const LEASE_TTL: Millis = Millis(1200);

/// The interval between renewals of the registration.
const LEASE_RENEW_EVERY: Millis = Millis(350);

/// How long a worker that is missing from the store's list is still used while it responds. After an outage of the
/// store a live worker is listed again within two seconds.
const UNLISTED_MAX: Millis = Millis(2500);

/// How long the platform may still send callers to a VM that is not ready: it takes two readiness checks, a second
/// apart.
const READY_LAG: Millis = Millis(2300);

/// The bandwidth that is allowed for the calls and polls of one target, in Mbit/s.
const LINK_PER_TARGET_MBPS: f64 = 0.25;

/// The least `lease_max` that allows leases to be renewed in time, since a long poll waits up to 500 ms.
const LEASE_MAX_MIN: Millis = Millis(800);

/// The part of the memory that callers may hold: a quarter.
const CALLERS_MEMORY_PART: u64 = 4;

/// The bytes that callers may hold if the file doesn't tell the memory.
const CALLERS_BYTES: u64 = 64 << 20;

/// The descriptors that the platform reserves for files.
const RESERVED_DESCRIPTORS: usize = 200;

/// The least number of connections that a server accepts, whatever the limit of descriptors.
const CONNECTIONS_MIN: usize = 16;

/// The most open connections of a server.
const CONNECTIONS_MAX: usize = 2000;

/// The part of the platform's grace period that a drain leaves for the exit of the process.
const STOP_MARGIN: Millis = Millis(500);

/// The fields of the file that this system uses; others are ignored.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Settings {
    /// The VM's name.
    #[serde(rename = "node")]
    pub vm: String,
    /// The VM's address.
    pub ip: IpAddr,
    /// The VM's failure domain.
    #[serde(rename = "zone")]
    pub domain: String,
    /// The VM's region.
    #[serde(default)]
    pub region: String,
    /// All failure domains, each with its region.
    #[serde(default, rename = "zones")]
    pub domains: BTreeMap<String, String>,
    /// The addresses that the VM listens on.
    pub listen: Listen,
    /// The first and the last port for connections between VMs.
    pub port_range: (u16, u16),
    /// Addresses at which other VMs may accept links.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The processor time and the bandwidth that the VM may use.
    #[serde(default)]
    pub limits: Limits,
    /// The limits that the platform enforces.
    pub bounds: Bounds,
    /// The platform's store.
    pub platform: Store,
    /// How workers get their tasks: `call`, the only supported way, is by HTTP calls.
    #[serde(default = "call")]
    pub orders: String,
}

/// The addresses that a VM listens on.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Listen {
    /// For callers.
    #[serde(rename = "front")]
    pub callers: SocketAddr,
    /// For the platform's readiness check.
    pub ready: SocketAddr,
    /// For other VMs; the first port of the range if the VM's role has no address for it.
    #[serde(rename = "control")]
    pub peers: Option<SocketAddr>,
}

/// The processor time and the bandwidth that a VM may use. The processor time is `cpu_share` times `cores`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Limits {
    /// The share of a core; 0 if the file has none.
    #[serde(default)]
    pub cpu_share: f64,
    /// The speed of that core as a multiple of the usual one, not a number of cores.
    #[serde(default)]
    pub cores: f64,
    /// The bandwidth of the VM's link in Mbit/s; 0 if the file has none.
    #[serde(default)]
    pub link_mbps: f64,
    /// The memory in megabytes; 0 if the file has none.
    #[serde(default)]
    pub memory_mb: u64,
    /// The number of file descriptors; 0 if the file has none.
    #[serde(default)]
    pub max_fds: usize,
}

impl Limits {
    /// How many targets a VM with this link may own.
    fn quota(&self) -> Quota {
        if self.link_mbps > 0.0 {
            Quota::from((self.link_mbps / LINK_PER_TARGET_MBPS) as u32)
        } else {
            Quota::default()
        }
    }

    /// What callers may hold. Half of the descriptors that sockets may use are left to links, the store and targets.
    fn callers(&self) -> vm::Callers {
        let bytes = (self.memory_mb << 20) / CALLERS_MEMORY_PART;
        let sockets = self.max_fds.saturating_sub(RESERVED_DESCRIPTORS);
        let connections = if self.max_fds > 0 { sockets / 2 } else { CONNECTIONS_MAX };
        let door = if self.max_fds > 0 { sockets / 16 } else { CONNECTIONS_MAX };
        vm::Callers {
            bytes: if bytes > 0 { bytes } else { CALLERS_BYTES },
            connections: connections.clamp(CONNECTIONS_MIN, CONNECTIONS_MAX),
            other_connections: door.clamp(CONNECTIONS_MIN, CONNECTIONS_MAX),
        }
    }
}

/// The limits that the platform enforces.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Bounds {
    /// The longest lease that a worker grants.
    #[serde(rename = "holdMaxMs")]
    pub lease_max: Millis,
    /// The factor by which a task takes longer on another rack than that of its data.
    #[serde(rename = "farX")]
    pub far_factor: f64,
    /// The seconds between the signal to stop and the kill.
    pub grace_s: f64,
}

/// The platform's store.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Store {
    /// The store's address.
    #[serde(rename = "addr")]
    pub address: SocketAddr,
}

fn call() -> String {
    "call".to_owned()
}

/// A fault in the settings file.
#[derive(Debug)]
pub enum Fault {
    /// The environment variable with its path is not set.
    Unset,
    /// The file can't be read.
    Unreadable(PathBuf, io::Error),
    /// A field is missing, has another type or breaks a rule.
    Invalid {
        /// The path of the field in the file.
        path: String,
        /// What is wrong with the field.
        reason: String,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unset => write!(f, "{VARIABLE} is not set; let it name the settings file"),
            Self::Unreadable(path, error) => {
                write!(f, "{}: {error}; let {VARIABLE} name a readable file", path.display())
            }
            Self::Invalid { path, reason } => {
                write!(f, "{path}: {reason}; correct the settings file")
            }
        }
    }
}

impl std::error::Error for Fault {}

impl Settings {
    /// Reads the file that the environment variable names.
    pub fn load() -> Result<Self, Vec<Fault>> {
        let path = env::var_os(VARIABLE).map(PathBuf::from).ok_or_else(|| vec![Fault::Unset])?;
        let text =
            fs::read_to_string(&path).map_err(|error| vec![Fault::Unreadable(path, error)])?;
        Self::parse(&text)
    }

    /// Whether a text looks like a settings file of the platform, valid or not.
    pub fn recognizes(text: &str) -> bool {
        let file = serde_json::from_str::<serde_json::Value>(text).unwrap_or_default();
        file.get("node").is_some() && file.get("portRange").is_some()
    }

    /// Decodes the text of a settings file and checks it.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let mut json = serde_json::Deserializer::from_str(text);
        let settings = serde_path_to_error::deserialize::<_, Self>(&mut json).map_err(|error| {
            let (path, reason) = (error.path().to_string(), error.inner().to_string());
            vec![Fault::Invalid { path, reason }]
        })?;
        let faults = settings.faults();
        if faults.is_empty() { Ok(settings) } else { Err(faults) }
    }

    fn faults(&self) -> Vec<Fault> {
        let range = self.port_range;
        let rules = [
            (self.vm.is_empty(), "node", "is empty, but identifies the VM to the others"),
            (self.orders != "call", "orders", "is not \"call\", the only supported value"),
            (
                self.bounds.lease_max < LEASE_MAX_MIN,
                "bounds.holdMaxMs",
                "is under 800, too short to renew leases",
            ),
            (
                self.bounds.far_factor.is_nan() || self.bounds.far_factor < 1.0,
                "bounds.farX",
                "is under 1, but no task runs faster away from its data",
            ),
            (
                range.0 == 0 || range.0 > range.1,
                "portRange",
                "is not the first and the last port of a range",
            ),
        ];
        let broken = rules.into_iter().filter(|(is_broken, ..)| *is_broken);
        let fault = |path: &str, reason: &str| Fault::Invalid {
            path: path.to_owned(),
            reason: reason.to_owned(),
        };
        broken.map(|(_, path, reason)| fault(path, reason)).collect()
    }

    /// The address that serves metrics and status.
    pub const fn metrics(&self) -> SocketAddr {
        SocketAddr::new(self.ip, METRICS_PORT)
    }

    /// The settings of a VM that follow from the file and this module's constants.
    pub fn vm(&self) -> vm::Settings {
        let grace = Millis((self.bounds.grace_s * 1000.0) as u64);
        let peers = SocketAddr::new(self.ip, self.port_range.0);
        vm::Settings {
            vm: self.vm.clone(),
            domain: self.domain.clone(),
            region: self.region.clone(),
            peers: self.listen.peers.unwrap_or(peers),
            callers: self.listen.callers,
            cpu: (self.limits.cpu_share * self.limits.cores * 1000.0) as u32,
            quota: self.limits.quota(),
            seeds: self.seeds.clone(),
            prefix: PREFIX.to_owned(),
            lease: Lease { ttl: LEASE_TTL, renew: LEASE_RENEW_EVERY },
            heartbeat: peer::Rules { interval: HEARTBEAT, timeout: LINK_TIMEOUT },
            rules: Rules {
                lease_max: self.bounds.lease_max,
                far_factor: self.bounds.far_factor,
                unlisted_max: UNLISTED_MAX,
            },
            drain_min: READY_LAG.min(grace - STOP_MARGIN),
            drain_max: grace - STOP_MARGIN,
            metrics: self.metrics(),
            callers_max: self.limits.callers(),
        }
    }
}
