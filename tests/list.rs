//! The list of servers: the resolver's client against a stand-in, and who is who.

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

/// Follows a service until the list satisfies, and returns it.
async fn until(
    resolver: &Resolver,
    service: Service,
    enough: impl Fn(&[ListedServer]) -> bool,
) -> Vec<ListedServer> {
    let last = Rc::new(RefCell::new(None));
    let on_list = |_, _, list: Vec<ListedServer>| *last.borrow_mut() = Some(list).filter(|l| enough(l));
    let found = async {
        while last.borrow().is_none() {
            tokio::task::yield_now().await;
        }
    };
    let heard = LastListTime::default();
    tokio::select! {
        () = poll_list(watch::channel(resolver.address).1, service, None, &heard, on_list) => {}
        () = found => {}
        () = tokio::time::sleep(PATIENCE) => panic!("no such list came"),
    }
    last.take().unwrap()
}

#[rstest]
#[case::srv(Service::Srv("_back._tcp.pool.lan".into()), false)]
#[case::dns_sd(Service::DnsSd("_sip._udp.pool.lan".into()), false)]
#[case::srv_without_extras(Service::Srv("_back._tcp.pool.lan".into()), true)]
#[case::dns_sd_without_extras(Service::DnsSd("_sip._udp.pool.lan".into()), true)]
#[tokio::test(flavor = "current_thread")]
async fn a_list_is_followed_through_loss(#[case] service: Service, #[case] lean: bool) {
    let addresses = [5071, 5072].map(|port| ([127, 0, 0, 1], port).into());
    let resolver = Resolver::new(vec![line("s-1", addresses[0], 2), line("s-2", addresses[1], 2)]);
    let resolver = if lean { resolver.lean() } else { resolver };
    let mut list = until(&resolver, service.clone(), |l| l.len() == 2).await;
    list.sort_by_key(|l| l.address.port());
    let up = |id, port| listed(id, port, ServerStatus::Up);
    assert_eq!(list, [up("s-1", 5071), up("s-2", 5072)]);
    resolver.change(2, |list| {
        list[0].draining = true;
        list.pop();
    });
    let list = until(&resolver, service, |l| l.len() == 1).await;
    assert_eq!((&*list[0].id, list[0].status), ("s-1", ServerStatus::Draining));
}

#[test]
fn servers_are_known_by_id_not_by_address() {
    let mut directory = Directory::default();
    let first = vec![listed("a", 1, ServerStatus::Up), listed("b", 2, ServerStatus::Up)];
    let (entries, changes) = directory.apply(EndpointListScope::Restored, first);
    assert_eq!(entries.iter().map(|e| e.server).collect::<Vec<_>>(), [ServerId(0), ServerId(1)]);
    assert!(changes.closed.is_empty() && changes.removed.is_empty());
    let (entries, changes) =
        directory.apply(EndpointListScope::Complete, vec![listed("c", 1, ServerStatus::Up)]);
    assert_eq!(entries[0].server, ServerId(2), "a new machine at an old address");
    assert_eq!(changes.removed, [ServerId(0), ServerId(1)], "missing from a whole list is gone");
    assert_eq!((directory.address(ServerId(0)), directory.is_up(ServerId(2))), (None, true));
}

#[test]
fn changes_leave_the_other_lines_alone() {
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
    let again = ListedServer { started_at: 9, ..listed("b", 2, ServerStatus::Up) };
    let (_, changes) = directory.apply(EndpointListScope::Changes, vec![again]);
    assert_eq!(changes.restarted, [(ServerId(1), 9)], "the same machine, another process");
    assert_eq!((directory.is_up(ServerId(1)), directory.name(ServerId(1))), (true, "b"));
}

/// What is no good answer changes nothing: a failure read as an empty list, or an older list, would take every
/// server away.
#[rstest]
#[case::failure(Slip::Failure)]
#[case::other_id(Slip::OtherId)]
#[case::cut_short(Slip::Short)]
#[case::older(Slip::Older)]
#[tokio::test(flavor = "current_thread")]
async fn a_spoilt_answer_is_no_list(#[case] slip: Slip) {
    let resolver = Resolver::new(vec![line("s-1", ([127, 0, 0, 1], 5071).into(), 2)]).numbered(7);
    let seen = RefCell::new(Vec::new());
    let service = Service::Srv("_back._tcp.pool.lan".into());
    let told = watch::channel(resolver.address).1;
    let on_list = |_, _, list: Vec<ListedServer>| seen.borrow_mut().push(list.len());
    let story = async {
        let came = async |n: usize| {
            while seen.borrow().len() < n {
                tokio::task::yield_now().await;
            }
        };
        came(1).await;
        resolver.slip(Some(slip));
        tokio::task::spawn_blocking({
            let resolver = resolver.clone();
            move || resolver.asked_often(2)
        })
        .await
        .unwrap();
        resolver.slip(None);
        resolver.change(0, |list| list.push(line("s-2", ([127, 0, 0, 1], 5072).into(), 2)));
        came(2).await;
    };
    let heard = LastListTime::default();
    tokio::select! {
        () = poll_list(told, service, None, &heard, on_list) => {}
        () = story => {}
        () = tokio::time::sleep(PATIENCE) => panic!("no such list came"),
    }
    assert_eq!(*seen.borrow(), [1, 2], "sizes of the lists taken");
}

/// Answers that come after the next question are taken; one that comes after its successor's is not, though it has no number.
#[rstest]
#[case::late(Slip::Late, false)]
#[case::late_without_numbers(Slip::Late, true)]
#[case::overtaken(Slip::Overtaken, false)]
#[case::overtaken_without_numbers(Slip::Overtaken, true)]
#[tokio::test(flavor = "current_thread")]
async fn a_late_answer_counts_unless_a_later_one_came(#[case] slip: Slip, #[case] unnumbered: bool) {
    let mut resolver = Resolver::new(vec![line("s-1", ([127, 0, 0, 1], 5071).into(), 2)]).numbered(7);
    if unnumbered {
        resolver = resolver.unnumbered();
    }
    let seen = RefCell::new(Vec::new());
    let service = Service::Srv("_back._tcp.pool.lan".into());
    let told = watch::channel(resolver.address).1;
    let on_list = |_, _, list: Vec<ListedServer>| seen.borrow_mut().push(list.len());
    let story = async {
        for (n, id) in (1..).zip(["s-2", "s-3", "s-4", "s-5", "s-6"]) {
            while seen.borrow().len() < n {
                tokio::task::yield_now().await;
            }
            resolver.slip(Some(slip));
            // One question on the old list, the next on the new one.
            tokio::task::spawn_blocking({
                let resolver = resolver.clone();
                move || resolver.asked_often(1)
            })
            .await
            .unwrap();
            let at = ([127, 0, 0, 1], 5072 + n as u16).into();
            resolver.change(0, |list| list.push(line(id, at, 2)));
        }
    };
    let heard = LastListTime::default();
    tokio::select! {
        () = poll_list(told, service, None, &heard, on_list) => {}
        () = story => {}
        () = tokio::time::sleep(PATIENCE) => panic!("no such list came: {:?}", seen.borrow()),
    }
    assert_eq!(*seen.borrow(), [1, 2, 3, 4, 5], "sizes of the lists taken");
}
