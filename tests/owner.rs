//! Stories of owned work: several real gatekeepers of which some keep the fleet's log, links and disks that are broken between them,
//! calls on both fronts all the while, and a recorder that carries out what owners send. Each ends with invariant 2 over what it did.

mod peers;

use std::time::{Duration, Instant};

use cobaltspool_fleet_testkit::TestFleet;
use cobaltspool_fleet_testkit::effect_recorder::EffectRecorder;
use cobaltspool_fleet_testkit::history::FleetView;
use peers::site::*;
use rstest::rstest;
use serde_json::Value;

/// Items of work that the processes are told to want.
const WORKS: usize = 4;

struct Owned {
    site: Site,
    recorder: EffectRecorder,
}

fn owned(members: usize, voters: usize, linked: bool) -> Owned {
    let recorder = EffectRecorder::start(true);
    let at = recorder.address.to_string();
    let site = site_by(members, linked, |config| {
        config.voter_count = voters;
        config.env =
            vec![("COBALTSPOOL_TEST_WORKS".into(), WORKS.to_string()), ("COBALTSPOOL_WITNESS".into(), at)];
    });
    let mut owned = Owned { site, recorder };
    owned.all_owned("work is given out");
    owned
}

/// Processes that hold an item, by their own word.
fn holders(seen: &[Option<FleetView>], work: &str) -> Vec<usize> {
    let mine = |seen: &FleetView| {
        let owners = seen.json["owners"].as_array().cloned().unwrap_or_default();
        owners.iter().any(|o| o["work"] == work && o["mine"] == true)
    };
    (0..seen.len()).filter(|n| seen[*n].as_ref().is_some_and(mine)).collect()
}

fn voter(seen: &[Option<FleetView>], n: usize) -> &Value {
    seen[n].as_ref().map_or(&Value::Null, |s| &s.json["voter"])
}

fn leader(seen: &[Option<FleetView>]) -> Option<usize> {
    (0..seen.len()).find(|n| {
        voter(seen, *n)["role"] == "leader" && seen[*n].as_ref().is_some_and(|s| s.json["majority"] == true)
    })
}

fn works() -> Vec<String> {
    (0..WORKS).map(|n| format!("test/{n}")).chain(["release".to_string()]).collect()
}

impl Owned {
    fn fleet(&mut self) -> &mut TestFleet {
        &mut self.site.fleet
    }

    /// A member is cut off from all others: both ways, or so that it is not heard, or does not hear.
    fn cut(&mut self, n: usize, way: &str) {
        let (one, rest) = (set([n]), self.fleet().links.others(&set([n])));
        match way {
            "both ways" => self.fleet().links.cut(&one, &rest, true),
            "not heard" => self.fleet().links.cut(&one, &rest, false),
            _ => self.fleet().links.cut(&rest, &one, false),
        }
        self.fleet().history.record_disturbance();
    }

    fn heal(&mut self) {
        self.fleet().links.clear_faults();
        self.fleet().history.record_disturbance();
    }

    /// Every item has one holder, and some voter leads; how long that took.
    fn all_owned(&mut self, what: &str) -> Duration {
        self.fleet().wait_until(what, Duration::from_secs(60), |_, seen| {
            for work in works() {
                let holders = holders(seen, &work);
                if holders.len() != 1 {
                    return Err(format!("{work} is held by {holders:?}"));
                }
            }
            leader(seen).map(|_| ()).ok_or("nobody leads".into())
        })
    }

    fn leader(&mut self) -> usize {
        let seen = self.fleet().poll_views();
        leader(&seen).expect("a leader")
    }

    fn holder(&mut self, work: &str) -> usize {
        let seen = self.fleet().poll_views();
        holders(&seen, work)[0]
    }

    fn stands(&mut self, n: usize, standing: &'static str) -> Duration {
        let what = format!("n{n} is {standing}");
        self.fleet().wait_until(&what, Duration::from_secs(60), |_, seen| {
            let voter = voter(seen, n);
            if voter["standing"] == standing { Ok(()) } else { Err(voter.to_string()) }
        })
    }

    /// The present owner of each item has acted for it.
    fn all_act(&mut self) {
        let start = Instant::now();
        loop {
            let seen = self.fleet().poll_views();
            let rows = self.recorder.effects();
            let acted = |work: &String| {
                let owners = seen.iter().flatten().flat_map(|s| s.json["owners"].as_array());
                let mine = owners.flatten().find(|o| o["work"] == **work && o["mine"] == true);
                let token = mine.and_then(|o| o["token"].as_u64());
                token.is_some_and(|token| {
                    rows.iter().any(|r| r.resource == *work && r.token == token && r.executed)
                })
            };
            if works().iter().filter(|w| w.starts_with("test/")).all(acted) {
                return;
            }
            assert!(start.elapsed() < Duration::from_secs(60), "somebody owns an item and does nothing");
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    /// So many effects more have been carried out: the work goes on.
    fn goes_on(&mut self, effects: usize) {
        let count = |w: &EffectRecorder| w.effects().iter().filter(|r| r.executed).count();
        let (start, before) = (Instant::now(), count(&self.recorder));
        while count(&self.recorder) < before + effects {
            assert!(start.elapsed() < Duration::from_secs(60), "no effects come");
            self.fleet().poll_for(Duration::from_millis(50));
        }
    }

    fn checked(self) -> usize {
        let changes = self.recorder.check_token_order().expect("invariant 2");
        self.site.checked();
        changes
    }
}

/// Owners change by kill, stop, cut and clean leave, one after the other; the recorder carries out nothing of an earlier one after a
/// later one, and the calls go on.
#[test]
fn owners_change_and_an_earlier_one_does_nothing_any_more() {
    let mut owned = owned(5, 3, true);
    let calls = Calls::at(&gates(&owned.site.fleet, [3, 4]));
    let mut moved = 0;
    for round in 0..3 {
        // Voters only, so that the calls' gatekeepers stay: one that owns something, if there is one, or whoever leads.
        owned.all_act();
        let leader = owned.leader();
        let seen = owned.fleet().poll_views();
        let holds =
            |n: usize| (0..WORKS).filter(|w| holders(&seen, &format!("test/{w}")).contains(&n)).count();
        let n = (0..3).max_by_key(|n| (holds(*n), *n == leader)).unwrap_or(leader);
        moved += holds(n);
        match round {
            0 => owned.fleet().kill(n),
            1 => owned.fleet().set_paused(n, true),
            _ => owned.cut(n, "both ways"),
        }
        let others = Duration::from_secs(60);
        owned.fleet().wait_until("the others own all", others, |_, seen| {
            for work in works() {
                let held: Vec<usize> = holders(seen, &work).into_iter().filter(|h| *h != n).collect();
                if held.len() != 1 {
                    return Err(format!("{work} is held by {held:?}"));
                }
            }
            Ok(())
        });
        owned.goes_on(20);
        match round {
            0 => owned.fleet().start_member(n),
            1 => owned.fleet().set_paused(n, false),
            _ => owned.heal(),
        }
        owned.fleet().wait_until_settled("it is back");
        owned.stands(n, "voting");
        owned.all_owned("all is owned once");
    }
    owned.all_act();
    let leaves = owned.holder("test/0");
    if leaves < 3 {
        let start = Instant::now();
        owned.fleet().terminate(leaves);
        owned.all_owned("the next has it");
        println!("a clean leave: {:?}", start.elapsed());
    }
    calls.all_answered();
    let changes = owned.checked();
    assert!(changes >= WORKS + moved, "{changes} changes, and {moved} items had to move");
}

/// The owner stops between its check and the effect for longer than its lease, and goes on while its successor works: the effect comes
/// late, and is not carried out.
#[test]
fn an_owner_that_stops_between_check_and_effect_comes_too_late() {
    let mut owned = owned(5, 3, false);
    let n = owned.holder("test/1");
    let before = owned.recorder.effects().len();
    owned.fleet().members[n].set_fail_point("effect", "1*sleep(5000)");
    let start = Instant::now();
    let id = format!("n{n}");
    while !owned.recorder.effects()[before..].iter().any(|r| r.owner == id && !r.executed) {
        assert!(start.elapsed() < Duration::from_secs(60), "the late effect never came");
        owned.fleet().poll_for(Duration::from_millis(50));
    }
    owned.fleet().wait_until_settled("it is back");
    owned.all_owned("all is owned once");
    owned.checked();
}

/// A voter's folder is emptied, put back to an older copy, or its last record does not read, each while another voter is down: it knows
/// that it may have forgotten, does not vote, and is whole again once the other is back. Tokens go on growing.
#[test]
fn a_voter_whose_disk_forgot_is_amnesiac_until_it_is_whole() {
    let mut owned = owned(3, 3, true);
    let calls = Calls::at(&gates(&owned.site.fleet, [0]));
    let state = owned.fleet().voter_dir("n1");
    let copy = state.with_extension("copy");
    std::fs::create_dir_all(&copy).unwrap();
    std::fs::copy(state.join("log"), copy.join("log")).unwrap();
    for fault in ["empty", "older", "flipped"] {
        // Something is decided after the copy, with n1's part in it.
        owned.fleet().kill(2);
        owned.all_owned("two go on");
        owned.fleet().kill(1);
        match fault {
            "empty" => std::fs::remove_dir_all(&state).unwrap(),
            "older" => drop(std::fs::copy(copy.join("log"), state.join("log")).unwrap()),
            _ => {
                let mut bytes = std::fs::read(state.join("log")).unwrap();
                *bytes.last_mut().unwrap() ^= 4;
                std::fs::write(state.join("log"), bytes).unwrap();
            }
        }
        owned.fleet().start_member(1);
        owned.stands(1, "amnesiac");
        // For as long as n2 is down nobody can say what n1 promised: nothing is decided.
        let wait = owned.fleet().probe_period() * 12;
        let until = Instant::now() + wait;
        while Instant::now() < until {
            let seen = owned.fleet().poll_views();
            assert_eq!(voter(&seen, 1)["standing"], "amnesiac", "{fault}");
            assert_eq!(leader(&seen).filter(|n| *n == 1), None, "{fault}");
        }
        owned.fleet().start_member(2);
        owned.stands(1, "voting");
        owned.all_owned("the fleet goes on");
    }
    calls.all_answered();
    owned.checked();
}

/// Disks fail one by one: each voter whose writes or syncs fail is read-only and says why; with two of three so there is no majority, calls
/// go on, and a start with a whole disk brings it back.
#[test]
fn voters_whose_disks_fail_are_read_only_and_calls_go_on() {
    let mut owned = owned(4, 3, true);
    let calls = Calls::at(&gates(&owned.site.fleet, [0, 3]));
    for (n, point) in [(0, "disk-write"), (1, "disk-sync")] {
        owned.fleet().members[n].set_fail_point(point, "return");
        // A voter's new start is something to write for the others.
        owned.fleet().kill(2);
        owned.fleet().start_member(2);
        owned.stands(n, "read-only");
        let seen = owned.fleet().poll_views();
        let trouble = voter(&seen, n)["trouble"].as_str().unwrap_or_default().to_string();
        assert!(trouble.contains("write failed") && trouble.contains("start anew"), "{trouble}");
    }
    owned.fleet().wait_until("there is no majority", Duration::from_secs(60), |_, seen| {
        let any = seen.iter().flatten().any(|s| s.json["majority"] == true);
        if any { Err("somebody sees one".into()) } else { Ok(()) }
    });
    owned.fleet().members[0].set_fail_point("disk-write", "off");
    for n in [1, 2] {
        owned.fleet().kill(n);
        owned.fleet().start_member(n);
    }
    calls.all_answered();
    owned.fleet().kill(0);
    owned.fleet().start_member(0);
    owned.all_owned("all are whole again");
    owned.checked();
}

/// A second process finds the voter's folder locked: it says so and does not vote; the first goes on.
#[test]
fn a_folder_that_another_process_has_is_told() {
    let mut owned = owned(3, 3, false);
    let twin = owned.fleet().start_duplicate(2, 0);
    owned.fleet().wait_until("it says why", Duration::from_secs(60), |_, seen| {
        let trouble = voter(seen, twin)["trouble"].as_str().unwrap_or_default().to_string();
        if trouble.contains("another process has it locked") { Ok(()) } else { Err(trouble) }
    });
    owned.fleet().kill(twin);
    owned.fleet().wait_until_settled("one is left");
    owned.all_owned("all is owned once");
    owned.checked();
}

/// The leader is not heard and hears all, and the other way about: another leads, and there is one owner throughout.
#[test]
fn a_leader_cut_one_way_gives_way() {
    let mut owned = owned(5, 5, true);
    for way in ["not heard", "deaf"] {
        let n = owned.leader();
        owned.cut(n, way);
        owned.fleet().wait_until("another leads", Duration::from_secs(60), |_, seen| match leader(seen) {
            Some(other) if other != n => Ok(()),
            other => Err(format!("{other:?} leads")),
        });
        owned.heal();
        owned.all_owned("it heals");
    }
    owned.checked();
}

#[test]
fn the_command_line_shows_owners_and_the_log() {
    let owned = owned(3, 3, false);
    let ask = |what: &str, format: &str| {
        let door = owned.site.fleet.members[0].admin_address().to_string();
        let done = std::process::Command::new(env!("CARGO_BIN_EXE_cobaltspool"))
            .args(["fleet", what, "--door", &door, "--format", format])
            .output()
            .unwrap();
        assert!(done.status.success());
        String::from_utf8(done.stdout).unwrap()
    };
    assert!(ask("owners", "text").lines().any(|l| l.starts_with("release ")), "{}", ask("owners", "text"));
    let owners: Value = serde_json::from_str(&ask("owners", "json")).unwrap();
    assert_eq!(owners.as_array().unwrap().len(), WORKS + 1);
    let log: Value = serde_json::from_str(&ask("log", "json")).unwrap();
    assert!(log.as_array().unwrap().len() > WORKS, "{log}");
    assert!(ask("log", "text").starts_with("INDEX"));
    assert!(ask("status", "text").contains("a majority of the voters is at work"));
    owned.checked();
}

/// For how long an item is nobody's after each kind of loss of its owner: the table of `docs/measurements/owner.md`.
#[rstest]
#[case::kill("kill")]
#[case::stop("stop")]
#[case::cut("cut")]
#[case::leave("leave")]
#[ignore = "a measurement of some minutes"]
fn time_without_an_owner(#[case] kind: &str) {
    let rounds = 15;
    let mut owned = owned(5, 3, true);
    let mut gaps = Vec::new();
    for _ in 0..rounds {
        let n = owned.holder("test/0");
        let of_work =
            |w: &EffectRecorder| w.effects().into_iter().filter(|r| r.resource == "test/0" && r.executed);
        let token = of_work(&owned.recorder).map(|r| r.token).max().unwrap_or(0);
        let start = Instant::now();
        match kind {
            "kill" => owned.fleet().kill(n),
            "stop" => owned.fleet().set_paused(n, true),
            "cut" => owned.cut(n, "both ways"),
            _ => owned.fleet().terminate(n),
        }
        let next = loop {
            let found = of_work(&owned.recorder).find(|r| r.token > token).map(|r| r.received_at);
            if let Some(at) = found {
                break at;
            }
            assert!(start.elapsed() < Duration::from_secs(60), "nobody takes it over");
            std::thread::sleep(Duration::from_millis(10));
        };
        // From the last effect of the one to the first of the other; who leaves works on until it puts its work down.
        let last = of_work(&owned.recorder).filter(|r| r.token == token).map(|r| r.received_at).max();
        gaps.push(next.saturating_duration_since(last.unwrap_or(start)).as_millis());
        match kind {
            "stop" => owned.fleet().set_paused(n, false),
            "cut" => owned.heal(),
            _ => owned.fleet().start_member(n),
        }
        owned.fleet().wait_until_settled("it is back");
        owned.all_owned("all is owned once");
    }
    gaps.sort_unstable();
    let changes = owned.checked();
    println!("| {kind} | {rounds} | {} | {} | {changes} |", gaps[gaps.len() / 2], gaps[gaps.len() - 1]);
}
