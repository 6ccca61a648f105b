//! Checks a state machine against its model with random steps.

use quickcheck::{Arbitrary, Gen, QuickCheck, Testable};

/// Runs `check` on random sequences of steps. The seed is fixed, so that the result is
/// reproducible. A failing sequence is shrunk.
pub(crate) fn check_steps<S: Arbitrary + std::fmt::Debug>(check: fn(Vec<S>) -> bool)
where
    fn(Vec<S>) -> bool: Testable,
{
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 0x6d6f_7468))
        .tests(2000)
        .quickcheck(check);
}
