//! Suspicion timeouts.

use super::*;
use crate::codec::example_record;
use crate::membership::MembershipConfig;

#[test]
fn suspicion_timeout_shrinks_with_reporters_and_grows_with_the_fleet() {
    let config = MembershipConfig {
        id: MemberId::new("me").unwrap(),
        zone: "".into(),
        version: "".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        seeds: Vec::new(),
        configured: Vec::new(),
        period: 1000,
        retention: 1_000_000,
        nonce: 1,
    };
    let mut membership = Membership::new(0, config, 1);
    for n in 0..9 {
        membership.table.insert(0, example_record(&format!("m{n}"), 1, 0, MemberState::Alive));
    }
    let timeouts: Vec<Micros> = (1..=4).map(|reporters| membership.suspicion_timeout(reporters)).collect();
    assert!(timeouts.is_sorted_by(|a, b| a > b), "{timeouts:?}");
    assert_eq!((timeouts[0], timeouts[3]), (12_000, 4_000));
    for n in 9..99 {
        membership.table.insert(0, example_record(&format!("m{n}"), 1, 0, MemberState::Alive));
    }
    assert_eq!(membership.suspicion_timeout(4), 8_000);
}
