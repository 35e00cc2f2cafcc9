//! Fencing tokens: the lock on a target, kept by the target itself.

/// Bits of a token that name the process. Tokens stay below 2^53, which JSON numbers carry exactly.
const PROCESS_BITS: u32 = 31;

/// The most rounds a token can carry.
const ROUND_MAX: u64 = 1 << (53 - PROCESS_BITS);

/// A fencing token: a round that rises with each change of hands, and the process that drew it.
///
/// A target obeys the highest token that it has seen. Two processes never share a token, so of two that
/// think they own a target one is refused by the target itself.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fence {
    /// Rises with each change of hands.
    pub round: u64,
    /// The low bits of the owner's run.
    pub process: u64,
}

impl Fence {
    /// The token of `process`, of which the low bits count, in its first round.
    pub const fn new(process: u128) -> Self {
        Self { round: 0, process: (process as u64) & ((1 << PROCESS_BITS) - 1) }
    }

    /// The token in a later round.
    #[must_use]
    pub const fn at(self, round: u64) -> Self {
        let round = if round < ROUND_MAX { round } else { ROUND_MAX - 1 };
        Self { round, process: self.process }
    }

    /// The number that goes to the target.
    pub const fn number(self) -> u64 {
        self.round << PROCESS_BITS | self.process
    }
}
