//! The typed configuration document, with the defaults of its fields.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::clock::Millis;
use crate::settings::unit::{Size, Span};

/// A whole configuration: all sections merged.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// The back ends that run tasks.
    pub targets: Vec<Target>,
    /// The kinds of tasks that callers may submit.
    pub services: Vec<Service>,
    /// Bounds on load, and policy.
    pub limits: Limits,
    /// The teams that callers belong to.
    pub teams: Vec<Team>,
}

/// A back end that runs tasks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The target's name, unique in the document.
    pub id: String,
    /// The failure domain that the target belongs to.
    pub domain: String,
    /// The rack that the target is in; empty if unknown.
    #[serde(default)]
    pub rack: String,
    /// The address that the target listens on.
    pub address: SocketAddr,
    /// How many tasks the target runs at once.
    #[serde(default = "Target::default_slots")]
    pub slots: u32,
    /// The most connections to the target, from all VMs together.
    #[serde(default = "Target::default_connections")]
    pub connections: u32,
    /// Whether the target gets no new tasks because it is about to go.
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

/// A kind of task that callers may submit.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name, as given in submissions.
    pub name: String,
    /// The ids of the targets that may run the service's tasks; empty for all targets.
    #[serde(default)]
    pub targets: Vec<String>,
    /// The timeout of a job that gives none.
    #[serde_as(as = "Span")]
    #[serde(default = "Service::default_timeout")]
    pub timeout: Millis,
    /// The longest time that one attempt may run on a target.
    #[serde_as(as = "Span")]
    #[serde(default = "Service::default_run_max")]
    pub run_max: Millis,
    /// The most hedged attempts of repeatable tasks, as a share of first attempts; 0 for none.
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
    /// The team's name, as given in submissions.
    pub name: String,
    /// The team's weight when several teams wait for slots.
    #[serde(default = "Team::default_share")]
    pub share: u32,
}

impl Team {
    const fn default_share() -> u32 {
        1
    }
}

/// Bounds on load, and policy.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The largest body of a submission, in bytes.
    #[serde_as(as = "Size")]
    pub body_max: u64,
    /// The most tasks in a job.
    pub tasks_max: usize,
    /// The longest timeout that a job may ask for.
    #[serde_as(as = "Span")]
    pub timeout_max: Millis,
    /// How many caller-made keys each VM may claim per second.
    pub claims_per_second: u32,
    /// The queue of tasks that wait for a slot.
    pub queue: Queue,
    /// Attempts after the first.
    pub retries: Retries,
    /// When failing targets are ejected.
    pub ejection: Ejection,
    /// How VMs share a target's slots.
    pub slots: Slots,
    /// The table of job keys.
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

/// The order in which waiting tasks get slots.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Teams get slots by share, and the jobs of a team equally. Tasks that can't end in time are refused
    /// early.
    #[default]
    Fair,
    /// First in, first out.
    Arrival,
}

/// How a task's target is chosen among those with a free slot.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Choice {
    /// The target that is expected to end the task first, by measured speed.
    #[default]
    Speed,
    /// A random target.
    Random,
}

/// The queue of tasks that wait for a slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Queue {
    /// The most tasks that may wait on one VM.
    pub tasks_max: usize,
    /// The order in which tasks get slots.
    pub order: Order,
    /// How a task's target is chosen.
    pub choice: Choice,
}

impl Default for Queue {
    fn default() -> Self {
        Self { tasks_max: 20_000, order: Order::default(), choice: Choice::default() }
    }
}

/// Attempts after the first.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retries {
    /// The most further attempts of a VM, as a share of its first attempts.
    pub share: f64,
    /// The most attempts of one repeatable task, the first included.
    pub attempts_max: u32,
    /// The pause before the second attempt. It doubles for each further one, with jitter.
    #[serde_as(as = "Span")]
    pub backoff: Millis,
}

impl Default for Retries {
    fn default() -> Self {
        Self { share: 0.1, attempts_max: 3, backoff: Millis(10) }
    }
}

/// When failing targets are ejected, that is, get no tasks for a while.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Ejection {
    /// How many failures in a row eject a target.
    pub failures: u32,
    /// The largest share of a domain's targets that may be ejected at once.
    pub share_max: f64,
    /// The first ejection time. It doubles with each failed trial attempt, up to `pause_max`.
    #[serde_as(as = "Span")]
    pub pause: Millis,
    /// The longest ejection time.
    #[serde_as(as = "Span")]
    pub pause_max: Millis,
}

impl Default for Ejection {
    fn default() -> Self {
        Self { failures: 5, share_max: 0.5, pause: Millis(500), pause_max: Millis::from_secs(30) }
    }
}

/// The rule by which the VMs of a domain share a target's slots.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SlotMode {
    /// Every VM may use all slots and counts only its own tasks.
    Choices,
    /// Every VM has a fixed share of the slots.
    Split,
    /// Every slot has a home VM, which lends the slot to others while it is idle.
    #[default]
    Grants,
}

/// How the VMs of a domain share a target's slots.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Slots {
    /// The rule by which slots are shared.
    pub mode: SlotMode,
    /// How long a borrowed slot may stay idle before it is returned.
    #[serde_as(as = "Span")]
    pub hold: Millis,
    /// The most traffic for slot sharing that a VM may send, in bytes per second.
    #[serde_as(as = "Size")]
    pub traffic_max: u64,
}

impl Default for Slots {
    fn default() -> Self {
        Self { mode: SlotMode::default(), hold: Millis(50), traffic_max: 12 << 10 }
    }
}

/// The table of job keys, which is kept by time window.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WindowLimits {
    /// The length of one window.
    #[serde_as(as = "Span")]
    pub length: Millis,
    /// How many windows before the current one are kept.
    pub kept: u64,
    /// The most keys that a VM keeps.
    pub keys_max: usize,
    /// The most bytes of recorded answers that a VM keeps.
    #[serde_as(as = "Size")]
    pub answers_max: u64,
}

impl Default for WindowLimits {
    fn default() -> Self {
        Self { length: Millis::from_secs(30), kept: 10, keys_max: 600_000, answers_max: 64 << 20 }
    }
}
