//! The fencing guard, which checks every effect of an owner at its receiver. The receiver checks the resource and the
//! token at the moment it executes the effect, and rejects a token below the highest known one. After a start it
//! executes no effect on a resource until a majority has reported the resource's current token. Otherwise a receiver
//! that lost its state in a restart could execute effects of an earlier owner.
//!
//! The types enforce the check: only [`FencingGuard::check`] creates a [`CheckedEffect`], and only a checked effect can
//! be carried out.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{MAX_RESOURCES, ResourceName};

/// An effect as sent by an owner; not checked yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect<E> {
    /// The resource on which the owner acts.
    pub resource: ResourceName,
    /// The owner's fencing token.
    pub token: u64,
    effect: E,
}

impl<E> Effect<E> {
    /// Creates an effect of a resource's owner.
    pub fn new(resource: ResourceName, token: u64, effect: E) -> Effect<E> {
        Effect { resource, token, effect }
    }
}

/// An effect that has passed the fencing check and may be carried out immediately.
#[derive(Debug)]
pub struct CheckedEffect<E>(E);

impl<E> CheckedEffect<E> {
    /// Carries out the effect by calling `act`.
    pub fn carry_out<T>(self, act: impl FnOnce(E) -> T) -> T {
        act(self.0)
    }
}

/// Why an effect is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FencingError {
    /// The current token is not known yet. Query a majority, call [`FencingGuard::record_current_token`] and check
    /// again.
    #[error("the current token of the resource is not known yet")]
    UnknownToken,
    /// A later owner with a higher token is known.
    #[error("stale token: a later owner has token {current}")]
    StaleToken {
        /// The token of the later owner.
        current: u64,
    },
}

/// The highest token per resource that a receiver has seen since its start.
#[derive(Clone, Debug, Default)]
pub struct FencingGuard {
    tokens: BTreeMap<ResourceName, u64>,
}

impl FencingGuard {
    /// Records the current token of a resource. It must have been confirmed by a majority after this receiver started.
    pub fn record_current_token(&mut self, resource: &ResourceName, token: u64) {
        if self.tokens.len() >= MAX_RESOURCES && !self.tokens.contains_key(resource) {
            return; // the fleet has at most MAX_RESOURCES; effects on any other resource stay rejected
        }
        let current = self.tokens.entry(resource.clone()).or_default();
        *current = token.max(*current);
    }

    /// Checks an effect. Must be called in the same step that carries out the effect.
    ///
    /// # Errors
    /// Fails if the effect does not come from the current owner, or the current token is not known.
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
