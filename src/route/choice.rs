//! Which of the VMs that own targets is to run a batch.
//!
//! It answers load that is spread unevenly over the failure domains: a batch stays where it came or where its data
//! is, until waiting there costs more than the way to another VM, or than the longer time away from its data.

use crate::batch::Spec;
use crate::clock::Millis;
use crate::schedule::Load;

/// What another VM is sent rather than this one must be shorter by, so that a batch doesn't travel for nothing.
const AWAY_COST: Millis = Millis(10);

/// What a VM without room for a task costs, so that one with room is taken where nothing waits at either.
const FULL_COST: Millis = Millis(10);

/// A VM that owns targets.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<V> {
    /// What names it.
    pub vm: V,
    /// How busy its targets are, as it said last.
    pub load: Load,
    /// Whether it is in the batch's failure domain, or owns targets on the rack of the batch's data.
    pub is_near: bool,
}

/// What a batch asks of the VM that runs it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// What one of its first tasks takes, in thousandths of a core.
    pub cpu: u64,
    /// How much longer it lasts on a VM that isn't near.
    pub away_cost: Millis,
}

impl Demand {
    /// What `spec` asks for. Away from the rack of its data it lasts `far_factor` times as long; `None` where
    /// no target is on that rack, or it has no data.
    pub fn of(spec: &Spec, far_factor: Option<f64>) -> Self {
        let cpu = spec.steps.first().map_or(0, |step| step.need.cpu);
        let away = far_factor.map_or(AWAY_COST, |factor| {
            let chain = spec.critical_path(|step| step.estimate);
            Millis((chain.0 as f64 * (factor - 1.0)) as u64)
        });
        Self { cpu, away_cost: away }
    }
}

/// The VM that can end a batch soonest; of VMs that are equal in that, the one with the largest free share.
pub fn choose<V>(
    candidates: impl IntoIterator<Item = Candidate<V>>,
    demand: Demand,
) -> Option<Candidate<V>> {
    candidates.into_iter().min_by_key(|candidate| cost(candidate, demand))
}

/// What a VM costs a batch: the time until its first task starts, and then the used share in percent.
fn cost<V>(candidate: &Candidate<V>, demand: Demand) -> (Millis, u64) {
    let Load { total_cpu, free_cpu, backlog } = candidate.load;
    let away = if candidate.is_near { Millis::ZERO } else { demand.away_cost };
    let full = if free_cpu < demand.cpu { FULL_COST } else { Millis::ZERO };
    let used = total_cpu - free_cpu.min(total_cpu);
    (backlog + away + full, used * 100 / total_cpu.max(1))
}
