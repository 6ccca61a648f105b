//! Admin requests that arrive in pieces.

use lifecycle::{AdminCommand, AdminRequestError, LineBuffer};
use quickcheck::{Gen, QuickCheck};

const MAX_LINE: usize = 24;

fn pieces_give_the_lines_result(text: Vec<u8>, pick: u8, cuts: Vec<u8>) -> bool {
    let commands = [&b"health"[..], b" resume\r", b"quiesce"];
    let random: Vec<u8> = text.into_iter().filter(|b| *b != b'\n').collect();
    let line = commands
        .get(usize::from(pick % 5))
        .map_or(random, |command| command.to_vec());
    let expected = match AdminCommand::parse(&line) {
        _ if line.len() > MAX_LINE => Err(AdminRequestError::LineTooLong),
        Some(command) => Ok(command),
        None => Err(AdminRequestError::UnknownCommand),
    };
    let mut input = line.clone();
    input.extend_from_slice(b"\nquiesce\n");
    let mut buffer = LineBuffer::new(MAX_LINE);
    let mut rest = &input[..];
    let mut cuts = cuts.into_iter().chain(std::iter::repeat(1));
    loop {
        let cut = usize::from(cuts.next().unwrap_or(1)).clamp(1, rest.len());
        let (piece, after) = rest.split_at(cut);
        rest = after;
        match buffer.push(piece) {
            Some(result) => return result == expected,
            None if rest.is_empty() => return false,
            None => {}
        }
    }
}

/// However a line is cut into pieces, the result is the same, and no more than the longest line is held.
#[test]
fn line_in_pieces_gives_the_same_result() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 17))
        .tests(5000)
        .quickcheck(pieces_give_the_lines_result as fn(Vec<u8>, u8, Vec<u8>) -> bool);
}
