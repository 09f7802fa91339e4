//! What stands before every effect of an owner, where it is received. The receiver checks item and token at the moment it acts: an
//! effect of a token below the highest that it knows is not carried out, and one that has just started carries none out
//! before a majority has told it the item's present token, so that a receiver that forgot cannot be led by an old owner.
//!
//! What an effect does is behind a type: nothing but [`Fence::check`] makes a [`Checked`], and nothing else can be carried out.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{WORKS_MOST, Work};

/// An effect as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect<E> {
    /// The item that it is for.
    pub work: Work,
    /// The owner's token.
    pub token: u64,
    what: E,
}

impl<E> Effect<E> {
    /// An effect of an item's owner.
    pub fn new(work: Work, token: u64, what: E) -> Effect<E> {
        Effect { work, token, what }
    }
}

/// An effect that may be carried out, now.
#[derive(Debug)]
pub struct Checked<E>(E);

impl<E> Checked<E> {
    /// Carries it out.
    pub fn carry_out<T>(self, act: impl FnOnce(E) -> T) -> T {
        act(self.0)
    }
}

/// Why an effect is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    /// The present token is not known yet: ask a majority, then tell [`Fence::learn`] and check again.
    Unknown,
    /// A later owner is known.
    Late {
        /// Its token.
        present: u64,
    },
}

/// A receiver's memory, from its start on.
#[derive(Clone, Debug, Default)]
pub struct Fence {
    present: BTreeMap<Work, u64>,
}

impl Fence {
    /// A majority says that this is the item's present token, at a moment after this receiver had started.
    pub fn learn(&mut self, work: &Work, token: u64) {
        if self.present.len() >= WORKS_MOST && !self.present.contains_key(work) {
            return; // there are no more items than that; its effects stay unknown
        }
        let present = self.present.entry(work.clone()).or_default();
        *present = token.max(*present);
    }

    /// Checks an effect. Call it in the same step that carries the effect out.
    pub fn check<E>(&mut self, effect: Effect<E>) -> Result<Checked<E>, Held> {
        let Some(present) = self.present.get_mut(&effect.work) else { return Err(Held::Unknown) };
        if effect.token < *present {
            return Err(Held::Late { present: *present });
        }
        *present = effect.token;
        Ok(Checked(effect.what))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn effect(token: u64) -> Effect<u64> {
        Effect::new(Work::new("release").unwrap(), token, token)
    }

    #[test]
    fn a_lower_token_is_not_carried_out_after_a_higher_one() {
        let (mut fence, work) = (Fence::default(), Work::new("release").unwrap());
        assert_eq!(fence.check(effect(5)).err(), Some(Held::Unknown), "it has just started");
        fence.learn(&work, 4);
        assert_eq!(fence.check(effect(4)).map(|c| c.carry_out(|e| e)).unwrap(), 4);
        assert_eq!(fence.check(effect(7)).map(|c| c.carry_out(|e| e)).unwrap(), 7);
        assert_eq!(fence.check(effect(4)).err(), Some(Held::Late { present: 7 }));
        fence.learn(&work, 6);
        assert_eq!(fence.check(effect(6)).err(), Some(Held::Late { present: 7 }), "an answer that came late");
    }
}
