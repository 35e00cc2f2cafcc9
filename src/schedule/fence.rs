//! Fencing tokens: the lock on a target, enforced by the target itself.

/// Bits of a token that name the process. Tokens stay below 2^53, which JSON numbers carry exactly.
const PROCESS_BITS: u32 = 31;

/// The number of rounds that a token can carry.
const ROUNDS: u64 = 1 << (53 - PROCESS_BITS);

/// A fencing token: a round, which rises with each change of owner, and the process that made the token.
///
/// A target obeys the highest token that it has seen. Two processes never share a token, so if two VMs
/// believe that they own a target, the target itself refuses the calls of one.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fence {
    /// The round, which rises with each change of owner.
    pub round: u64,
    /// The low bits of the owner's incarnation.
    pub process: u64,
}

impl Fence {
    /// The token of `process` in its first round. Only the low bits of `process` are used.
    pub const fn new(process: u128) -> Self {
        Self { round: 0, process: (process as u64) & ((1 << PROCESS_BITS) - 1) }
    }

    /// The same process's token in `round`, or in the highest round if `round` is above it.
    #[must_use]
    pub const fn at(self, round: u64) -> Self {
        let round = if round < ROUNDS { round } else { ROUNDS - 1 };
        Self { round, process: self.process }
    }

    /// Whether a token can carry `round` and a higher one.
    pub const fn can_carry(round: u64) -> bool {
        round < ROUNDS - 1
    }

    /// The token as the number that is sent to the target.
    pub const fn number(self) -> u64 {
        self.round << PROCESS_BITS | self.process
    }
}
