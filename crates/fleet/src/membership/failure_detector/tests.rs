//! Suspicion timeouts and helpers.

use super::*;
use crate::codec::example_record;
use crate::membership::MembershipConfig;

#[test]
fn more_doubters_make_it_quicker_and_a_larger_fleet_slower() {
    let setup = MembershipConfig {
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
    let mut membership = Membership::new(0, setup, 1);
    for n in 0..9 {
        membership.table.insert(0, example_record(&format!("m{n}"), 1, 0, MemberState::Alive));
    }
    let times: Vec<Micros> = (1..=4).map(|doubters| membership.suspicion_timeout(doubters)).collect();
    assert!(times.is_sorted_by(|a, b| a > b), "{times:?}");
    assert_eq!((times[0], times[3]), (12_000, 4_000));
    for n in 9..99 {
        membership.table.insert(0, example_record(&format!("m{n}"), 1, 0, MemberState::Alive));
    }
    assert_eq!(membership.suspicion_timeout(4), 8_000);
}
