//! What passes between the old and the new process of an upgrade: the words, how they are read, and where the two stand
//! to each other. Pure; `platform::sibling` moves the bytes.
//!
//! The old process tells what it knows, first its version and at last [`Word::Begin`]; the new one takes all of it or nothing.
//! From then on both say [`Word`]s about single calls. One JSON object a line.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use crate::{LoadReport, Micros};

/// Of these words and what they mean. Another version's hand-over is not read.
pub const VERSION: u32 = 1;
/// The longest line; a server's or a call's takes a few hundred bytes, and a class's name stands in each.
pub const LINE_BYTES: usize = 64 * 1024;
/// Most servers that are taken over; there are a few dozen.
const SERVERS_MOST: usize = 10_000;
/// A report older than this tells nothing of now.
const REPORT_OLD: Micros = 2_000_000;

/// A call that stands, as it is handed over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// Its name on the wire.
    pub tag: String,
    /// The server's id.
    pub server: String,
    /// Its class's name.
    pub class: String,
    /// Its caller's address.
    pub peer: IpAddr,
}

/// What the old process knows of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Known {
    /// Its id.
    pub server: String,
    /// For how long it has been known to drain; `None`: it takes calls.
    pub drains_for: Option<Micros>,
    /// It did not answer since an attempt there was given up.
    pub silent: bool,
    /// Its last report's age, and the wait that it told, in milliseconds.
    pub report: Option<(Micros, f64)>,
}

impl Known {
    /// What the module is to be told: that it does not answer, or its last report, if that still says something.
    pub fn news(&self) -> Option<(bool, LoadReport)> {
        if self.silent {
            return Some((false, LoadReport::default()));
        }
        let (age, wait) = self.report?;
        let load = LoadReport { queue_wait_ms: Some(wait), ..LoadReport::default() };
        (age <= REPORT_OLD && wait.is_finite() && wait >= 0.0).then_some((true, load))
    }
}

/// One word between the processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum Word {
    /// The first word of the old process: its version, and the number of its list.
    Hello {
        /// See [`VERSION`].
        version: u32,
        /// The number of the last event that its list holds.
        seq: u32,
    },
    /// What it knows of a server.
    Server(Known),
    /// That was all; the new process may begin.
    Begin,
    /// The new process listens and takes clients.
    Serving,
    /// A call that stands is the other's from now on.
    Standing(Standing),
    /// A caller ended a call that the other may have.
    CallerEnds {
        /// Its name.
        tag: String,
    },
    /// A server ended a call that the other may have.
    ServerEnds {
        /// The server's id.
        server: String,
        /// The call's name.
        tag: String,
        /// It came to its end in order; else it was cut.
        completed: bool,
    },
    /// A caller is to be told that its call is over, and no connection of it is here.
    Owed {
        /// The call's name.
        tag: String,
        /// Its caller's address.
        peer: IpAddr,
        /// It came to its end in order; else it was cut.
        completed: bool,
    },
}

impl Word {
    /// As it goes out, with its line end.
    pub fn line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }

    /// Reads a line; `None`: it is no word of this version.
    pub fn read(line: &[u8]) -> Option<Word> {
        serde_json::from_slice(line).ok()
    }
}

/// What the new process has been told before it begins.
#[derive(Debug, Default, PartialEq)]
pub struct Inheritance {
    /// The number of the old process's list; `None`: it has not said its version yet.
    pub seq: Option<u32>,
    /// What it knows of servers.
    pub servers: Vec<Known>,
}

/// What a word meant for an inheritance.
#[derive(Debug, PartialEq)]
pub enum Taken {
    /// There is more to come.
    More,
    /// That was all.
    Whole,
    /// It cannot be used, and why.
    Refused(&'static str),
}

impl Inheritance {
    /// Takes the next word.
    pub fn take(&mut self, word: Word) -> Taken {
        match word {
            Word::Hello { version, .. } if version != VERSION => Taken::Refused("it is of another version"),
            Word::Hello { seq, .. } if self.seq.is_none() => {
                self.seq = Some(seq);
                Taken::More
            }
            Word::Server(known) if self.seq.is_some() && self.servers.len() < SERVERS_MOST => {
                self.servers.push(known);
                Taken::More
            }
            Word::Begin if self.seq.is_some() => Taken::Whole,
            _ => Taken::Refused("its words come out of order"),
        }
    }
}

/// Where this process stands to another at the same address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// There is no other.
    #[default]
    Alone,
    /// This is the new one: the old one still runs.
    Newer,
    /// This is the old one: the new one has started.
    Older {
        /// It takes clients.
        serving: bool,
    },
}

impl Role {
    /// Another process takes clients at this address, so this one may end.
    pub fn succeeded(self) -> bool {
        self == Role::Older { serving: true }
    }

    /// Both share what is one gatekeeper's.
    pub fn shares(self) -> bool {
        self != Role::Alone
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use rstest::rstest;

    use super::*;

    fn known(drains_for: Option<Micros>, silent: bool, report: Option<(Micros, f64)>) -> Word {
        Word::Server(Known { server: "s-1".to_string(), drains_for, silent, report })
    }

    const HELLO: Word = Word::Hello { version: VERSION, seq: 7 };

    #[rstest]
    #[case::whole(vec![HELLO, known(None, false, None), Word::Begin], Taken::Whole)]
    #[case::no_servers(vec![HELLO, Word::Begin], Taken::Whole)]
    #[case::torn(vec![HELLO, known(None, false, None)], Taken::More)]
    #[case::nothing_said(vec![], Taken::More)]
    #[case::other_version(vec![Word::Hello { version: VERSION + 1, seq: 7 }], Taken::Refused("it is of another version"))]
    #[case::no_hello(vec![Word::Begin], Taken::Refused("its words come out of order"))]
    #[case::hello_twice(vec![HELLO, HELLO], Taken::Refused("its words come out of order"))]
    #[case::call_too_early(vec![HELLO, Word::Serving], Taken::Refused("its words come out of order"))]
    fn an_inheritance_is_whole_or_nothing(#[case] words: Vec<Word>, #[case] wanted: Taken) {
        let mut held = Inheritance::default();
        let last = words.into_iter().map(|word| held.take(word)).last();
        assert_eq!(last.unwrap_or(Taken::More), wanted);
    }

    #[rstest]
    #[case::silent(known(None, true, None), Some((false, None)))]
    #[case::fresh(known(None, false, Some((100_000, 40.0))), Some((true, Some(40.0))))]
    #[case::old(known(None, false, Some((2_000_001, 40.0))), None)]
    #[case::no_figure(known(None, false, Some((0, f64::NAN))), None)]
    #[case::below_zero(known(None, false, Some((0, -1.0))), None)]
    #[case::unheard(known(None, false, None), None)]
    fn a_report_counts_while_it_is_fresh(#[case] word: Word, #[case] wanted: Option<(bool, Option<f64>)>) {
        let Word::Server(known) = word else { unreachable!() };
        assert_eq!(known.news().map(|(answered, load)| (answered, load.queue_wait_ms)), wanted);
    }

    proptest! {
        /// What one says the other reads, and noise is no word and no panic.
        #[test]
        fn words_survive_the_wire(tag in "[0-9a-f]{16}", server in "\\PC{0,20}", seq in any::<u32>(), completed in any::<bool>(),
                                  age in any::<u32>(), noise in proptest::collection::vec(any::<u8>(), 0..60)) {
            let peer = IpAddr::from([127, 0, 0, 1]);
            let report = Some((Micros::from(age), 1.5));
            for word in [
                Word::Hello { version: VERSION, seq },
                Word::Server(Known { server: server.clone(), drains_for: Some(3), silent: false, report }),
                Word::Begin,
                Word::Serving,
                Word::Standing(Standing { tag: tag.clone(), server: server.clone(), class: server.clone(), peer }),
                Word::CallerEnds { tag: tag.clone() },
                Word::ServerEnds { server, tag: tag.clone(), completed },
                Word::Owed { tag, peer, completed },
            ] {
                let line = word.line();
                prop_assert_eq!(line.iter().filter(|b| **b == b'\n').count(), 1);
                prop_assert_eq!(Word::read(&line), Some(word));
                prop_assert_eq!(Word::read(&line[..line.len() / 2]), None, "half a word is none");
            }
            let _ = Word::read(&noise);
        }
    }
}
