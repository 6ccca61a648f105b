//! What the table answers about an attempt.

use crate::RequestId;

/// What is known of the key of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// No other attempt with this key is known: it may be reserved.
    Unknown,
    /// The attempt is a duplicate of this request.
    DuplicateOf(RequestId),
    /// It is a duplicate of a request that ran and whose result is no longer kept.
    AlreadyRan,
    /// The key belongs to a request with another body.
    BodyMismatch,
    /// The key may be new, but there is no capacity to remember it.
    TableFull,
}

/// The result of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult<R> {
    /// It succeeded with this result, which every duplicate receives.
    Served(R),
    /// It failed, or it is not known how far it got: it may have had its effect, and is not run again.
    Failed,
}

/// What happens to an attempt that joins the request it duplicates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JoinOutcome<R> {
    /// That request is finished, with this result.
    Finished(RunResult<R>),
    /// The attempt waits and is returned when that request finishes.
    Waiting,
    /// That request was dropped without having run, so the attempt never ran either.
    NeverRan,
}
