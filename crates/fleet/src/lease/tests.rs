//! Tests of the replicated lease table.

use super::*;

fn process(id: &str) -> Option<ProcessId> {
    MemberId::new(id).map(|member| ProcessId { member, nonce: 1 })
}

fn change(resource: &str, expected_token: u64, new_owner: Option<ProcessId>) -> Vec<u8> {
    let resource = ResourceName::new(resource).unwrap();
    encode_changes(&[OwnershipChange { resource, expected_token, new_owner }])
}

#[test]
fn tokens_increase_and_outdated_changes_are_ignored() {
    let (mut table, resource) = (LeaseTable::default(), ResourceName::new("release").unwrap());
    assert_eq!(table.apply(3, &change("release", 0, process("n1"))), 1);
    assert_eq!(table.apply(4, &change("release", 0, process("n2"))), 0, "proposed with an outdated token");
    assert_eq!(table.get(&resource), Some(&Assignment { owner: process("n1"), token: 3 }));
    assert_eq!(table.apply(5, &change("release", 3, None)), 1);
    assert_eq!(table.get(&resource), Some(&Assignment { owner: None, token: 3 }));
    assert_eq!(table.apply(9, &change("release", 3, process("n2"))), 1);
    assert_eq!(table.get(&resource).unwrap().token, 9);
    assert_eq!(table.apply(10, b"nonsense"), 0);
}

#[test]
fn number_of_resources_is_bounded() {
    let mut table = LeaseTable::default();
    for n in 0..MAX_RESOURCES as u64 + 5 {
        table.apply(n + 1, &change(&format!("w{n}"), 0, process("n1")));
    }
    assert_eq!(table.iter().count(), MAX_RESOURCES);
}
