//! The results that the table returns for an attempt.

use crate::RequestId;

/// The result of looking up the key of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// No other attempt with this key is known: it may be reserved.
    Unknown,
    /// The attempt is a duplicate of this request.
    DuplicateOf(RequestId),
    /// The attempt is a duplicate of a request that ran and whose result is no longer kept.
    AlreadyRan,
    /// The key belongs to a request with another body.
    BodyMismatch,
    /// The key may be new, but there is no capacity to store it.
    TableFull,
}

/// The result of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult<R> {
    /// The run succeeded with this result, which every duplicate receives.
    Served(R),
    /// The run failed, or its progress is unknown: it may have had its effect, and is not repeated.
    Failed,
}

/// The result for an attempt that joins the request it duplicates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JoinOutcome<R> {
    /// The request has finished with this result.
    Finished(RunResult<R>),
    /// The attempt waits; [`crate::KeyTable::finish`] returns it when the request finishes.
    Waiting,
    /// The request was dropped without having run, so the attempt never ran either.
    NeverRan,
}
