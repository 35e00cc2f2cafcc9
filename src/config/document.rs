//! The document that is in force: typed, with defaults, all sections together.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::clock::Millis;
use crate::settings::unit::{Size, Span};

/// All sections of a configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// The back ends.
    pub targets: Vec<Target>,
    /// What callers may ask for.
    pub services: Vec<Service>,
    /// Bounds and policy.
    pub limits: Limits,
    /// The callers' teams.
    pub teams: Vec<Team>,
}

/// A back end that runs tasks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Its name, unique in the document.
    pub id: String,
    /// The failure domain it stands in.
    pub domain: String,
    /// The rack it stands in.
    #[serde(default)]
    pub rack: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// How many tasks it runs at once.
    #[serde(default = "Target::default_slots")]
    pub slots: u32,
    /// How many connections it takes, from all VMs together.
    #[serde(default = "Target::default_connections")]
    pub connections: u32,
    /// Whether it is to get no new work.
    #[serde(default)]
    pub leaving: bool,
}

impl Target {
    const fn default_slots() -> u32 {
        8
    }

    const fn default_connections() -> u32 {
        60
    }
}

/// A kind of task that callers may ask for.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name that submissions give.
    pub name: String,
    /// The targets that may run it; empty for all.
    #[serde(default)]
    pub targets: Vec<String>,
    /// The timeout of a job that names none.
    #[serde_as(as = "Span")]
    #[serde(default = "Service::default_timeout")]
    pub timeout: Millis,
    /// The longest that one task may run on a target.
    #[serde_as(as = "Span")]
    #[serde(default = "Service::default_run_max")]
    pub run_max: Millis,
    /// Spare copies of repeatable tasks, as a share of first starts; 0 for none.
    #[serde(default)]
    pub spare_share: f64,
}

impl Service {
    const fn default_timeout() -> Millis {
        Millis::from_secs(10)
    }

    const fn default_run_max() -> Millis {
        Millis::from_secs(10)
    }
}

/// A team of callers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The name that submissions give.
    pub name: String,
    /// Its share of the slots against other teams that wait.
    #[serde(default = "Team::default_share")]
    pub share: u32,
}

impl Team {
    const fn default_share() -> u32 {
        1
    }
}

/// Bounds and policy.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The largest body of a submission.
    #[serde_as(as = "Size")]
    pub body_max: u64,
    /// The most tasks in a job.
    pub tasks_max: usize,
    /// The longest timeout that a job may ask for.
    #[serde_as(as = "Span")]
    pub timeout_max: Millis,
    /// Claims of caller-made keys, a second and VM.
    pub claims_per_second: u32,
    /// What may wait.
    pub queue: Queue,
    /// Further attempts.
    pub retries: Retries,
    /// Targets that fail what they start.
    pub ejection: Ejection,
    /// How VMs share a target's slots.
    pub slots: Slots,
    /// The table of keys.
    pub windows: WindowLimits,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_max: 4 << 20,
            tasks_max: 1000,
            timeout_max: Millis::from_secs(60),
            claims_per_second: 20,
            queue: Queue::default(),
            retries: Retries::default(),
            ejection: Ejection::default(),
            slots: Slots::default(),
            windows: WindowLimits::default(),
        }
    }
}

/// In which order waiting tasks get slots.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Teams by share, and within a team every job alike. What can't end in time is refused early.
    #[default]
    Fair,
    /// First come, first served.
    Arrival,
}

/// Which of the targets with a free slot gets a task.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Choice {
    /// The one that is expected to end it first, by measured speed.
    #[default]
    Speed,
    /// Any.
    Random,
}

/// What may wait for a slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Queue {
    /// The most tasks that wait on one VM.
    pub tasks_max: usize,
    /// The order.
    pub order: Order,
    /// The choice of target.
    pub choice: Choice,
}

impl Default for Queue {
    fn default() -> Self {
        Self { tasks_max: 20_000, order: Order::default(), choice: Choice::default() }
    }
}

/// Further attempts at a task.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retries {
    /// All further attempts of a VM, as a share of its first ones.
    pub share: f64,
    /// The most attempts at one repeatable task.
    pub attempts_max: u32,
    /// The pause before the first further attempt; it doubles, with jitter.
    #[serde_as(as = "Span")]
    pub backoff: Millis,
}

impl Default for Retries {
    fn default() -> Self {
        Self { share: 0.1, attempts_max: 3, backoff: Millis(10) }
    }
}

/// Targets that fail what they start.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Ejection {
    /// Failures in a row after which a target is ejected.
    pub failures: u32,
    /// The largest share of a domain's targets that may be ejected.
    pub share_max: f64,
    /// The first pause before a trial start; it doubles up to `pause_max`.
    #[serde_as(as = "Span")]
    pub pause: Millis,
    /// The longest pause between trial starts.
    #[serde_as(as = "Span")]
    pub pause_max: Millis,
}

impl Default for Ejection {
    fn default() -> Self {
        Self { failures: 5, share_max: 0.5, pause: Millis(500), pause_max: Millis::from_secs(30) }
    }
}

/// How the VMs of a domain share a target's slots.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SlotMode {
    /// Every VM counts its own tasks only and may use all slots.
    Choices,
    /// Every VM has a fixed part of the slots.
    Split,
    /// Every slot has a home VM, which lends it while it is idle.
    #[default]
    Grants,
}

/// How the VMs of a domain share a target's slots.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Slots {
    /// The rule.
    pub mode: SlotMode,
    /// How long a lent slot may stay idle before it goes back.
    #[serde_as(as = "Span")]
    pub hold: Millis,
    /// The most traffic about slots that a VM sends, in bytes a second.
    #[serde_as(as = "Size")]
    pub traffic_max: u64,
}

impl Default for Slots {
    fn default() -> Self {
        Self { mode: SlotMode::default(), hold: Millis(50), traffic_max: 12 << 10 }
    }
}

/// The table of keys.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WindowLimits {
    /// The length of a window.
    #[serde_as(as = "Span")]
    pub length: Millis,
    /// How many windows before the current one are kept.
    pub kept: u64,
    /// The most keys that a VM keeps.
    pub keys_max: usize,
    /// The most bytes that the answers which a VM keeps may take.
    #[serde_as(as = "Size")]
    pub answers_max: u64,
}

impl Default for WindowLimits {
    fn default() -> Self {
        Self { length: Millis::from_secs(30), kept: 10, keys_max: 600_000, answers_max: 64 << 20 }
    }
}
