//! The options of a run, from environment variables.

use std::collections::BTreeSet;
use std::env;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

/// What disturbs a run; see CONTRIBUTING.md.
pub const FAULTS: [&str; 16] = [
    "freeze", "domain", "kill", "term", "burst", "big", "storm", "down", "slow", "lost", "silent",
    "crash", "drain", "leave", "reset", "evacuate",
];

/// The options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// `GYPSUMKEEL_FLEET_VMS`: how many VMs, in three failure domains.
    pub vms: usize,
    /// `GYPSUMKEEL_FLEET_WORKERS`: how many workers.
    pub workers: usize,
    /// `GYPSUMKEEL_FLEET_JOBS`: how many jobs a second.
    pub jobs: f64,
    /// `GYPSUMKEEL_FLEET_SECONDS`: how long the traffic lasts.
    pub length: Duration,
    /// `GYPSUMKEEL_FLEET_LEAD`: seconds from the start of the VMs to that of the traffic.
    pub lead: Duration,
    /// `GYPSUMKEEL_FLEET_SEED`: the seed of the faults and the traffic.
    pub seed: u64,
    /// `GYPSUMKEEL_FLEET_FAULTS`: the faults, separated by commas.
    pub faults: BTreeSet<String>,
    /// `GYPSUMKEEL_FLEET_GAP`: the longest pause between two faults, in seconds.
    pub gap: f64,
    /// `GYPSUMKEEL_FLEET_QUOTA`: the factor by which the VMs' shares of a core are multiplied; 0 for no quota.
    pub quota: f64,
    /// `GYPSUMKEEL_FLEET_BIG`: how many routes a big configuration adds.
    pub big: usize,
    /// `GYPSUMKEEL_FLEET_RESEND`: how long a caller waits before it sends a job again, in milliseconds. Below the 1,300
    /// that the platform grants, tasks run twice; this shows that a run can find it.
    pub resend: Duration,
    /// `GYPSUMKEEL_FLEET_LOG`: the level of the VMs' logs.
    pub log: String,
    /// `GYPSUMKEEL_FLEET_FOLDER`: the folder of the logs, which are kept then even if no rule is broken.
    pub folder: Option<PathBuf>,
    /// `GYPSUMKEEL_FLEET_PROGRAM`: the program that the VMs run.
    pub program: PathBuf,
}

impl Options {
    /// Reads the options; those that are not set are for a short run.
    pub fn load() -> Self {
        let faults = value("FAULTS", "kill,freeze,storm,burst".to_owned());
        let faults = faults.split(',').filter(|fault| !fault.is_empty()).map(str::to_owned);
        let faults = faults.collect::<BTreeSet<_>>();
        let unknown = faults.iter().find(|fault| !FAULTS.contains(&fault.as_str()));
        assert!(unknown.is_none(), "unknown fault {unknown:?}; choose from {FAULTS:?}");
        Self {
            vms: value("VMS", 12),
            workers: value("WORKERS", 24),
            jobs: value("JOBS", 20.0),
            length: Duration::from_secs_f64(value("SECONDS", 12.0)),
            lead: Duration::from_secs_f64(value("LEAD", 4.0)),
            seed: value("SEED", 1),
            faults,
            gap: value("GAP", 4.0),
            quota: value("QUOTA", 0.0),
            big: value("BIG", 1400),
            resend: Duration::from_millis(value("RESEND", 1300)),
            log: value("LOG", "info".to_owned()),
            folder: env::var_os("GYPSUMKEEL_FLEET_FOLDER").map(PathBuf::from),
            program: value("PROGRAM", PathBuf::from(env!("CARGO_BIN_EXE_gypsumkeel"))),
        }
    }
}

fn value<T: FromStr>(name: &str, default: T) -> T {
    let name = format!("GYPSUMKEEL_FLEET_{name}");
    let Ok(text) = env::var(&name) else { return default };
    text.parse().unwrap_or_else(|_| panic!("{name}={text} has the wrong form"))
}
