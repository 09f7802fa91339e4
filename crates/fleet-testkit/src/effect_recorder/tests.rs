//! Proves that the token order check rejects faulty sequences.

use super::*;

/// A lower token after a higher one, and one token used by two owners, are errors; a fenced-off effect is not.
#[test]
fn token_order_check_rejects_decreasing_and_shared_tokens() {
    let row = |token, owner: &str, executed| ReceivedEffect {
        received_at: Instant::now(),
        resource: "w".into(),
        token,
        owner: owner.into(),
        executed,
    };
    assert_eq!(check_token_order(&[row(1, "a", true), row(4, "b", true), row(1, "a", false)]), Ok(2));
    assert!(check_token_order(&[row(4, "b", true), row(1, "a", true)]).is_err());
    assert!(check_token_order(&[row(4, "b", true), row(4, "a", true)]).is_err());
}
