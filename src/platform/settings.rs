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
use crate::peer;
use crate::schedule::Rules;
use crate::settings::Lease;
use crate::vm;

/// The variable that holds the path of the file.
const VARIABLE: &str = "GYPSUMKEEL_SETTINGS";

/// The port for metrics, as deploy/system.toml names it.
const METRICS_PORT: u16 = 9100;

/// What all keys of this system in the store start with.
const PREFIX: &str = "gypsumkeel";

/// How often links prove that they live.
const HEARTBEAT: Millis = Millis(200);

/// How long a link may be silent. A job that is sent anew 1,300 ms after its connection broke must not meet
/// the runs of before: this, a stop and a lapsed lease stay below that.
const LINK_PATIENCE: Millis = Millis(600);

/// The lease of a registration. Others take over the targets of a VM when it lapses.
const LEASE_TTL: Millis = Millis(1200);

/// How often the registration is renewed.
const LEASE_RENEW: Millis = Millis(350);

/// How long a worker that left the store's list is used while it answers: it is back within two seconds of the
/// store's own return, or gone.
const UNLISTED_MAX: Millis = Millis(2500);

/// How long callers may still be sent to a VM that says that it is not ready: two checks, a second apart.
const READY_LAG: Millis = Millis(2300);

/// The shortest longest lease with which this system can renew: a hold waits up to 500 ms.
const HOLD_MAX_MIN: Millis = Millis(800);

/// What a planned stop leaves of the platform's grace for the end of the process itself.
const STOP_MARGIN: Millis = Millis(500);

/// The fields of the file that this system uses; others are ignored.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Settings {
    /// The VM's name.
    pub node: String,
    /// Its address.
    pub ip: IpAddr,
    /// Its failure domain.
    pub zone: String,
    /// Its region.
    #[serde(default)]
    pub region: String,
    /// All failure domains, each with its region.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Where it listens.
    pub listen: Listen,
    /// The first and the last port for talk between VMs.
    pub port_range: (u16, u16),
    /// Addresses at which some VMs may take links.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// What the VM may use.
    #[serde(default)]
    pub limits: Limits,
    /// The limits that the platform keeps.
    pub bounds: Bounds,
    /// The platform's store.
    pub platform: Store,
    /// How workers take orders; only calls are known here.
    #[serde(default = "call")]
    pub orders: String,
}

/// Where a VM listens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Listen {
    /// For callers.
    pub front: SocketAddr,
    /// For the platform's question whether it is ready.
    pub ready: SocketAddr,
    /// For other VMs, where the role serves it.
    pub control: Option<SocketAddr>,
}

/// What the VM may use.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Limits {
    /// A share of a core; 0 where the file has none.
    #[serde(default)]
    pub cpu_share: f64,
    /// How many times as fast as usual that core is.
    #[serde(default)]
    pub cores: f64,
}

/// The limits that the platform keeps.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Bounds {
    /// The longest lease that a worker grants, in milliseconds.
    pub hold_max_ms: Millis,
    /// How much longer a task lasts away from its data.
    pub far_x: f64,
    /// The seconds between the signal to stop and the kill.
    pub grace_s: f64,
}

/// The platform's store.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Store {
    /// Its address.
    pub addr: SocketAddr,
}

fn call() -> String {
    "call".to_owned()
}

/// Why the file can't be used.
#[derive(Debug)]
pub enum Fault {
    /// The variable that names it is not set.
    Unset,
    /// It can't be read.
    Unread(PathBuf, io::Error),
    /// It is not what this system expects.
    Invalid {
        /// Where in the file.
        path: String,
        /// What is wrong.
        reason: String,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unset => write!(f, "{VARIABLE} is not set; let it name the settings file"),
            Self::Unread(path, error) => {
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
    /// Reads the file that the platform names.
    pub fn load() -> Result<Self, Vec<Fault>> {
        let path = env::var_os(VARIABLE).map(PathBuf::from).ok_or_else(|| vec![Fault::Unset])?;
        let text = fs::read_to_string(&path).map_err(|error| vec![Fault::Unread(path, error)])?;
        Self::parse(&text)
    }

    /// Whether a text looks like such a file, right or wrong.
    pub fn recognizes(text: &str) -> bool {
        let file = serde_json::from_str::<serde_json::Value>(text).unwrap_or_default();
        file.get("node").is_some() && file.get("portRange").is_some()
    }

    /// Reads the text of a file.
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
            (self.node.is_empty(), "node", "is empty, but VMs are told apart by it"),
            (self.orders != "call", "orders", "is not \"call\", the only way that is built"),
            (
                self.bounds.hold_max_ms < HOLD_MAX_MIN,
                "bounds.holdMaxMs",
                "is under 800, too short to renew leases",
            ),
            (
                self.bounds.far_x.is_nan() || self.bounds.far_x < 1.0,
                "bounds.farX",
                "is under 1, but nothing is faster away from its data",
            ),
            (range.0 == 0 || range.0 > range.1, "portRange", "is not a first and a last port"),
        ];
        let broken = rules.into_iter().filter(|(is_broken, ..)| *is_broken);
        let fault = |path: &str, reason: &str| Fault::Invalid {
            path: path.to_owned(),
            reason: reason.to_owned(),
        };
        broken.map(|(_, path, reason)| fault(path, reason)).collect()
    }

    /// Where metrics are served.
    pub const fn metrics(&self) -> SocketAddr {
        SocketAddr::new(self.ip, METRICS_PORT)
    }

    /// The same in the product's own terms.
    pub fn vm(&self) -> vm::Settings {
        let grace = Millis((self.bounds.grace_s * 1000.0) as u64);
        let peers = SocketAddr::new(self.ip, self.port_range.0);
        vm::Settings {
            vm: self.node.clone(),
            domain: self.zone.clone(),
            region: self.region.clone(),
            peers: self.listen.control.unwrap_or(peers),
            callers: self.listen.front,
            cpu: (self.limits.cpu_share * self.limits.cores * 1000.0) as u32,
            seeds: self.seeds.clone(),
            prefix: PREFIX.to_owned(),
            lease: Lease { ttl: LEASE_TTL, renew: LEASE_RENEW },
            heartbeat: peer::Rules { every: HEARTBEAT, patience: LINK_PATIENCE },
            rules: Rules {
                lease_max: self.bounds.hold_max_ms,
                far_factor: self.bounds.far_x,
                unlisted_max: UNLISTED_MAX,
            },
            stop_min: READY_LAG.min(grace - STOP_MARGIN),
            stop_max: grace - STOP_MARGIN,
            metrics: self.metrics(),
        }
    }
}
