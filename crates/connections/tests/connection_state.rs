//! Tests of the state of a client connection against reference models, with random steps.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use connections::{ConnectionLimits, ConnectionState, IdleKind, ProtocolViolation, TimerAction};
use quickcheck::{Arbitrary, Gen, QuickCheck, Testable};

/// Runs `check` on random sequences of steps from a fixed seed, so that every run has the same
/// result.
fn check_steps<S: Arbitrary + std::fmt::Debug>(check: fn(Vec<S>) -> bool)
where
    fn(Vec<S>) -> bool: Testable,
{
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 0x6d6f_7468))
        .tests(2000)
        .quickcheck(check);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Request(u64),
    Answer(u64),
    CloseNotice,
    /// The connection begins to close, for example because it is evicted.
    BeginClose,
    /// Everything that has arrived is read.
    FinishClose,
    /// The peer accepts this many bytes.
    Write(usize),
    /// The beginning of a message arrives.
    PartialLine,
    /// The rest of the message arrives.
    LineEnd,
    /// The peer violates the protocol.
    Abort,
    /// This many bytes arrive and are discarded.
    Discard(usize),
    PeerClose,
}
impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 10 {
            0..=3 => Step::Request(u64::arbitrary(g) % 6),
            4..=6 => Step::Answer(u64::arbitrary(g) % 6),
            7 => Step::Write(usize::arbitrary(g) % 12),
            8 => *g
                .choose(&[Step::PartialLine, Step::LineEnd])
                .expect("not empty"),
            _ => match u8::arbitrary(g) % 8 {
                0..=2 => Step::CloseNotice,
                3 | 4 => Step::BeginClose,
                5 => Step::FinishClose,
                6 => *g
                    .choose(&[Step::Abort, Step::Discard(7)])
                    .expect("not empty"),
                _ => Step::PeerClose,
            },
        }
    }
}

/// The expected state of a connection.
#[derive(Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts about a connection that occur in any combination"
)]
struct Model {
    open_requests: BTreeSet<u64>,
    unsent: usize,
    discarded: usize,
    has_message: bool,
    is_mid_message: bool,
    close_notice_sent: bool,
    close_pending: bool,
    is_aborted: bool,
    input_finished: bool,
    peer_closed: bool,
    is_lingering: bool,
}

impl Model {
    /// Applies a step to the model and to the connection. Returns true if the connection's results
    /// match the model.
    fn apply(&mut self, step: Step, connection: &mut ConnectionState, now: Instant) -> bool {
        match step {
            Step::Discard(bytes) => {
                if self.is_lingering {
                    self.discarded += bytes;
                    connection.record_discarded(bytes);
                }
                true
            }
            Step::PeerClose => {
                (self.input_finished, self.peer_closed) = (true, true);
                connection.record_peer_close();
                true
            }
            // A lingering connection neither handles input nor writes output.
            _ if self.is_lingering => true,
            Step::Request(id) => connection.open_request(id, now) == self.open_request(id),
            Step::Answer(id) => {
                connection.enqueue_line(b"five\n", now);
                self.unsent += if self.is_aborted { 0 } else { 5 };
                connection.close_request(id, now) == self.open_requests.remove(&id)
            }
            Step::Write(bytes) => {
                let bytes = bytes.min(self.unsent);
                self.unsent -= bytes;
                if bytes > 0 {
                    connection.record_write(bytes, now);
                }
                true
            }
            Step::PartialLine | Step::LineEnd if self.is_aborted => true,
            Step::PartialLine => {
                self.is_mid_message = true;
                connection.receive_bytes(b"{", now);
                connection.next_line() == Ok(None)
            }
            Step::LineEnd => {
                self.is_mid_message = false;
                connection.receive_bytes(b"\n", now);
                connection.next_line().is_ok_and(|line| line.is_some())
                    && connection.next_line() == Ok(None)
            }
            Step::CloseNotice | Step::BeginClose | Step::FinishClose | Step::Abort => {
                self.apply_closing(step, connection, now)
            }
        }
    }

    fn apply_closing(
        &mut self,
        step: Step,
        connection: &mut ConnectionState,
        now: Instant,
    ) -> bool {
        match step {
            Step::CloseNotice => {
                let is_first = !std::mem::replace(&mut self.close_notice_sent, true);
                connection.record_close_notice(now) == is_first
            }
            Step::BeginClose => {
                self.close_pending = true;
                connection.begin_close();
                true
            }
            Step::FinishClose => {
                self.input_finished |= self.close_pending && self.open_requests.is_empty();
                let needs_close_notice =
                    std::mem::take(&mut self.close_pending) && !self.input_finished;
                connection.finish_pending_close() == needs_close_notice
            }
            Step::Abort => {
                self.is_mid_message = false;
                self.is_aborted = true;
                connection.abort(now);
                true
            }
            _ => unreachable!("not a closing step"),
        }
    }

    fn open_request(&mut self, id: u64) -> Result<(), ProtocolViolation> {
        if self.is_aborted {
            return Err(ProtocolViolation::Closed);
        }
        self.has_message = true;
        if self.open_requests.contains(&id) {
            return Err(ProtocolViolation::DuplicateId);
        }
        if self.open_requests.len() == 3 {
            return Err(ProtocolViolation::TooManyRequests);
        }
        self.open_requests.insert(id);
        Ok(())
    }

    fn is_finished(&self) -> bool {
        self.unsent == 0
            && (self.is_aborted || self.input_finished && self.open_requests.is_empty())
    }

    fn may_be_idle(&self) -> bool {
        self.open_requests.is_empty()
            && !self.close_pending
            && !self.is_aborted
            && !self.input_finished
    }

    fn idle_kind(&self) -> Option<IdleKind> {
        match (self.close_notice_sent, self.has_message) {
            _ if self.is_lingering => Some(IdleKind::Closing),
            _ if !self.may_be_idle() => None,
            _ if self.is_mid_message => Some(IdleKind::Idle),
            (true, _) => Some(IdleKind::Closing),
            (_, false) => Some(IdleKind::Silent),
            _ => Some(IdleKind::Idle),
        }
    }

    fn due_action(&self) -> Option<TimerAction> {
        match () {
            () if self.is_lingering || self.unsent > 0 => Some(TimerAction::Disconnect),
            () if !self.may_be_idle() => None,
            () if self.close_notice_sent || self.is_mid_message => Some(TimerAction::BeginClose),
            () => Some(TimerAction::SendCloseNotice),
        }
    }

    /// Returns true if the connection is in the state of the model.
    fn matches(
        &mut self,
        connection: &mut ConnectionState,
        limits: &ConnectionLimits,
        now: Instant,
    ) -> bool {
        let idle_timeout = Duration::from_secs(1);
        let is_finished = self.is_finished();
        let shuts_down_once = connection.begin_linger(now) == (is_finished && !self.is_lingering);
        self.is_lingering |= is_finished;
        let may_be_dropped = is_finished && (self.peer_closed || self.discarded > 10);
        let may_read = !self.is_aborted && !self.input_finished && self.unsent <= 6;
        let has_timer = self.is_lingering || self.may_be_idle() || self.unsent > 0;
        shuts_down_once
            && connection.is_lingering() == self.is_lingering
            && connection.open_request_count() == self.open_requests.len()
            && connection.unsent().len() == self.unsent
            && connection.may_be_dropped(limits) == may_be_dropped
            && connection.may_read(limits) == may_read
            && connection.next_timer(idle_timeout, limits).is_some() == has_timer
            && connection.due_action(idle_timeout, limits, now + limits.write_timeout)
                == self.due_action()
            && connection.idleness().map(|idleness| idleness.kind) == self.idle_kind()
    }
}

/// A connection has exactly those requests open that arrived and were not answered, and is finished
/// only once none is open and all output is written. Then its writing side is shut down, once, and
/// it is dropped when its peer has closed its sending side or has sent too much. It is idle only
/// while no request is open. A request that arrived before the close keeps it open, and after a
/// protocol violation nothing is read or enqueued.
#[test]
fn a_connection_has_the_state_of_the_model_after_each_step() {
    fn check(steps: Vec<Step>) -> bool {
        let now = Instant::now();
        let limits = ConnectionLimits {
            max_open_requests: 3,
            max_unsent_bytes: 12,
            max_linger_bytes: 10,
            ..ConnectionLimits::new(8)
        };
        let mut connection = ConnectionState::new(&limits, now);
        let mut model = Model::default();
        steps.into_iter().all(|step| {
            let results_match = model.apply(step, &mut connection, now);
            results_match && model.matches(&mut connection, &limits, now)
        })
    }
    check_steps(check);
}

/// The messages of a busy peer may be split anywhere: the timeout of each counts from its own
/// beginning, not from that of the first.
#[test]
fn a_message_after_a_complete_one_has_its_own_timeout() {
    let (start, limits) = (Instant::now(), ConnectionLimits::new(8));
    let mut connection = ConnectionState::new(&limits, start);
    connection.record_message(start);
    connection.receive_bytes(b"{", start);
    assert_eq!(connection.next_line(), Ok(None));
    let later = start + limits.message_timeout / 2;
    connection.receive_bytes(b"}\n{", later);
    assert!(connection.next_line() == Ok(Some(b"{}")) && connection.next_line() == Ok(None));
    assert_eq!(
        connection.next_timer(limits.write_timeout, &limits),
        Some(later + limits.message_timeout)
    );
}

/// The returned lines do not depend on how the bytes of a connection are split, and no line over
/// the limit is returned.
#[test]
fn lines_do_not_depend_on_how_their_bytes_arrive() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the signature that quickcheck calls"
    )]
    fn check(steps: Vec<(u8, u8)>) -> bool {
        let limits = ConnectionLimits {
            max_line_bytes: 40,
            ..ConnectionLimits::new(8)
        };
        let mut connection = ConnectionState::new(&limits, Instant::now());
        let sent: Vec<u8> = steps
            .iter()
            .flat_map(|(byte, _)| [*byte, b'\n', b'\r'].map(|b| b % 16))
            .collect();
        let (mut received, mut lines) = (0, Vec::new());
        for (_, cut) in &steps {
            let end = (received + usize::from(*cut) % 7).min(sent.len());
            connection.receive_bytes(&sent[received..end], Instant::now());
            received = end;
            while let Ok(Some(line)) = connection.next_line() {
                lines.push(line.to_vec());
            }
            if connection.may_have_line() {
                return connection.next_line() == Err(ProtocolViolation::LineTooLong);
            }
        }
        let complete = sent[..received]
            .iter()
            .rposition(|b| *b == b'\n')
            .map_or(&[][..], |end| &sent[..end]);
        let expected = complete
            .split(|b| *b == b'\n')
            .map(|l| l.strip_suffix(b"\r").unwrap_or(l));
        lines
            == expected
                .take(lines.len().max(usize::from(!complete.is_empty())))
                .collect::<Vec<_>>()
    }
    check_steps(check);
}
