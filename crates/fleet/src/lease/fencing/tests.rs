//! Tests of the fencing guard.

use super::*;

fn effect(token: u64) -> Effect<u64> {
    Effect::new(ResourceName::new("release").unwrap(), token, token)
}

#[test]
fn effect_with_a_lower_token_is_rejected_after_a_higher_one() {
    let (mut guard, resource) = (FencingGuard::default(), ResourceName::new("release").unwrap());
    assert_eq!(
        guard.check(effect(5)).err(),
        Some(FencingError::UnknownToken),
        "no token is known after the start"
    );
    guard.record_current_token(&resource, 4);
    assert_eq!(guard.check(effect(4)).map(|c| c.carry_out(|e| e)).unwrap(), 4);
    assert_eq!(guard.check(effect(7)).map(|c| c.carry_out(|e| e)).unwrap(), 7);
    assert_eq!(guard.check(effect(4)).err(), Some(FencingError::StaleToken { current: 7 }));
    guard.record_current_token(&resource, 6);
    let stale = guard.check(effect(6)).err();
    assert_eq!(
        stale,
        Some(FencingError::StaleToken { current: 7 }),
        "a late report must not lower the token"
    );
}
