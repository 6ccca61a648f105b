//! Tests of admin requests that arrive in pieces.

use lifecycle::{AdminCommand, AdminRequestError, LineBuffer};
use quickcheck::{Gen, QuickCheck};

const MAX_LINE_BYTES: usize = 24;

fn split_line_gives_same_result(text: Vec<u8>, selector: u8, piece_lengths: Vec<u8>) -> bool {
    let commands = [&b"health"[..], b" resume\r", b"quiesce"];
    let random: Vec<u8> = text.into_iter().filter(|b| *b != b'\n').collect();
    let line = commands
        .get(usize::from(selector % 5))
        .map_or(random, |command| command.to_vec());
    let expected = match AdminCommand::parse(&line) {
        _ if line.len() > MAX_LINE_BYTES => Err(AdminRequestError::LineTooLong),
        Some(command) => Ok(command),
        None => Err(AdminRequestError::UnknownCommand),
    };
    let mut input = line.clone();
    input.extend_from_slice(b"\nquiesce\n");
    let mut buffer = LineBuffer::new(MAX_LINE_BYTES);
    let mut remaining = &input[..];
    let mut piece_lengths = piece_lengths.into_iter().chain(std::iter::repeat(1));
    loop {
        let length = usize::from(piece_lengths.next().unwrap_or(1)).clamp(1, remaining.len());
        let (piece, after) = remaining.split_at(length);
        remaining = after;
        match buffer.push(piece) {
            Some(result) => return result == expected,
            None if remaining.is_empty() => return false,
            None => {}
        }
    }
}

/// The result does not depend on how the line is split into pieces, and a line over the limit is
/// rejected.
#[test]
fn line_in_pieces_gives_the_same_result() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 17))
        .tests(5000)
        .quickcheck(split_line_gives_same_result as fn(Vec<u8>, u8, Vec<u8>) -> bool);
}
