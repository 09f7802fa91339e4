//! The fencing guard before every effect of an owner, where it is received. The receiver checks resource and token at the moment it
//! acts: an effect of a token below the highest that it knows is not carried out, and one that has just started carries none
//! out before a majority has told it the resource's current token, so that a receiver that forgot cannot be led by an old owner.
//!
//! What an effect does is behind a type: nothing but [`FencingGuard::check`] makes a [`CheckedEffect`], and nothing else can be
//! carried out.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{MAX_RESOURCES, ResourceName};

/// An effect as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect<E> {
    /// The resource that it is for.
    pub resource: ResourceName,
    /// The owner's token.
    pub token: u64,
    effect: E,
}

impl<E> Effect<E> {
    /// An effect of a resource's owner.
    pub fn new(resource: ResourceName, token: u64, effect: E) -> Effect<E> {
        Effect { resource, token, effect }
    }
}

/// An effect that may be carried out, now.
#[derive(Debug)]
pub struct CheckedEffect<E>(E);

impl<E> CheckedEffect<E> {
    /// Carries it out.
    pub fn carry_out<T>(self, act: impl FnOnce(E) -> T) -> T {
        act(self.0)
    }
}

/// Why an effect is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FencingError {
    /// The current token is not known yet: ask a majority, then call [`FencingGuard::record_current_token`] and check again.
    #[error("the resource's current token is not known yet")]
    UnknownToken,
    /// A later owner is known.
    #[error("a later owner holds token {current}")]
    StaleToken {
        /// Its token.
        current: u64,
    },
}

/// The tokens that a receiver knows, from its start on.
#[derive(Clone, Debug, Default)]
pub struct FencingGuard {
    tokens: BTreeMap<ResourceName, u64>,
}

impl FencingGuard {
    /// A majority says that this is the resource's current token, at a moment after this receiver had started.
    pub fn record_current_token(&mut self, resource: &ResourceName, token: u64) {
        if self.tokens.len() >= MAX_RESOURCES && !self.tokens.contains_key(resource) {
            return; // there are no more resources than that; its effects stay unknown
        }
        let current = self.tokens.entry(resource.clone()).or_default();
        *current = token.max(*current);
    }

    /// Checks an effect. Call it in the same step that carries the effect out.
    ///
    /// # Errors
    /// Where the effect is not of the current owner, or that is not known.
    pub fn check<E>(&mut self, effect: Effect<E>) -> Result<CheckedEffect<E>, FencingError> {
        let current = self.tokens.get_mut(&effect.resource).ok_or(FencingError::UnknownToken)?;
        if effect.token < *current {
            return Err(FencingError::StaleToken { current: *current });
        }
        *current = effect.token;
        Ok(CheckedEffect(effect.effect))
    }
}

#[cfg(test)]
mod tests;
