//! Tests of the distribution, expiry and release of leases at the leader.

use super::*;
use crate::lease::encode_changes;
use crate::member::MemberId;
use crate::quorum::machine::StateMachine;

const LEASE: Micros = 1_000;

fn process(n: usize) -> ProcessId {
    ProcessId { member: MemberId::new(&format!("n{n}")).unwrap(), nonce: 1 }
}

fn request(n: usize, resources: usize) -> LeaseRequest {
    let wanted = (0..resources).map(|w| ResourceName::new(&format!("w{w}")).unwrap()).collect();
    LeaseRequest { requester: process(n), number: 1, wanted, released: Vec::new() }
}

fn assign(table: &mut LeaseTable, resource: &ResourceName, owner: ProcessId) {
    let change = OwnershipChange { resource: resource.clone(), expected_token: 0, new_owner: Some(owner) };
    table.apply(1, &encode_changes(&[change]));
}

fn owned_counts(table: &LeaseTable, members: usize) -> Vec<usize> {
    let of = |n| table.iter().filter(|(_, a)| a.owner.as_ref() == Some(&process(n))).count();
    (0..members).map(of).collect()
}

/// A thousand resources are distributed evenly over five members. When one member fails, its resources are distributed
/// over the others once its leases have expired, and no other resource changes its owner.
#[test]
fn resources_are_distributed_evenly_and_only_those_of_a_failed_member_move() {
    let (mut manager, mut table, mut index) = (LeaseManager::new(0, LEASE), LeaseTable::default(), 0);
    let mut assign_all = |manager: &mut LeaseManager, table: &mut LeaseTable, now, members: &[usize]| {
        for n in members {
            manager.handle_request(now, &request(*n, 1_000), table);
        }
        let mut rounds = 0;
        loop {
            let changes = manager.next_changes(now, table);
            if changes.is_empty() {
                return rounds;
            }
            assert!(changes.len() <= MAX_CHANGES_PER_COMMAND);
            index += 1;
            rounds += 1;
            table.apply(index, &encode_changes(&changes));
        }
    };
    assign_all(&mut manager, &mut table, 0, &[0, 1, 2, 3, 4]);
    assert_eq!(owned_counts(&table, 5), [200; 5]);
    for n in 0..5 {
        manager.answer(0, &request(n, 1_000), &table);
    }
    let before = table.clone();
    assert_eq!(
        assign_all(&mut manager, &mut table, 500, &[0, 1, 2, 3]),
        0,
        "the failed member's leases have not expired"
    );
    for n in 0..4 {
        manager.answer(1_000, &request(n, 1_000), &table);
    }
    let rounds = assign_all(&mut manager, &mut table, leader_lease(LEASE), &[0, 1, 2, 3]);
    assert_eq!(
        (owned_counts(&table, 5), rounds),
        (vec![250, 250, 250, 250, 0], 200usize.div_ceil(MAX_CHANGES_PER_COMMAND))
    );
    let moved = before.iter().filter(|(resource, a)| table.get(resource) != Some(*a)).count();
    assert_eq!(moved, 200);
}

#[test]
fn new_leader_reassigns_no_owned_resource_for_one_lease() {
    let (mut table, resource) = (LeaseTable::default(), ResourceName::new("w0").unwrap());
    assign(&mut table, &resource, process(0));
    let mut manager = LeaseManager::new(50, LEASE);
    manager.handle_request(50 + leader_lease(LEASE) - 1, &request(1, 1), &table);
    assert_eq!(manager.next_changes(50 + leader_lease(LEASE) - 1, &table), []);
    assert_eq!(manager.next_changes(50 + leader_lease(LEASE), &table)[0].new_owner, Some(process(1)));
}

/// A resource that its owner has released is assigned to the next owner without waiting for the lease to expire.
#[test]
fn released_resource_is_reassigned_without_waiting_for_its_lease() {
    let (mut table, resource) = (LeaseTable::default(), ResourceName::new("w0").unwrap());
    assign(&mut table, &resource, process(0));
    let mut manager = LeaseManager::new(0, LEASE);
    manager.handle_request(5, &request(1, 1), &table);
    let released = vec![OwnedResource { resource: resource.clone(), token: 1 }];
    manager.handle_request(5, &LeaseRequest { wanted: Vec::new(), released, ..request(0, 0) }, &table);
    let changes = manager.next_changes(5, &table);
    let freed = OwnershipChange { resource: resource.clone(), expected_token: 1, new_owner: None };
    assert_eq!(changes, [freed]);
    table.apply(2, &encode_changes(&changes));
    let changes = manager.next_changes(6, &table);
    let assigned = OwnershipChange { resource, expected_token: 1, new_owner: Some(process(1)) };
    assert_eq!(changes, [assigned]);
}
