//! The choice of the VM that runs a batch, among those that own targets.
//!
//! The choice evens out load between failure domains: a batch stays in the domain where it arrived or where its data
//! is, until waiting there costs more than moving to another VM, or than the longer run away from its data.

use crate::batch::Spec;
use crate::clock::Millis;
use crate::schedule::Load;

/// The cost of a VM that isn't near, for a batch without data on a rack. Batches don't move to gain less than this.
const AWAY_COST: Millis = Millis(10);

/// The cost of a VM without free cores for a task, so that one with free cores is preferred if neither has a backlog.
const FULL_COST: Millis = Millis(10);

/// A VM that owns targets.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<V> {
    /// The identity of the VM.
    pub vm: V,
    /// The load of the VM's targets, as last announced.
    pub load: Load,
    /// Whether the VM owns targets on the rack of the batch's data, or, for a batch without data on a rack, is in the
    /// batch's failure domain.
    pub is_near: bool,
}

/// The requirements of a batch that the choice depends on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// The cores that a task of the first step takes, in thousandths.
    pub cpu: u64,
    /// How much longer the batch lasts on a VM that isn't near.
    pub away_cost: Millis,
}

impl Demand {
    /// The demand of `spec`. Away from the rack of its data the batch lasts `far_factor` times as long; pass `None` if
    /// no target is on that rack, or the batch has no data on a rack.
    pub fn of(spec: &Spec, far_factor: Option<f64>) -> Self {
        let cpu = spec.steps.first().map_or(0, |step| step.need.cpu);
        let away_cost = far_factor.map_or(AWAY_COST, |factor| {
            let critical_path = spec.critical_path(|step| step.estimate);
            Millis((critical_path.0 as f64 * (factor - 1.0)) as u64)
        });
        Self { cpu, away_cost }
    }
}

/// The VM that can end a batch soonest; among equals, the one with the largest share of free cores.
pub fn choose<V>(
    candidates: impl IntoIterator<Item = Candidate<V>>,
    demand: Demand,
) -> Option<Candidate<V>> {
    candidates.into_iter().min_by_key(|candidate| cost(candidate, demand))
}

/// The cost of a VM for a batch: the delay of its end, and then the share of used cores in percent.
fn cost<V>(candidate: &Candidate<V>, demand: Demand) -> (Millis, u64) {
    let Load { total_cpu, free_cpu, backlog } = candidate.load;
    let away_cost = if candidate.is_near { Millis::ZERO } else { demand.away_cost };
    let full_cost = if free_cpu < demand.cpu { FULL_COST } else { Millis::ZERO };
    let used = total_cpu - free_cpu.min(total_cpu);
    (backlog + away_cost + full_cost, used.saturating_mul(100) / total_cpu.max(1))
}
