//! Which front connections go when slots run short: a decision over all of them, without their sockets. It keeps
//! those that carry nothing in order, so that a newcomer costs no walk over the whole table.

use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

use crate::Bounds;
use crate::Unused;

/// How one goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Go {
    /// What has come on it is read and answered, then it is closed.
    Part,
    /// Its peer is told to go and has a while to do so.
    Farewell,
}

/// The connections that carry nothing, by kind and then by how long.
#[derive(Default)]
pub struct Room {
    leaving: BTreeSet<(Instant, usize)>,
    silent: BTreeSet<(Instant, usize)>,
    idle: BTreeSet<(Instant, usize)>,
    places: HashMap<usize, (Unused, Instant)>,
}

impl Room {
    fn kind(&mut self, kind: Unused) -> &mut BTreeSet<(Instant, usize)> {
        match kind {
            Unused::Leaving => &mut self.leaving,
            Unused::Silent => &mut self.silent,
            Unused::Idle => &mut self.idle,
        }
    }
    /// Notes where a connection stands now: see [`crate::Session::dispensable`].
    pub fn set(&mut self, number: usize, place: Option<(Unused, Instant)>) {
        let old = match place {
            Some(place) => self.places.insert(number, place),
            None => self.places.remove(&number),
        };
        if old == place {
            return;
        }
        if let Some((kind, used)) = old {
            self.kind(kind).remove(&(used, number));
        }
        if let Some((kind, used)) = place {
            self.kind(kind).insert((used, number));
        }
    }
    /// Who goes now so that there is room for one more beside `open` connections: where more carry nothing than are
    /// kept, those least missed; where slots run short, the first of all.
    pub fn make(&self, open: usize, bounds: &Bounds, now: Instant) -> Vec<(usize, Go)> {
        let mut go = Vec::new();
        // A front end sends as soon as it has connected, so one that has been silent for a while is none. One that has
        // only just come may be: in a crowd that begins requests and never ends them it would always go first.
        let mute = |used: &Instant| now.saturating_duration_since(*used) > bounds.mute;
        let short = (open + bounds.spare + 1).saturating_sub(bounds.connections);
        if short > 0 {
            let longest = self
                .silent
                .first()
                .into_iter()
                .chain(self.idle.first())
                .min();
            let other = self
                .silent
                .first()
                .filter(|(used, _)| mute(used))
                .or(longest);
            // As many of those told to go as are too many: one that waits for its peer still takes its slot.
            let leaving = self.leaving.iter().take(short);
            let first = leaving.chain(other.filter(|_| self.leaving.is_empty()));
            go.extend(first.map(|(_, number)| (*number, Go::Part)));
        }
        let most = (self.silent.len() + self.idle.len()).saturating_sub(bounds.unused);
        // Closed at once, one that is used would lose what its front end sends meanwhile.
        let silent = self
            .silent
            .iter()
            .map(|(used, n)| (*n, if mute(used) { Go::Part } else { Go::Farewell }));
        let idle = self.idle.iter().map(|(_, n)| (*n, Go::Farewell));
        go.extend(
            silent
                .chain(idle)
                .take(most)
                .filter(|(n, _)| go.iter().all(|(first, _)| first != n))
                .collect::<Vec<_>>(),
        );
        go
    }
}
