//! Delivery of the command to run a request, and the evidence that its run has ended.
//!
//! A run whose command is known to have arrived has ended when the executor reports its end, and
//! not before: the executor keeps its notices across broken connections. A command that may have
//! been lost gets no report. Whether its run has ended is derived from what the executor does with
//! later commands: if the executor was told to stop the run, and a run that was sent after that has
//! ended, the cores were making progress, and a run in progress would have been stopped. The
//! passing of time proves nothing, as the cores may stall.

/// Sequence number of a command to run, in the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RunNumber(pub(super) u64);

/// Identifies a reading of the gauges; later readings have higher tags.
pub(super) type ReadingTag = u64;

/// Number of generations of later runs after which a run that could be stopped has ended. The first
/// generation shows that the cores make progress. Before the second one the run is told to stop
/// once more, and the second shows that the cores made progress after that.
pub(super) const GENERATIONS_IF_STOPPED: u32 = 2;
/// The same number where the site does not allow runs to be stopped. Cores that are shared evenly
/// have then given the run the time of as many whole runs.
pub(super) const GENERATIONS_IF_UNSTOPPABLE: u32 = 8;

/// Known state of the delivery of the command to run a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum RunDelivery {
    /// The command was not sent.
    #[default]
    NotSent,
    /// The command was sent on the present connection.
    Sent {
        /// Sequence number of the command.
        number: RunNumber,
        /// The last reading requested before the command. The answer to a later one on the same
        /// connection proves that the command arrived.
        last_reading: ReadingTag,
        /// True if an earlier copy of the command may have arrived.
        is_resent: bool,
    },
    /// The executor has received the command and will report the end of the run.
    Acknowledged(RunNumber),
    /// The command may have been lost: the run may be in progress, or may never start.
    InDoubt {
        /// Sequence number of the command.
        number: RunNumber,
        /// Why the command may have been lost.
        cause: DoubtCause,
        /// Evidence from later runs so far.
        evidence: Evidence,
    },
}

/// Why a command to run may have been lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DoubtCause {
    /// The connection broke before the executor was known to have received the command.
    ConnectionBroke,
    /// The executor rejected the only copy of the command.
    Rejected,
}

/// Evidence from later runs about a run in doubt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Evidence {
    /// Number of generations of later runs that have ended.
    ended_generations: u32,
    /// The last command to run that was sent before the present generation began; `None` between
    /// generations.
    last_run_before_generation: Option<RunNumber>,
    /// The last reading that was requested before the first generation began.
    last_reading_before_generations: Option<ReadingTag>,
    /// True if a reading that was requested after the first generation began has been answered.
    is_later_reading_answered: bool,
}

impl RunDelivery {
    /// Creates the delivery that stands for runs that an earlier process may have left in progress.
    /// `number` is the last command to run that this process has sent.
    pub(super) fn inherited(number: RunNumber) -> RunDelivery {
        RunDelivery::in_doubt(number, DoubtCause::ConnectionBroke)
    }

    /// Returns the sequence number of the command, if it was sent.
    pub(super) fn number(&self) -> Option<RunNumber> {
        match self {
            RunDelivery::NotSent => None,
            RunDelivery::Sent { number, .. }
            | RunDelivery::Acknowledged(number)
            | RunDelivery::InDoubt { number, .. } => Some(*number),
        }
    }

    pub(super) fn is_in_doubt(&self) -> bool {
        matches!(self, RunDelivery::InDoubt { .. })
    }

    /// Returns true if the command may be sent again, provided that its class allows that: if the
    /// command was lost, it was lost with a connection.
    pub(super) fn may_be_lost_with_connection(&self) -> bool {
        matches!(
            self,
            RunDelivery::InDoubt {
                cause: DoubtCause::ConnectionBroke,
                ..
            }
        )
    }

    /// Records that the executor has answered a reading on the present connection.
    pub(super) fn reading_answered(&mut self, tag: ReadingTag) {
        match self {
            RunDelivery::Sent {
                number,
                last_reading,
                ..
            } if tag > *last_reading => *self = RunDelivery::Acknowledged(*number),
            RunDelivery::InDoubt { evidence, .. } => {
                evidence.is_later_reading_answered |= evidence
                    .last_reading_before_generations
                    .is_some_and(|last| tag > last);
            }
            _ => {}
        }
    }

    /// Records that the executor has reported something about the run other than its end.
    pub(super) fn run_reported(&mut self) {
        if let Some(number) = self.number() {
            *self = RunDelivery::Acknowledged(number);
        }
    }

    /// Records that the connection broke. Commands on it may be lost, including those to stop the
    /// run, so that the collection of evidence starts again. Returns true if the command was not in
    /// doubt before.
    pub(super) fn connection_broke(&mut self) -> bool {
        let (number, cause, is_new) = match *self {
            RunDelivery::Sent { number, .. } => (number, DoubtCause::ConnectionBroke, true),
            RunDelivery::InDoubt { number, cause, .. } => (number, cause, false),
            RunDelivery::NotSent | RunDelivery::Acknowledged(_) => return false,
        };
        *self = RunDelivery::in_doubt(number, cause);
        is_new
    }

    /// Records that the executor has rejected the command. This does not show whether an earlier
    /// copy of the command runs.
    pub(super) fn rejected(&mut self) {
        let cause = match self {
            RunDelivery::Sent { is_resent, .. } if !*is_resent => DoubtCause::Rejected,
            _ => DoubtCause::ConnectionBroke,
        };
        if let Some(number) = self.number() {
            *self = RunDelivery::in_doubt(number, cause);
        }
    }

    fn in_doubt(number: RunNumber, cause: DoubtCause) -> RunDelivery {
        RunDelivery::InDoubt {
            number,
            cause,
            evidence: Evidence::default(),
        }
    }

    /// Begins a generation of later runs unless one has begun already. The executor has just been
    /// told to stop the run, if the site allows that, or has just rejected it. `last_sent` and
    /// `last_reading` are the last commands before that.
    pub(super) fn begin_generation(&mut self, last_sent: RunNumber, last_reading: ReadingTag) {
        if let RunDelivery::InDoubt { evidence, .. } = self {
            evidence.last_run_before_generation.get_or_insert(last_sent);
            evidence
                .last_reading_before_generations
                .get_or_insert(last_reading);
        }
    }

    /// Records that another run has ended on the cores by itself. It ends the present generation if
    /// its command was sent within that generation.
    pub(super) fn other_run_ended(&mut self, other: RunNumber) {
        if let RunDelivery::InDoubt { evidence, .. } = self {
            if evidence
                .last_run_before_generation
                .is_some_and(|last| other > last)
            {
                evidence.last_run_before_generation = None;
                evidence.ended_generations += 1;
            }
        }
    }

    /// Returns true if a run in doubt has ended, where this many generations of later runs prove
    /// that. A run whose only command was rejected has ended once the executor has answered a
    /// reading that was requested after the rejection.
    pub(super) fn has_ended_after(&self, generations: u32) -> bool {
        let RunDelivery::InDoubt {
            cause, evidence, ..
        } = self
        else {
            return false;
        };
        let is_rejection_confirmed =
            *cause == DoubtCause::Rejected && evidence.is_later_reading_answered;
        is_rejection_confirmed || evidence.ended_generations >= generations
    }
}
