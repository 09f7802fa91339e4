//! Tests of the server list: the DNS client against a simulated resolver, and the directory of server ids.

mod peers;

use std::cell::RefCell;
use std::rc::Rc;

use cobaltspool::list::resolver::{LastListTime, Service, poll_list};
use cobaltspool::list::{Directory, ListedServer};
use cobaltspool::{EndpointListScope, PoolId, ServerId, ServerStatus};
use peers::*;
use rstest::rstest;
use tokio::sync::watch;

fn listed(id: &str, port: u16, status: ServerStatus) -> ListedServer {
    ListedServer {
        id: id.into(),
        address: ([127, 0, 0, 1], port).into(),
        pool: PoolId(2),
        started_at: 0,
        status,
    }
}

/// Polls a service until a list satisfies the condition, and returns that list.
async fn poll_until(
    resolver: &Resolver,
    service: Service,
    condition: impl Fn(&[ListedServer]) -> bool,
) -> Vec<ListedServer> {
    let last = Rc::new(RefCell::new(None));
    let on_list = |_, _, list: Vec<ListedServer>| *last.borrow_mut() = Some(list).filter(|l| condition(l));
    let found = async {
        while last.borrow().is_none() {
            tokio::task::yield_now().await;
        }
    };
    let last_list_at = LastListTime::default();
    tokio::select! {
        () = poll_list(watch::channel(resolver.address).1, service, None, &last_list_at, on_list) => {}
        () = found => {}
        () = tokio::time::sleep(PATIENCE) => panic!("expected list not received"),
    }
    last.take().unwrap()
}

#[rstest]
#[case::srv(Service::Srv("_back._tcp.pool.lan".into()), false)]
#[case::dns_sd(Service::DnsSd("_sip._udp.pool.lan".into()), false)]
#[case::srv_without_additional_records(Service::Srv("_back._tcp.pool.lan".into()), true)]
#[case::dns_sd_without_additional_records(Service::DnsSd("_sip._udp.pool.lan".into()), true)]
#[tokio::test(flavor = "current_thread")]
async fn list_is_polled_despite_lost_queries(#[case] service: Service, #[case] without_additional: bool) {
    let addresses = [5071, 5072].map(|port| ([127, 0, 0, 1], port).into());
    let resolver = Resolver::new(vec![line("s-1", addresses[0], 2), line("s-2", addresses[1], 2)]);
    let resolver = if without_additional { resolver.lean() } else { resolver };
    let mut list = poll_until(&resolver, service.clone(), |l| l.len() == 2).await;
    list.sort_by_key(|l| l.address.port());
    let up = |id, port| listed(id, port, ServerStatus::Up);
    assert_eq!(list, [up("s-1", 5071), up("s-2", 5072)]);
    resolver.change(2, |list| {
        list[0].draining = true;
        list.pop();
    });
    let list = poll_until(&resolver, service, |l| l.len() == 1).await;
    assert_eq!((&*list[0].id, list[0].status), ("s-1", ServerStatus::Draining));
}

#[test]
fn servers_are_identified_by_id_not_by_address() {
    let mut directory = Directory::default();
    let first = vec![listed("a", 1, ServerStatus::Up), listed("b", 2, ServerStatus::Up)];
    let (entries, changes) = directory.apply(EndpointListScope::Restored, first);
    assert_eq!(entries.iter().map(|e| e.server).collect::<Vec<_>>(), [ServerId(0), ServerId(1)]);
    assert!(changes.closed.is_empty() && changes.removed.is_empty());
    let (entries, changes) =
        directory.apply(EndpointListScope::Complete, vec![listed("c", 1, ServerStatus::Up)]);
    assert_eq!(entries[0].server, ServerId(2), "a new server at a previous server's address");
    assert_eq!(
        changes.removed,
        [ServerId(0), ServerId(1)],
        "servers missing from a complete list are removed"
    );
    assert_eq!((directory.address(ServerId(0)), directory.is_up(ServerId(2))), (None, true));
}

#[test]
fn changes_do_not_affect_other_entries() {
    let mut directory = Directory::default();
    directory.apply(
        EndpointListScope::Complete,
        vec![listed("a", 1, ServerStatus::Up), listed("b", 2, ServerStatus::Up)],
    );
    let (_, changes) =
        directory.apply(EndpointListScope::Changes, vec![listed("a", 1, ServerStatus::Draining)]);
    assert_eq!((changes.closed, changes.removed), (vec![ServerId(0)], vec![]));
    let (_, changes) =
        directory.apply(EndpointListScope::Changes, vec![listed("a", 1, ServerStatus::Removed)]);
    assert_eq!(changes.removed, [ServerId(0)]);
    let restarted = ListedServer { started_at: 9, ..listed("b", 2, ServerStatus::Up) };
    let (_, changes) = directory.apply(EndpointListScope::Changes, vec![restarted]);
    assert_eq!(changes.restarted, [(ServerId(1), 9)], "the same server with a new process");
    assert_eq!((directory.is_up(ServerId(1)), directory.name(ServerId(1))), (true, "b"));
}

/// An invalid answer must change nothing: an error response read as an empty list, or an older list, would remove
/// every server.
#[rstest]
#[case::failure(Slip::Failure)]
#[case::other_id(Slip::OtherId)]
#[case::cut_short(Slip::Short)]
#[case::older(Slip::Older)]
#[tokio::test(flavor = "current_thread")]
async fn invalid_answer_is_ignored(#[case] slip: Slip) {
    let resolver = Resolver::new(vec![line("s-1", ([127, 0, 0, 1], 5071).into(), 2)]).numbered(7);
    let list_sizes = RefCell::new(Vec::new());
    let service = Service::Srv("_back._tcp.pool.lan".into());
    let address = watch::channel(resolver.address).1;
    let on_list = |_, _, list: Vec<ListedServer>| list_sizes.borrow_mut().push(list.len());
    let scenario = async {
        let lists_received = async |n: usize| {
            while list_sizes.borrow().len() < n {
                tokio::task::yield_now().await;
            }
        };
        lists_received(1).await;
        resolver.slip(Some(slip));
        tokio::task::spawn_blocking({
            let resolver = resolver.clone();
            move || resolver.asked_often(2)
        })
        .await
        .unwrap();
        resolver.slip(None);
        resolver.change(0, |list| list.push(line("s-2", ([127, 0, 0, 1], 5072).into(), 2)));
        lists_received(2).await;
    };
    let last_list_at = LastListTime::default();
    tokio::select! {
        () = poll_list(address, service, None, &last_list_at, on_list) => {}
        () = scenario => {}
        () = tokio::time::sleep(PATIENCE) => panic!("expected list not received"),
    }
    assert_eq!(*list_sizes.borrow(), [1, 2], "sizes of the reported lists");
}

/// An answer that arrives after the next query was sent is used. An answer that arrives after the answer to the next
/// query is ignored, even if lists have no versions.
#[rstest]
#[case::late(Slip::Late, false)]
#[case::late_without_versions(Slip::Late, true)]
#[case::overtaken(Slip::Overtaken, false)]
#[case::overtaken_without_versions(Slip::Overtaken, true)]
#[tokio::test(flavor = "current_thread")]
async fn late_answer_is_used_unless_a_later_one_arrived(#[case] slip: Slip, #[case] unversioned: bool) {
    let mut resolver = Resolver::new(vec![line("s-1", ([127, 0, 0, 1], 5071).into(), 2)]).numbered(7);
    if unversioned {
        resolver = resolver.unnumbered();
    }
    let list_sizes = RefCell::new(Vec::new());
    let service = Service::Srv("_back._tcp.pool.lan".into());
    let address = watch::channel(resolver.address).1;
    let on_list = |_, _, list: Vec<ListedServer>| list_sizes.borrow_mut().push(list.len());
    let scenario = async {
        for (n, id) in (1..).zip(["s-2", "s-3", "s-4", "s-5", "s-6"]) {
            while list_sizes.borrow().len() < n {
                tokio::task::yield_now().await;
            }
            resolver.slip(Some(slip));
            // One query is answered with the old list, the next with the new one.
            tokio::task::spawn_blocking({
                let resolver = resolver.clone();
                move || resolver.asked_often(1)
            })
            .await
            .unwrap();
            let address = ([127, 0, 0, 1], 5072 + n as u16).into();
            resolver.change(0, |list| list.push(line(id, address, 2)));
        }
    };
    let last_list_at = LastListTime::default();
    tokio::select! {
        () = poll_list(address, service, None, &last_list_at, on_list) => {}
        () = scenario => {}
        () = tokio::time::sleep(PATIENCE) => panic!("expected list not received: {:?}", list_sizes.borrow()),
    }
    assert_eq!(*list_sizes.borrow(), [1, 2, 3, 4, 5], "sizes of the reported lists");
}
