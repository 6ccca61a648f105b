//! Tests of the open requests and received lines of a connection to a node.
use router::upstream_state::{InterruptedRequest, LineTooLong, UpstreamRequest, UpstreamState};

/// A request of which no byte was written can't have reached the node; any other may have.
#[test]
fn only_requests_with_written_bytes_may_have_arrived() {
    let mut state = UpstreamState::default();
    for ticket in [10, 11, 12] {
        let id = state.next_id();
        state.enqueue_request(id, UpstreamRequest::Attempt(ticket), "four");
    }
    // All of the first request, and one byte of the second.
    state.record_write(5);
    assert_eq!(state.close_request(1), Some(UpstreamRequest::Attempt(10)));
    assert_eq!(
        (state.close_request(1), state.close_request(9)),
        (None, None)
    );
    let interrupted = |ticket, may_have_arrived| InterruptedRequest {
        request: UpstreamRequest::Attempt(ticket),
        may_have_arrived,
    };
    assert_eq!(
        state.interrupt_requests(),
        [interrupted(11, true), interrupted(12, false)]
    );
    assert_eq!(state.open_request_count(), 0);
}

#[test]
fn received_lines_are_complete_and_limited_in_length() {
    let mut state = UpstreamState::default();
    assert_eq!(state.receive_bytes(b"a\nb", 4), Ok(vec![b"a".to_vec()]));
    assert_eq!(state.receive_bytes(b"c\n", 4), Ok(vec![b"bc".to_vec()]));
    assert_eq!(state.receive_bytes(b"too long", 4), Err(LineTooLong));
}
