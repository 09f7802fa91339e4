//! Tests of the fleet's membership with several gatekeeper processes, injected link and process faults, and calls in
//! the background. Most tests end with a check of invariant 1 over all recorded views: within the settling bound
//! every member lists the members that run, and no other.

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

/// Checks that every other running member reports member `id` in this state.
fn expect_state(fleet: &TestFleet, views: &[Option<FleetView>], id: &str, state: &str) -> Result<(), String> {
    let wrong = fleet.members.iter().zip(views).find(|(member, view)| {
        member.is_running() && member.id != id && view.as_ref().is_none_or(|s| s.state_of(id) != state)
    });
    wrong.map_or(Ok(()), |(member, view)| {
        Err(format!("{} reports {id} as {:?}", member.id, view.as_ref().map(|s| s.state_of(id))))
    })
}

/// A killed member is reported down by all others. Restarted without any stored state, it joins as the same member
/// with a higher incarnation.
#[test]
fn killed_member_is_down_and_rejoins_after_restart() {
    let mut site = site(5, true);
    let calls = Calls::at(&gates(&site.fleet, [0, 1, 2, 4]));
    // The number of gatekeepers that share the servers goes from one (configuration) to five (membership view), in one
    // step or several.
    let line = site.fleet.members[0].wait_for_log(" to=5");
    assert!(line.contains("gatekeepers that share the servers"), "{line}");
    site.fleet.kill(3);
    let bound = site.fleet.settling_bound() + Duration::from_secs(10);
    site.fleet.wait_until("n3 is down", bound, |fleet, views| expect_state(fleet, views, "n3", "down"));
    site.fleet.start_member(3);
    site.fleet.wait_until_settled("n3 is back");
    for view in site.fleet.poll_views().into_iter().flatten() {
        assert_eq!(view.member_json("n3")["incarnation"], 2, "one above the incarnation of its first start");
    }
    calls.all_answered();
    site.checked();
}

/// Members suspended for longer than the settling bound are declared down by the others. When they resume, they must
/// attribute the missed time to themselves, declare no other member down, and rejoin.
#[test]
fn resumed_member_declares_no_other_member_down() {
    let mut site = site(6, true);
    let calls = Calls::at(&gates(&site.fleet, [0, 1]));
    for n in 3..6 {
        site.fleet.set_suspended(n, true);
    }
    let bound = site.fleet.settling_bound() + Duration::from_secs(10);
    site.fleet.wait_until("the suspended half is down", bound, |fleet, views| {
        ["n3", "n4", "n5"].iter().try_for_each(|id| expect_state(fleet, views, id, "down"))
    });
    for n in 3..6 {
        site.fleet.set_suspended(n, false);
    }
    site.fleet.wait_until_settled("the suspended members are back");
    for n in 3..6 {
        let lines = site.fleet.members[n].log_lines();
        assert!(lines.iter().any(|l| l.contains("missed time")), "{lines:#?}");
        let own = format!("by=n{n}");
        assert!(
            !lines.iter().any(|l| l.contains("down") && l.contains(&own)),
            "n{n} declared a member down: {lines:#?}"
        );
    }
    calls.all_answered();
    site.checked();
}

/// The wall clock is stepped by an hour or more in both directions, in running members and before a start. No member
/// reports missed time or a suspicion, and no call is delayed.
#[test]
fn wall_clock_step_has_no_effect() {
    let mut site = site(5, true);
    site.fleet.kill(3);
    site.fleet.members[3].fail_points = "wall=return(-3600)".to_string();
    site.fleet.start_member(3);
    site.fleet.wait_until_settled("n3 runs an hour behind from its start");
    let calls = Calls::at(&gates(&site.fleet, [0, 2, 3]));
    let before: Vec<usize> = site.fleet.members.iter().map(|m| m.log_lines().len()).collect();
    for (n, by) in [(0, 3600), (1, -3600), (2, 7200), (0, -3600), (3, 0)] {
        site.fleet.members[n].set_fail_point("wall", &format!("return({by})"));
        site.fleet.poll_for(PERIOD * 6);
    }
    for (member, before) in site.fleet.members.iter().zip(before) {
        let lines = member.log_lines().split_off(before);
        let is_suspicion = |l: &String| ["suspect", "down", "missed time"].iter().any(|w| l.contains(w));
        assert!(!lines.iter().any(is_suspicion), "{}: {lines:#?}", member.id);
    }
    calls.all_answered();
    site.fleet.wait_until_settled("the membership is unchanged");
    site.checked();
}

#[test]
fn thirty_restarts_in_a_row_result_in_one_member() {
    let mut site = site(5, true);
    for _ in 0..30 {
        site.fleet.kill(2);
        site.fleet.start_member(2);
    }
    site.fleet.wait_until_settled("n2 is listed with its last start");
    site.checked();
}

/// A partition lasts longer than records of down members are kept, and heals while a member is restarted: the halves
/// must merge. They have no seed in common; n3, the only member with a seed in the other half, is killed before.
#[test]
fn partition_outlasting_the_down_record_retention_merges_again() {
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
    site.fleet.wait_until("each half lists only itself", bound, |fleet, views| {
        for (n, view) in views.iter().enumerate() {
            let wanted: BTreeSet<String> =
                fleet.members[n / 3 * 3..n / 3 * 3 + 3].iter().map(|m| m.id.clone()).collect();
            let live =
                view.as_ref().map(|s| s.live_ids().into_iter().map(str::to_string).collect::<BTreeSet<_>>());
            if live.as_ref() != Some(&wanted) {
                return Err(format!("n{n} lists {live:?} as live"));
            }
        }
        Ok(())
    });
    site.fleet.wait_until("each half has dropped the records of the other", bound, |_, views| {
        let largest = views.iter().flatten().map(|s| s.members.len()).max();
        if largest == Some(3) { Ok(()) } else { Err(format!("{largest:?} members are still listed")) }
    });
    site.fleet.kill(3);
    site.fleet.kill(5);
    site.fleet.links.clear_faults();
    site.fleet.start_member(5);
    site.fleet.wait_until_settled("the halves merge");
    calls.all_answered();
    site.checked();
}

/// All links from one member are cut, then all links to it, then all links except those between neighbours on a ring.
/// After each repair the fleet must settle.
#[test]
fn one_way_and_ring_cuts_settle_after_repair() {
    let mut site = site(5, true);
    let one = set([2]);
    for (from, to) in [(one.clone(), site.fleet.links.others(&one)), (site.fleet.links.others(&one), one)] {
        site.fleet.links.cut(&from, &to, false);
        site.fleet.history.record_disturbance();
        let bound = site.fleet.settling_bound() + Duration::from_secs(10);
        site.fleet.wait_until("n2 is down", bound, |fleet, views| expect_state(fleet, views, "n2", "down"));
        site.fleet.links.clear_faults();
        site.fleet.history.record_disturbance();
        site.fleet.wait_until_settled("the links are repaired");
    }
    for a in 0..5 {
        let far = set((0..5).filter(|b| ![a, (a + 1) % 5, (a + 4) % 5].contains(b)));
        site.fleet.links.cut(&set([a]), &far, false);
    }
    let time = site.fleet.settling_bound();
    site.fleet.poll_for(time);
    site.fleet.links.clear_faults();
    site.fleet.history.record_disturbance();
    site.fleet.wait_until_settled("all links are repaired");
    site.checked();
}

/// n0 and n2 reach n1 but not each other. Indirect probes through n1 must prevent any down report and nearly all
/// suspicions for as long as the cut lasts.
#[test]
fn member_reachable_through_a_third_is_not_down() {
    let mut site = site(3, true);
    site.fleet.links.cut(&set([0]), &set([2]), true);
    let time = site.fleet.settling_bound() * 2;
    site.fleet.poll_for(time);
    assert_eq!((site.fleet.history.down_reports("n0"), site.fleet.history.down_reports("n2")), (0, 0));
    let suspicions =
        |n: usize| site.fleet.members[n].log_lines().iter().filter(|l| l.contains("suspect member=")).count();
    // Without indirect probes through n1 each would log some twenty suspicions in this time.
    assert!(suspicions(0) + suspicions(2) < 8, "{} and {} suspicions", suspicions(0), suspicions(2));
    site.checked();
}

/// 20 % datagram loss, delays that correspond to up to 200 ms in service, duplicates and reordering cause no down
/// report.
#[test]
fn loss_and_delay_cause_no_down_report() {
    let mut site = site(5, true);
    let calls = Calls::at(&gates(&site.fleet, 0..5));
    // The probe period is a quarter of that in service, and the delay is scaled accordingly.
    let delay = Duration::from_millis(25);
    site.fleet.links.set_fault_on_all(Fault { loss: 0.2, duplication: 0.1, delay, ..Fault::default() });
    let time = site.fleet.settling_bound() * 3;
    site.fleet.poll_for(time);
    for n in 0..5 {
        assert_eq!(site.fleet.history.down_reports(&format!("n{n}")), 0, "n{n}");
    }
    site.fleet.links.clear_faults();
    site.fleet.wait_until_settled("the faults are cleared");
    calls.all_answered();
    site.checked();
}

/// Streams that are accepted but stall, then streams that forward one byte at a time, delay neither calls nor the
/// admin listener. The records they would have carried arrive in datagrams or later.
#[test]
fn stalled_and_slow_streams_delay_nothing() {
    let mut site = site(5, true);
    let calls = Calls::at(&gates(&site.fleet, 0..4));
    for fault in
        [Fault { stalled: true, ..Fault::default() }, Fault { byte_by_byte: true, ..Fault::default() }]
    {
        site.fleet.links.set_fault_on_all(fault);
        site.fleet.kill(4);
        let bound = site.fleet.settling_bound() + Duration::from_secs(10);
        site.fleet.wait_until("n4 is down", bound, |fleet, views| expect_state(fleet, views, "n4", "down"));
        site.fleet.start_member(4);
        site.fleet.wait_until_settled("n4 is back through datagrams alone");
        let start = Instant::now();
        assert_eq!(site.fleet.members[0].admin_request("GET", "/control/ready").map(|a| a.0), Some(200));
        assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    }
    calls.all_answered();
    site.checked();
}

/// A planned stop is reported as `left`, never as `down`; a member killed while it leaves is reported as `down`, not
/// as `left`. A drain requested by an operator is visible in all members.
#[test]
fn planned_stop_is_left_and_kill_while_leaving_is_down() {
    let mut site = site(5, true);
    assert_eq!(site.fleet.members[1].admin_request("PUT", "/control/out-of-service").map(|a| a.0), Some(200));
    let drain_visible = |_: &TestFleet, views: &[Option<FleetView>]| {
        let all = views
            .iter()
            .flatten()
            .all(|s| s.member_json("n1")["draining"] == true && s.member_json("n1")["ready"] == false);
        if all { Ok(()) } else { Err("not all members list n1 as draining".to_string()) }
    };
    site.fleet.wait_until("the drain is visible in all members", Duration::from_secs(20), drain_visible);
    assert_eq!(site.fleet.members[1].admin_request("PUT", "/control/in-service").map(|a| a.0), Some(200));
    site.fleet.terminate(4);
    let bound = site.fleet.settling_bound() + Duration::from_secs(10);
    site.fleet.wait_until("n4 has left", bound, |fleet, views| expect_state(fleet, views, "n4", "left"));
    assert_eq!(site.fleet.history.down_reports("n4"), 0);
    // An established call delays the end of n3, which is killed before it has left.
    let mut caller = Lines::connect(gates(&site.fleet, [3])[0][0]);
    caller.start("00000000000000aa", 9000, 0);
    caller.expect("STARTED");
    site.fleet.members[3].request_termination();
    let leave_visible = |_: &TestFleet, views: &[Option<FleetView>]| {
        let visible =
            views.iter().flatten().any(|s| s.json["id"] != "n3" && s.member_json("n3")["leaving"] == true);
        if visible { Ok(()) } else { Err("no member lists n3 as leaving".to_string()) }
    };
    site.fleet.wait_until("n3 is leaving", Duration::from_secs(20), leave_visible);
    site.fleet.kill(3);
    site.fleet.wait_until("n3 is down", bound, |fleet, views| expect_state(fleet, views, "n3", "down"));
    site.checked();
}

/// Two processes run under one id: the older goes on standby while the newer is the member, and becomes active again
/// after the newer has ended. Both log the conflict. Repeated with the older process suspended while the newer
/// starts; in that case only the log of the older is checked.
#[test]
fn older_process_under_a_duplicate_id_goes_on_standby() {
    let mut site = site(4, false);
    for suspended in [false, true] {
        if suspended {
            site.fleet.set_suspended(2, true);
        }
        let duplicate = site.fleet.start_duplicate(2, 1);
        if suspended {
            let time = site.fleet.settling_bound();
            site.fleet.poll_for(time);
            site.fleet.set_suspended(2, false);
        }
        site.fleet.wait_until_settled("one of the two processes is active");
        let views = site.fleet.poll_views();
        let view = |n: usize| views[n].as_ref().unwrap();
        assert!(view(2).is_standby && !view(duplicate).is_standby, "the newer process is the member");
        assert!(view(2).json["twin"]["address"] == site.fleet.members[duplicate].fleet_address().to_string());
        site.fleet.members[2].wait_for_log("another process runs under this id");
        if !suspended {
            site.fleet.members[duplicate].wait_for_log("another process runs under this id");
        }
        site.fleet.kill(duplicate);
        let bound = site.fleet.settling_bound() * 2 + Duration::from_secs(10);
        site.fleet.wait_until("the older process is active again", bound, |fleet, views| {
            cobaltspool_fleet_testkit::history::check_agreement(&fleet.members, views)
        });
    }
    site.checked();
}

/// The two processes of an upgrade count as one member, represented by the newer one: the member is never reported
/// down and no process logs a conflict of ids.
#[test]
fn both_processes_of_an_upgrade_are_one_member() {
    let (socket, gate) = listen();
    drop(socket); // frees the address, which both processes then use
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
    for older in [2, 3] {
        let newer = site.fleet.start_successor(2);
        assert_eq!(site.fleet.members[newer].fleet_address(), site.fleet.members[2].fleet_address());
        site.fleet.terminate(older);
        site.fleet.wait_until_settled("the newer process is the member");
        assert_eq!(site.fleet.history.down_reports("n2"), 0);
        for view in site.fleet.poll_views().into_iter().flatten() {
            assert_eq!(view.member_json("n2")["incarnation"], newer as u64 - 1);
        }
        for member in &site.fleet.members {
            assert!(!member.log_lines().iter().any(|l| l.contains("another process runs under this id")));
        }
    }
    site.checked();
}

/// A new member whose first seed is down and whose second seed is an unused address joins through its third seed.
#[test]
fn new_member_joins_despite_dead_seeds() {
    let mut site = site(4, false);
    let down_seed = site.fleet.members[0].fleet_address();
    site.fleet.kill(0);
    site.fleet.wait_until_settled("n0 is gone");
    let seeds = vec![down_seed, listen().1, site.fleet.members[2].fleet_address()];
    site.fleet.start_newcomer("n9", seeds);
    site.fleet.wait_until_settled("n9 has joined without n0");
    site.checked();
}

/// Frames that are not from the fleet (wrong key, malformed, other version, surplus streams) are counted by cause and
/// change nothing, at any rate.
#[test]
fn foreign_frames_are_counted_and_ignored() {
    let mut site = site(3, false);
    let calls = Calls::at(&gates(&site.fleet, 0..2));
    let at = site.fleet.members[0].fleet_address();
    let foreign = UdpSocket::bind("127.0.0.1:0").unwrap();
    let down = codec::example_record("n1", 99, 0, MemberState::Down);
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
        records: vec![down],
    };
    let forged = codec::encode(&frame, &Key::from_bytes(b"the key of another fleet"));
    let sealed = codec::encode(&frame, &Key::from_bytes(&site.fleet.key()));
    let idle: Vec<TcpStream> = (0..20).map(|_| TcpStream::connect(at).unwrap()).collect();
    let mut slow = TcpStream::connect(at).unwrap();
    for round in 0..300 {
        for bytes in [
            &forged[..],
            &[7; 1500],
            &forged[..20],
            &sealed[..sealed.len() - 1],
            b"cf\x09 another version, and long enough to be one",
        ] {
            foreign.send_to(bytes, at).unwrap();
        }
        // The length prefix announces a frame of 512 KiB, which is then sent one byte at a time.
        let _ = slow.write_all(if round == 0 { &[0, 8, 0, 0] } else { &[1] });
        if round % 20 == 0 {
            site.fleet.poll_views();
        }
    }
    let all_counted = |_: &TestFleet, views: &[Option<FleetView>]| {
        let dropped = &views[0].as_ref().ok_or("no answer")?.json["dropped"];
        let all = ["forged", "oversized", "cut", "version", "streams"]
            .iter()
            .all(|cause| dropped[*cause].as_u64() > Some(0));
        if all { Ok(()) } else { Err(dropped.to_string()) }
    };
    site.fleet.wait_until("each cause is counted", Duration::from_secs(20), all_counted);
    assert_eq!((site.fleet.history.down_reports("n1"), site.fleet.history.down_reports("n2")), (0, 0));
    site.fleet.wait_until_settled("the membership is unchanged");
    // The same frame sealed with the fleet's key is accepted, so it was the key that kept the forged one out.
    foreign.send_to(&sealed, at).unwrap();
    site.fleet.wait_until("a sealed frame is accepted", Duration::from_secs(20), |_, views| {
        let accepted =
            views.iter().flatten().any(|s| s.member_json("n1")["incarnation"].as_u64() >= Some(99));
        if accepted { Ok(()) } else { Err("the frame was not accepted".to_string()) }
    });
    // Idle streams are closed after a time-out and free their places for others.
    let table = Frame { kind: FrameKind::FullState, counter: 2, ..frame };
    eventually("an exchange is answered", || {
        (exchange(at, &codec::encode(&table, &Key::from_bytes(&site.fleet.key()))) > 4).then_some(())
    });
    drop(idle);
    site.fleet.poll_for(PERIOD * 8);
    calls.all_answered();
}

/// Sends a frame over a stream and returns the number of bytes received in answer.
fn exchange(at: SocketAddr, frame: &[u8]) -> usize {
    let mut stream = TcpStream::connect(at).unwrap();
    let mut answer = Vec::new();
    let _ = stream.write_all(&(frame.len() as u32).to_be_bytes());
    let _ = stream.write_all(frame);
    let _ = stream.read_to_end(&mut answer);
    answer.len()
}

/// A table of 300 members costs a process less than 4 MB of memory.
#[test]
fn table_of_300_members_takes_less_than_4_mb() {
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
        assert!(exchange(at, &codec::encode(&frame, &key)) > 4, "the member must answer with its own table");
    }
    site.fleet.wait_until("all members are listed", Duration::from_secs(20), |_, views| {
        let members = views[0].as_ref().map(|s| s.members.len());
        if members == Some(301) { Ok(()) } else { Err(format!("{members:?}")) }
    });
    // Meanwhile the process probes, suspects and declares down all of them.
    site.fleet.poll_for(PERIOD * 20);
    let after = site.fleet.members[0].resident_kb();
    println!("{before} kB before, {after} kB with 300 members");
    assert!(before > 0 && after < before + 4 * 1024, "{before} kB before, {after} kB with 300 members");
}

/// Measures the set-up latency without a fleet, in a healthy fleet and in one with a partition and a suspended member.
/// Prints the table of docs/measurements/fleet.md and checks no latency. Run it with:
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
            let mut latencies = calls.ended();
            latencies.sort();
            let quantile = |q: f64| latencies[((latencies.len() - 1) as f64 * q) as usize].as_micros();
            println!("| {repeat} | {what} | {} | {} | {} |", latencies.len(), quantile(0.5), quantile(0.99));
        }
    }
}

/// Random faults are injected on top of each other and then cleared: the fleet must settle. A failure prints the seed.
#[test]
fn fleet_settles_after_random_faults() {
    let mut site = site(6, true);
    let calls = Calls::at(&gates(&site.fleet, [0]));
    for _ in 0..6 {
        let n = 1 + site.fleet.random_below(5);
        site.fleet.history.record_disturbance();
        match site.fleet.random_below(6) {
            0 => site.fleet.kill(n),
            1 => site.fleet.start_member(n),
            2 if site.fleet.members[n].is_running() => {
                site.fleet.set_suspended(n, true);
                let time = PERIOD * (site.fleet.random_below(20) as u32);
                site.fleet.poll_for(time);
                site.fleet.set_suspended(n, false);
            }
            3 => {
                let group = set((0..n).map(|m| (m + n) % 6));
                site.fleet.links.cut(&group, &site.fleet.links.others(&group), true);
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
    site.fleet.wait_until_settled("all faults are cleared");
    calls.all_answered();
    site.checked();
}

/// Nine of thirty processes are killed at once and restarted.
#[test]
fn nine_of_thirty_members_are_killed_at_once() {
    let mut site = site(30, false);
    for n in 10..19 {
        site.fleet.kill(n);
    }
    site.fleet.wait_until_settled("the others list the killed members as down");
    for n in 10..19 {
        site.fleet.start_member(n);
    }
    site.fleet.wait_until_settled("the killed members are back");
    site.checked();
}

/// A gatekeeper without a fleet section answers so, and the command line exits with status 69 if the admin listener
/// cannot be reached.
#[test]
fn gatekeeper_without_a_fleet_section_reports_no_fleet() {
    let (_program, _, door) = Program::with_door(&Resolver::new(vec![]));
    assert_eq!(ask(door, "GET", "/control/fleet").0, 404);
    let run = |args: &[&str]| {
        let output =
            std::process::Command::new(env!("CARGO_BIN_EXE_cobaltspool")).args(args).output().unwrap();
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let (status, stderr) = run(&["fleet", "status", "--door", &door.to_string()]);
    assert_eq!(status, Some(1), "{stderr}");
    assert!(stderr.contains("no fleet section"), "{stderr}");
    let unused = listen().1;
    assert_eq!(run(&["fleet", "members", "--door", &unused.to_string()]).0, Some(69));
}

/// The command line prints the answers of the admin listener.
#[test]
fn command_line_shows_the_members() {
    let site = site(3, false);
    let run = |args: &[&str]| {
        let door = site.fleet.members[0].admin_address().to_string();
        let args = args.iter().copied().chain(["--door", &door]);
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_cobaltspool"))
            .arg("fleet")
            .args(args)
            .output()
            .unwrap();
        assert!(output.status.success());
        String::from_utf8(output.stdout).unwrap()
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
