//! What is said of a member, and which of two words holds. These functions alone decide what a view takes up; the view
//! adds when and to whom, the model checker runs them under every loss and delay.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A member's name, and that of a site.
pub type Name = Arc<str>;

/// What a member says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Said {
    /// It is there and serves nothing yet.
    Joining,
    /// It serves.
    Up,
    /// It serves what comes and wants nothing new.
    Quiesced,
    /// It was told to end and serves what it has.
    Leaving,
    /// Its last word in this life.
    Left,
}

/// What others hold of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// It answers, or nobody has found that it doesn't.
    Present,
    /// Somebody got no answer; it may still object.
    Suspected,
    /// It did not object in time.
    Gone,
}

/// The word on a member by which two views are told apart: its life, how often it has spoken in it, what it said, and
/// what others hold of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Word {
    /// Higher with each start of its process.
    pub life: u64,
    /// Raised by the member alone, with each change of what it says and each objection. From 0 in each life.
    pub incarnation: u32,
    /// What it says of itself as of that incarnation.
    pub said: Said,
    /// What others hold.
    pub standing: Standing,
}

impl Word {
    /// Words on one member in the order in which they hold: a later life over every earlier one, within it a later
    /// incarnation over every earlier one, within that the graver judgement.
    pub fn rank(&self) -> (u64, u32, Standing) {
        (self.life, self.incarnation, self.standing)
    }
    /// It has gone for good in this life, by its own word.
    pub fn left(&self) -> bool {
        self.said == Said::Left
    }
    /// It is there, as far as this word goes.
    pub fn present(&self) -> bool {
        !self.left() && self.standing != Standing::Gone
    }
}

/// Low bits of a life that are the process's own, drawn at its start. Two processes that start under a clock that went
/// back may both take a life above the same word; without these it would be the same life.
const OWN: u32 = 20;

/// The life of a process that starts now, by the clock in milliseconds and a draw.
pub fn life(unix_ms: u64, draw: u64) -> u64 {
    unix_ms << OWN | draw & ((1 << OWN) - 1)
}
/// A life above the one that was heard, for the process whose present life is the other.
fn above(heard: u64, own: u64) -> u64 {
    life((heard >> OWN) + 1, own)
}

/// What is done with a word that was heard on another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// Nothing: it is known, or overtaken.
    Nothing,
    /// It holds from now on.
    Held,
    /// The member is to be suspected as of this word; whether it goes is found out here.
    Suspect,
}

/// What becomes of a word heard on another member, beside the one that is held.
///
/// "Gone" is not believed of a member that is held present: it is suspected and has its time to object. Otherwise the
/// sides of a partition that meet again would have each other's living members given up.
pub fn take(held: Option<&Word>, heard: &Word) -> Take {
    let Some(held) = held else { return Take::Held };
    if heard.rank() <= held.rank() {
        return Take::Nothing;
    }
    let same = (heard.life, heard.incarnation) == (held.life, held.incarnation);
    match heard.standing {
        Standing::Gone if same && held.standing == Standing::Suspected => Take::Nothing,
        Standing::Gone if !heard.left() && held.present() => Take::Suspect,
        _ => Take::Held,
    }
}

/// What a member makes of a word that it hears on its own name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfMe {
    /// Nothing.
    Nothing,
    /// It objects: this is its word from now on.
    Object(Word),
    /// Another process speaks for the name, in a later life.
    Succeeded,
}

/// What a member does about a word on its own name, beside its own.
///
/// A later life under the name is a successor's, unless it has ended or this process has served nobody yet: then this
/// one is the younger, whatever its clock said at the start, and takes a life above.
pub fn of_me(me: &Word, heard: &Word) -> OfMe {
    if heard.life > me.life {
        if heard.present() && me.said != Said::Joining {
            return OfMe::Succeeded;
        }
        return OfMe::Object(Word {
            life: above(heard.life, me.life),
            incarnation: 0,
            standing: Standing::Present,
            ..*me
        });
    }
    let accused = heard.incarnation > me.incarnation
        || heard.incarnation == me.incarnation && heard.standing > Standing::Present;
    if heard.life < me.life || !accused {
        return OfMe::Nothing;
    }
    OfMe::Object(Word {
        incarnation: heard.incarnation + 1,
        standing: Standing::Present,
        ..*me
    })
}

/// The word on a member that gave no answer; none where there is nothing to accuse it of.
pub fn accuse(held: &Word) -> Option<Word> {
    (held.standing == Standing::Present && !held.left()).then_some(Word {
        standing: Standing::Suspected,
        ..*held
    })
}

/// The word on a suspected member that did not object in time.
pub fn give_up(held: &Word) -> Option<Word> {
    (held.standing == Standing::Suspected).then_some(Word {
        standing: Standing::Gone,
        ..*held
    })
}

/// A word, and whose it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Whose.
    pub name: Name,
    /// Where it stands, as operators name places.
    pub site: Name,
    /// Where its datagrams go.
    pub at: SocketAddr,
    /// Where clients connect; none for a member that serves nothing.
    pub serves: Option<SocketAddr>,
    /// What holds of it.
    pub word: Word,
    /// Who accuses it: a hash of that member's name, 0 for nobody.
    pub by: u32,
}

impl Record {
    /// Bytes that it takes in a datagram, at most.
    pub fn size(&self) -> usize {
        let address = |at: &SocketAddr| if at.is_ipv4() { 8 } else { 20 };
        // Length bytes, the life at most 10, the incarnation and the accuser at most 5 each, three tags.
        let fixed = 2 + 10 + 5 + 5 + 3;
        self.name.len()
            + self.site.len()
            + address(&self.at)
            + self.serves.as_ref().map_or(0, address)
            + fixed
    }
    /// Whether new requests may be sent to it.
    pub fn takes_requests(&self) -> bool {
        self.serves.is_some() && self.word.present() && self.word.said == Said::Up
    }
}

/// A hash of a name that is the same on every machine.
pub fn hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
