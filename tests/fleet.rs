//! Stories of a fleet: several real gatekeepers between links that are broken, and calls all the while. Each ends with
//! invariant 1 checked over all that was seen: the same list everywhere, the true one, within the settling bound.

mod peers;

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use cobaltspool_fleet::codec::{self, Frame, FrameKind, Key};
use cobaltspool_fleet::member::MemberState;
use cobaltspool_fleet_testkit::TestFleet;
use cobaltspool_fleet_testkit::history::FleetView;
use cobaltspool_fleet_testkit::link::Fault;
use peers::site::*;
use peers::*;
use serde_json::{Value, json};

/// Every one of these holds the member so.
fn hold(fleet: &TestFleet, seen: &[Option<FleetView>], id: &str, state: &str) -> Result<(), String> {
    let wrong = fleet.members.iter().zip(seen).find(|(member, seen)| {
        member.is_running() && member.id != id && seen.as_ref().is_none_or(|s| s.state_of(id) != state)
    });
    wrong.map_or(Ok(()), |(member, seen)| {
        Err(format!("{} holds {id} {:?}", member.id, seen.as_ref().map(|s| s.state_of(id))))
    })
}

/// Killed, it is down everywhere; started again, with nothing kept of its first life, it is the same member and a newer start.
#[test]
fn a_killed_member_is_down_and_its_next_start_is_alive() {
    let mut site = site(5, true);
    let calls = Calls::at(&gates(&site.fleet, [0, 1, 2, 4]));
    // The fronts hear how many share the servers: one by the configuration, five by the view, in one step or several.
    let told = site.fleet.members[0].wait_for_log(" to=5");
    assert!(told.contains("gatekeepers that share the servers"), "{told}");
    site.fleet.kill(3);
    let bound = site.fleet.settling_bound() + Duration::from_secs(10);
    site.fleet.wait_until("n3 is down", bound, |fleet, seen| hold(fleet, seen, "n3", "down"));
    site.fleet.start_member(3);
    site.fleet.wait_until_settled("n3 is back");
    for seen in site.fleet.poll_views().into_iter().flatten() {
        assert_eq!(seen.member_json("n3")["incarnation"], 2, "above that of its first start");
    }
    calls.all_answered();
    site.checked();
}

/// Stopped for longer than the bound, it is buried by the others, buries nobody when it goes on, and is back.
#[test]
fn a_stopped_member_doubts_itself_first() {
    let mut site = site(6, true);
    let calls = Calls::at(&gates(&site.fleet, [0, 1]));
    for n in 3..6 {
        site.fleet.set_paused(n, true);
    }
    let bound = site.fleet.settling_bound() + Duration::from_secs(10);
    site.fleet.wait_until("half are down", bound, |fleet, seen| {
        ["n3", "n4", "n5"].iter().try_for_each(|id| hold(fleet, seen, id, "down"))
    });
    for n in 3..6 {
        site.fleet.set_paused(n, false);
    }
    site.fleet.wait_until_settled("they are back");
    for n in 3..6 {
        let lines = site.fleet.members[n].log_lines();
        assert!(lines.iter().any(|l| l.contains("missed time")), "{lines:#?}");
        let own = format!("by=n{n}");
        assert!(
            !lines.iter().any(|l| l.contains("down") && l.contains(&own)),
            "it buried somebody: {lines:#?}"
        );
    }
    calls.all_answered();
    site.checked();
}

/// The clock that somebody may set is stepped by an hour both ways, in living members and before a start: nobody misses time, nobody
/// is doubted, no call waits.
#[test]
fn a_step_of_the_wall_clock_moves_nothing() {
    let mut site = site(5, true);
    site.fleet.kill(3);
    site.fleet.members[3].fail_points = "wall=return(-3600)".to_string();
    site.fleet.start_member(3);
    site.fleet.wait_until_settled("one is an hour behind from its start on");
    let calls = Calls::at(&gates(&site.fleet, [0, 2, 3]));
    let before: Vec<usize> = site.fleet.members.iter().map(|m| m.log_lines().len()).collect();
    for (n, by) in [(0, 3600), (1, -3600), (2, 7200), (0, -3600), (3, 0)] {
        site.fleet.members[n].set_fail_point("wall", &format!("return({by})"));
        site.fleet.poll_for(PERIOD * 6);
    }
    for (member, before) in site.fleet.members.iter().zip(before) {
        let lines = member.log_lines().split_off(before);
        let doubts = |l: &String| ["suspect", "down", "missed time"].iter().any(|w| l.contains(w));
        assert!(!lines.iter().any(doubts), "{}: {lines:#?}", member.id);
    }
    calls.all_answered();
    site.fleet.wait_until_settled("it is as it was");
    site.checked();
}

#[test]
fn thirty_starts_in_a_row_leave_one_member() {
    let mut site = site(5, true);
    for _ in 0..30 {
        site.fleet.kill(2);
        site.fleet.start_member(2);
    }
    site.fleet.wait_until_settled("the last start is the member");
    site.checked();
}

/// Cut in two for longer than the dead are remembered; healed while one is started anew, all are one fleet again. The halves share no
/// seed: the one member that had led to the other half is gone by then.
#[test]
fn two_halves_that_forgot_each_other_join_again() {
    let mut site = site_by(6, true, |config| {
        config.down_retention = PERIOD * 8;
        config.seeds = |n| match n {
            0..=3 => vec![0],
            _ => vec![3],
        };
    });
    let calls = Calls::at(&gates(&site.fleet, [0, 1, 2, 4]));
    let half = set([0, 1, 2]);
    site.fleet.links.cut(&half, &site.fleet.links.others(&half), true);
    site.fleet.history.record_disturbance();
    let bound = site.fleet.settling_bound() + Duration::from_secs(10);
    site.fleet.wait_until("each half is alone", bound, |fleet, seen| {
        for (n, seen) in seen.iter().enumerate() {
            let wanted: BTreeSet<String> =
                fleet.members[n / 3 * 3..n / 3 * 3 + 3].iter().map(|m| m.id.clone()).collect();
            let live =
                seen.as_ref().map(|s| s.live_ids().into_iter().map(str::to_string).collect::<BTreeSet<_>>());
            if live.as_ref() != Some(&wanted) {
                return Err(format!("n{n} holds {live:?}"));
            }
        }
        Ok(())
    });
    site.fleet.wait_until("each half has forgotten the other", bound, |_, seen| {
        let most = seen.iter().flatten().map(|s| s.members.len()).max();
        if most == Some(3) { Ok(()) } else { Err(format!("{most:?} members are still listed")) }
    });
    site.fleet.kill(3);
    site.fleet.kill(5);
    site.fleet.links.clear_faults();
    site.fleet.start_member(5);
    site.fleet.wait_until_settled("the halves join");
    calls.all_answered();
    site.checked();
}

/// One that is heard by nobody and hears all; then the other way about; then each hears its neighbours only.
#[test]
fn cuts_one_way_and_in_a_ring_settle_once_they_heal() {
    let mut site = site(5, true);
    let one = set([2]);
    for (from, to) in [(one.clone(), site.fleet.links.others(&one)), (site.fleet.links.others(&one), one)] {
        site.fleet.links.cut(&from, &to, false);
        site.fleet.history.record_disturbance();
        let bound = site.fleet.settling_bound() + Duration::from_secs(10);
        site.fleet.wait_until("it is found out", bound, |fleet, seen| hold(fleet, seen, "n2", "down"));
        site.fleet.links.clear_faults();
        site.fleet.history.record_disturbance();
        site.fleet.wait_until_settled("it heals");
    }
    for a in 0..5 {
        let far = set((0..5).filter(|b| ![a, (a + 1) % 5, (a + 4) % 5].contains(b)));
        site.fleet.links.cut(&set([a]), &far, false);
    }
    let time = site.fleet.settling_bound();
    site.fleet.poll_for(time);
    site.fleet.links.clear_faults();
    site.fleet.history.record_disturbance();
    site.fleet.wait_until_settled("the ring closes");
    site.checked();
}

/// A and B, B and C, not A and C: no death is told, for as long as it lasts, and hardly a suspicion: B asks for the two.
#[test]
fn who_is_reached_by_way_of_another_is_not_dead() {
    let mut site = site(3, true);
    site.fleet.links.cut(&set([0]), &set([2]), true);
    let time = site.fleet.settling_bound() * 2;
    site.fleet.poll_for(time);
    assert_eq!((site.fleet.history.down_reports("n0"), site.fleet.history.down_reports("n2")), (0, 0));
    let suspicions =
        |n: usize| site.fleet.members[n].log_lines().iter().filter(|l| l.contains("suspect member=")).count();
    // Some twenty each in so many periods, were it not for B.
    assert!(suspicions(0) + suspicions(2) < 8, "{} and {}", suspicions(0), suspicions(2));
    site.checked();
}

/// A fifth of the datagrams lost, up to 200 ms of delay, some twice and out of order: no death is told.
#[test]
fn no_death_is_told_under_loss_and_delay() {
    let mut site = site(5, true);
    let calls = Calls::at(&gates(&site.fleet, 0..5));
    // The period is a quarter of what it is in service, so the delay is too.
    let delay = Duration::from_millis(25);
    site.fleet.links.set_fault_on_all(Fault { loss: 0.2, duplication: 0.1, delay, ..Fault::default() });
    let time = site.fleet.settling_bound() * 3;
    site.fleet.poll_for(time);
    for n in 0..5 {
        assert_eq!(site.fleet.history.down_reports(&format!("n{n}")), 0, "n{n}");
    }
    site.fleet.links.clear_faults();
    site.fleet.wait_until_settled("all the same");
    calls.all_answered();
    site.checked();
}

/// Streams that are taken and pass nothing, then a byte at a time, hold up neither calls nor the door, and what they were to
/// bring comes otherwise or later.
#[test]
fn stalled_and_dripping_streams_hold_nothing_up() {
    let mut site = site(5, true);
    let calls = Calls::at(&gates(&site.fleet, 0..4));
    for fault in
        [Fault { stalled: true, ..Fault::default() }, Fault { byte_by_byte: true, ..Fault::default() }]
    {
        site.fleet.links.set_fault_on_all(fault);
        site.fleet.kill(4);
        let bound = site.fleet.settling_bound() + Duration::from_secs(10);
        site.fleet.wait_until("n4 is down", bound, |fleet, seen| hold(fleet, seen, "n4", "down"));
        site.fleet.start_member(4);
        site.fleet.wait_until_settled("n4 is back by datagrams alone");
        let asked = Instant::now();
        assert_eq!(site.fleet.members[0].admin_request("GET", "/control/ready").map(|a| a.0), Some(200));
        assert!(asked.elapsed() < Duration::from_secs(1), "{:?}", asked.elapsed());
    }
    calls.all_answered();
    site.checked();
}

/// A planned stop is a leave and no death; killed on its way out, it is a death and no leave. What staff order is seen everywhere.
#[test]
fn a_leave_is_no_death_and_a_death_on_the_way_out_is_no_leave() {
    let mut site = site(5, true);
    assert_eq!(site.fleet.members[1].admin_request("PUT", "/control/out-of-service").map(|a| a.0), Some(200));
    let drains = |_: &TestFleet, seen: &[Option<FleetView>]| {
        let all = seen
            .iter()
            .flatten()
            .all(|s| s.member_json("n1")["draining"] == true && s.member_json("n1")["ready"] == false);
        if all { Ok(()) } else { Err("not everybody knows that n1 drains".to_string()) }
    };
    site.fleet.wait_until("a drain is seen everywhere", Duration::from_secs(20), drains);
    assert_eq!(site.fleet.members[1].admin_request("PUT", "/control/in-service").map(|a| a.0), Some(200));
    site.fleet.terminate(4);
    let bound = site.fleet.settling_bound() + Duration::from_secs(10);
    site.fleet.wait_until("n4 has left", bound, |fleet, seen| hold(fleet, seen, "n4", "left"));
    assert_eq!(site.fleet.history.down_reports("n4"), 0);
    // A call that stands holds n3's end up, and it is killed before it has left.
    let mut caller = Lines::connect(gates(&site.fleet, [3])[0][0]);
    caller.start("00000000000000aa", 9000, 0);
    caller.expect("STARTED");
    site.fleet.members[3].request_termination();
    let leaves = |_: &TestFleet, seen: &[Option<FleetView>]| {
        let known =
            seen.iter().flatten().any(|s| s.json["id"] != "n3" && s.member_json("n3")["leaving"] == true);
        if known { Ok(()) } else { Err("nobody knows that n3 leaves".to_string()) }
    };
    site.fleet.wait_until("n3 is on its way out", Duration::from_secs(20), leaves);
    site.fleet.kill(3);
    site.fleet.wait_until("n3 is down", bound, |fleet, seen| hold(fleet, seen, "n3", "down"));
    site.checked();
}

/// Two processes under one id: both say so, the older start falls silent, and speaks again once the newer has gone. The same where
/// the older was stopped while the newer came.
#[test]
fn of_two_under_one_id_the_older_start_yields() {
    let mut site = site(4, false);
    for stopped in [false, true] {
        if stopped {
            site.fleet.set_paused(2, true);
        }
        let twin = site.fleet.start_duplicate(2, 1);
        if stopped {
            let time = site.fleet.settling_bound();
            site.fleet.poll_for(time);
            site.fleet.set_paused(2, false);
        }
        site.fleet.wait_until_settled("one of the two speaks");
        let seen = site.fleet.poll_views();
        let of = |n: usize| seen[n].as_ref().unwrap();
        assert!(of(2).is_standby && !of(twin).is_standby, "the newer start is the member");
        assert!(of(2).json["twin"]["address"] == site.fleet.members[twin].fleet_address().to_string());
        site.fleet.members[2].wait_for_log("another process runs under this id");
        if !stopped {
            site.fleet.members[twin].wait_for_log("another process runs under this id");
        }
        site.fleet.kill(twin);
        let bound = site.fleet.settling_bound() * 2 + Duration::from_secs(10);
        site.fleet.wait_until("the older speaks again", bound, |fleet, seen| {
            cobaltspool_fleet_testkit::history::check_agreement(&fleet.members, seen)
        });
    }
    site.checked();
}

/// The two processes of an upgrade are one member: no death, no leave and no twin is told, and the newer start is the member.
#[test]
fn the_two_processes_of_an_upgrade_are_one_member() {
    let (socket, gate) = listen();
    drop(socket); // a free address, for both processes
    let mut site = site_by(3, false, |config| {
        let files = std::mem::replace(&mut config.files, Box::new(|_| Vec::new()));
        config.shares_upgrade_dir = true;
        config.files = Box::new(move |n| {
            let mut files = files(n);
            if n == 2 {
                files[0].1 =
                    files[0].1.replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{gate}\""));
            }
            files
        });
    });
    assert_eq!(gates(&site.fleet, [2])[0][0], gate);
    for before in [2, 3] {
        let newer = site.fleet.start_successor(2);
        assert_eq!(site.fleet.members[newer].fleet_address(), site.fleet.members[2].fleet_address());
        site.fleet.terminate(before);
        site.fleet.wait_until_settled("the newer process is the member");
        assert_eq!(site.fleet.history.down_reports("n2"), 0);
        for seen in site.fleet.poll_views().into_iter().flatten() {
            assert_eq!(seen.member_json("n2")["incarnation"], newer as u64 - 1);
        }
        for member in &site.fleet.members {
            assert!(!member.log_lines().iter().any(|l| l.contains("another process runs under this id")));
        }
    }
    site.checked();
}

/// One that nobody knows, whose first seed is dead and whose second is nobody's address, finds the fleet by its third.
#[test]
fn a_dead_seed_keeps_nobody_out() {
    let mut site = site(4, false);
    let dead = site.fleet.members[0].fleet_address();
    site.fleet.kill(0);
    site.fleet.wait_until_settled("the first member is gone");
    let seeds = vec![dead, listen().1, site.fleet.members[2].fleet_address()];
    site.fleet.start_newcomer("n9", seeds);
    site.fleet.wait_until_settled("n9 is there without n0");
    site.checked();
}

/// What does not come from the fleet is counted and changes nothing, however much of it comes.
#[test]
fn frames_of_others_are_counted_and_change_nothing() {
    let mut site = site(3, false);
    let calls = Calls::at(&gates(&site.fleet, 0..2));
    let at = site.fleet.members[0].fleet_address();
    let noise = UdpSocket::bind("127.0.0.1:0").unwrap();
    let dead = codec::example_record("n1", 99, 0, MemberState::Down);
    let record = codec::example_record("n2", 99, 9, MemberState::Alive);
    let frame = Frame {
        kind: FrameKind::Gossip,
        from: record,
        receiver_nonce: 0,
        counter: 1,
        probe_id: 0,
        target: None,
        receiver_version: None,
        digest: 0,
        records: vec![dead],
    };
    let forged = codec::encode(&frame, &Key::from_bytes(b"the key of another fleet"));
    let good = codec::encode(&frame, &Key::from_bytes(&site.fleet.key()));
    let held: Vec<TcpStream> = (0..20).map(|_| TcpStream::connect(at).unwrap()).collect();
    let mut slow = TcpStream::connect(at).unwrap();
    for round in 0..300 {
        for bytes in [
            &forged[..],
            &[7; 1500],
            &forged[..20],
            &good[..good.len() - 1],
            b"cf\x09 another version, and long enough to be one",
        ] {
            noise.send_to(bytes, at).unwrap();
        }
        // A frame of 512 KiB is claimed, and comes a byte at a time.
        let _ = slow.write_all(if round == 0 { &[0, 8, 0, 0] } else { &[1] });
        if round % 20 == 0 {
            site.fleet.poll_views();
        }
    }
    let counted = |_: &TestFleet, seen: &[Option<FleetView>]| {
        let dropped = &seen[0].as_ref().ok_or("no answer")?.json["dropped"];
        let all = ["forged", "oversized", "cut", "version", "streams"]
            .iter()
            .all(|cause| dropped[*cause].as_u64() > Some(0));
        if all { Ok(()) } else { Err(dropped.to_string()) }
    };
    site.fleet.wait_until("each is counted by its cause", Duration::from_secs(20), counted);
    assert_eq!((site.fleet.history.down_reports("n1"), site.fleet.history.down_reports("n2")), (0, 0));
    site.fleet.wait_until_settled("nothing has changed");
    // The same words with the fleet's key are heard: it is the seal that kept them out.
    noise.send_to(&good, at).unwrap();
    site.fleet.wait_until("a sealed frame is heard", Duration::from_secs(20), |_, seen| {
        let heard = seen.iter().flatten().any(|s| s.member_json("n1")["incarnation"].as_u64() >= Some(99));
        if heard { Ok(()) } else { Err("not heard".to_string()) }
    });
    // Those who hold streams and say nothing lose their places in time.
    let table = Frame { kind: FrameKind::FullState, counter: 2, ..frame };
    eventually("an exchange is answered", || {
        (exchange(at, &codec::encode(&table, &Key::from_bytes(&site.fleet.key()))) > 4).then_some(())
    });
    drop(held);
    site.fleet.poll_for(PERIOD * 8);
    calls.all_answered();
}

/// Sends a frame over a stream; how many bytes come back.
fn exchange(at: SocketAddr, frame: &[u8]) -> usize {
    let mut stream = TcpStream::connect(at).unwrap();
    let mut answer = Vec::new();
    let _ = stream.write_all(&(frame.len() as u32).to_be_bytes());
    let _ = stream.write_all(frame);
    let _ = stream.read_to_end(&mut answer);
    answer.len()
}

/// 300 members cost a process less than 4 MB.
#[test]
fn three_hundred_members_cost_little_memory() {
    let mut site = site(1, false);
    let before = site.fleet.members[0].resident_kb();
    let (at, key) = (site.fleet.members[0].fleet_address(), Key::from_bytes(&site.fleet.key()));
    for round in 0..5 {
        let records = (0..300)
            .map(|n| codec::example_record(&format!("member-{n}"), 1, round, MemberState::Alive))
            .collect();
        let frame = Frame {
            kind: FrameKind::FullState,
            from: codec::example_record("member-0", 1, round, MemberState::Alive),
            receiver_nonce: 0,
            counter: 1,
            probe_id: 0,
            target: None,
            receiver_version: None,
            digest: 0,
            records,
        };
        assert!(exchange(at, &codec::encode(&frame, &key)) > 4, "it answers with its own table");
    }
    site.fleet.wait_until("all are known", Duration::from_secs(20), |_, seen| {
        let members = seen[0].as_ref().map(|s| s.members.len());
        if members == Some(301) { Ok(()) } else { Err(format!("{members:?}")) }
    });
    // Probes, suspicions and deaths of all of them go on meanwhile.
    site.fleet.poll_for(PERIOD * 20);
    let after = site.fleet.members[0].resident_kb();
    println!("{before} kB before, {after} kB with 300 members");
    assert!(before > 0 && after < before + 4 * 1024, "{before} kB before, {after} kB with 300 members");
}

/// Latency of a set-up without a fleet, in one, and in a broken one: a table for docs/measurements/fleet.md, not a check.
/// `cargo test --release --test fleet latency -- --ignored --nocapture`
#[test]
#[ignore = "a measurement of two minutes"]
fn latency_with_the_fleet_off_on_and_broken() {
    for repeat in 0..5 {
        for (what, members) in [("off", 0), ("on", 5), ("on, broken", 5)] {
            let site = site_by(members.max(1), true, |config| config.without_fleet_section = members == 0);
            if what == "on, broken" {
                let half = set([0, 1]);
                site.fleet.links.cut(&half, &site.fleet.links.others(&half), true);
                site.fleet.suspend_unrecorded(4);
            }
            let calls = Calls::every(Duration::from_millis(4), &gates(&site.fleet, [0]));
            thread::sleep(Duration::from_secs(5));
            let mut took = calls.ended();
            took.sort();
            let at = |share: f64| took[((took.len() - 1) as f64 * share) as usize].as_micros();
            println!("| {repeat} | {what} | {} | {} | {} |", took.len(), at(0.5), at(0.99));
        }
    }
}

/// Drawn faults, one upon another, then none: it settles. The seed is printed where it does not.
#[test]
fn drawn_faults_settle_once_they_end() {
    let mut site = site(6, true);
    let calls = Calls::at(&gates(&site.fleet, [0]));
    for _ in 0..6 {
        let n = 1 + site.fleet.random_below(5);
        site.fleet.history.record_disturbance();
        match site.fleet.random_below(6) {
            0 => site.fleet.kill(n),
            1 => site.fleet.start_member(n),
            2 if site.fleet.members[n].is_running() => {
                site.fleet.set_paused(n, true);
                let time = PERIOD * (site.fleet.random_below(20) as u32);
                site.fleet.poll_for(time);
                site.fleet.set_paused(n, false);
            }
            3 => {
                let some = set((0..n).map(|m| (m + n) % 6));
                site.fleet.links.cut(&some, &site.fleet.links.others(&some), true);
            }
            4 => site.fleet.links.cut(&set([n]), &site.fleet.links.others(&set([n])), false),
            _ => site.fleet.links.set_fault_on_all(Fault {
                loss: 0.1,
                delay: Duration::from_millis(20),
                ..Fault::default()
            }),
        }
        let time = PERIOD * (site.fleet.random_below(16) as u32);
        site.fleet.poll_for(time);
    }
    site.fleet.links.clear_faults();
    site.fleet.history.record_disturbance();
    site.fleet.wait_until_settled("all is well again");
    calls.all_answered();
    site.checked();
}

/// Thirty processes; nine die at once, and are started again.
#[test]
fn thirty_members_of_which_nine_die_at_once() {
    let mut site = site(30, false);
    for n in 10..19 {
        site.fleet.kill(n);
    }
    site.fleet.wait_until_settled("the others know it");
    for n in 10..19 {
        site.fleet.start_member(n);
    }
    site.fleet.wait_until_settled("they are back");
    site.checked();
}

/// A gatekeeper without a fleet section says so, and the command line says who cannot be asked.
#[test]
fn without_a_section_there_is_no_fleet() {
    let (_program, _, door) = Program::with_door(&Resolver::new(vec![]));
    assert_eq!(ask(door, "GET", "/control/fleet").0, 404);
    let run = |args: &[&str]| {
        let done = std::process::Command::new(env!("CARGO_BIN_EXE_cobaltspool")).args(args).output().unwrap();
        (done.status.code(), String::from_utf8_lossy(&done.stderr).into_owned())
    };
    let (status, said) = run(&["fleet", "status", "--door", &door.to_string()]);
    assert_eq!(status, Some(1), "{said}");
    assert!(said.contains("no fleet section"), "{said}");
    let nobody = listen().1;
    assert_eq!(run(&["fleet", "members", "--door", &nobody.to_string()]).0, Some(69));
}

/// The command line prints what the door answers.
#[test]
fn the_command_line_shows_the_members() {
    let site = site(3, false);
    let run = |args: &[&str]| {
        let door = site.fleet.members[0].admin_address().to_string();
        let args = args.iter().copied().chain(["--door", &door]);
        let done = std::process::Command::new(env!("CARGO_BIN_EXE_cobaltspool"))
            .arg("fleet")
            .args(args)
            .output()
            .unwrap();
        assert!(done.status.success());
        String::from_utf8(done.stdout).unwrap()
    };
    let object: Value = serde_json::from_str(&run(&["status", "--format", "json"])).unwrap();
    assert_eq!(
        (&object["id"], &object["majority"], &object["owners"]),
        (&json!("n0"), &Value::Null, &json!([]))
    );
    let members: Value = serde_json::from_str(&run(&["members", "--format", "json"])).unwrap();
    assert_eq!(members.as_array().map(Vec::len), Some(3));
    assert!(run(&["status"]).starts_with("n0: 3 of 3 members live, settled\n"));
    assert!(run(&["members"]).lines().nth(2).is_some_and(|l| l.starts_with("n1") && l.contains("split")));
}
