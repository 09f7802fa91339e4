//! The checker is seen to fail.

use super::*;

/// The checker is seen to fail.
#[test]
fn a_lower_token_after_a_higher_one_is_told() {
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
