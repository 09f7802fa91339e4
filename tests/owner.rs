//! Tests of resource ownership with several gatekeeper processes, some of them voters that keep the replicated log,
//! under link and disk faults and with calls in the background. A recorder receives the effects that owners send;
//! each test ends with a check of invariant 2 over the executed effects: never an effect with a lower token after one
//! with a higher token.

mod peers;

use std::time::{Duration, Instant};

use cobaltspool_fleet_testkit::TestFleet;
use cobaltspool_fleet_testkit::effect_recorder::EffectRecorder;
use cobaltspool_fleet_testkit::history::FleetView;
use peers::site::*;
use rstest::rstest;
use serde_json::Value;

/// Number of test resources that every process tries to acquire.
const RESOURCE_COUNT: usize = 4;

/// A site whose members send the effects of their resources to a recorder.
struct RecordedSite {
    site: Site,
    recorder: EffectRecorder,
}

/// Starts a site and waits until every resource has an owner.
fn start_site(members: usize, voters: usize, linked: bool) -> RecordedSite {
    let recorder = EffectRecorder::start(true);
    let at = recorder.address.to_string();
    let site = site_by(members, linked, |config| {
        config.voter_count = voters;
        config.env = vec![
            ("COBALTSPOOL_TEST_WORKS".into(), RESOURCE_COUNT.to_string()),
            ("COBALTSPOOL_WITNESS".into(), at),
        ];
    });
    let mut site = RecordedSite { site, recorder };
    site.wait_until_all_owned("all resources are acquired");
    site
}

/// Numbers of the processes that report themselves as owner of a resource.
fn owners_of(views: &[Option<FleetView>], resource: &str) -> Vec<usize> {
    let mine = |view: &FleetView| {
        let owners = view.json["owners"].as_array().cloned().unwrap_or_default();
        owners.iter().any(|o| o["work"] == resource && o["mine"] == true)
    };
    (0..views.len()).filter(|n| views[*n].as_ref().is_some_and(mine)).collect()
}

/// The `voter` object in the status of a process.
fn voter_status(views: &[Option<FleetView>], n: usize) -> &Value {
    views[n].as_ref().map_or(&Value::Null, |s| &s.json["voter"])
}

/// Number of the process that reports itself as leader with a majority.
fn leader(views: &[Option<FleetView>]) -> Option<usize> {
    (0..views.len()).find(|n| {
        voter_status(views, *n)["role"] == "leader"
            && views[*n].as_ref().is_some_and(|s| s.json["majority"] == true)
    })
}

/// Names of the test resources and of the built-in resource `release`.
fn resource_names() -> Vec<String> {
    (0..RESOURCE_COUNT).map(|n| format!("test/{n}")).chain(["release".to_string()]).collect()
}

impl RecordedSite {
    fn fleet(&mut self) -> &mut TestFleet {
        &mut self.site.fleet
    }

    /// Cuts the links between a member and all others: in both directions, from the member (`outgoing`) or to it
    /// (`incoming`).
    fn cut(&mut self, n: usize, direction: &str) {
        let (member, others) = (set([n]), self.fleet().links.others(&set([n])));
        match direction {
            "both" => self.fleet().links.cut(&member, &others, true),
            "outgoing" => self.fleet().links.cut(&member, &others, false),
            _ => self.fleet().links.cut(&others, &member, false),
        }
        self.fleet().history.record_disturbance();
    }

    /// Removes all link faults and notes the disturbance.
    fn clear_link_faults(&mut self) {
        self.fleet().links.clear_faults();
        self.fleet().history.record_disturbance();
    }

    /// Waits until every resource has exactly one owner and a voter is leader, and returns the time taken.
    fn wait_until_all_owned(&mut self, what: &str) -> Duration {
        self.fleet().wait_until(what, Duration::from_secs(60), |_, views| {
            for resource in resource_names() {
                let owners = owners_of(views, &resource);
                if owners.len() != 1 {
                    return Err(format!("{resource} is owned by {owners:?}"));
                }
            }
            leader(views).map(|_| ()).ok_or("no voter is leader".into())
        })
    }

    fn leader(&mut self) -> usize {
        let views = self.fleet().poll_views();
        leader(&views).expect("a leader")
    }

    fn owner_of(&mut self, resource: &str) -> usize {
        let views = self.fleet().poll_views();
        owners_of(&views, resource)[0]
    }

    /// Waits until voter `n` reports this standing.
    fn wait_for_standing(&mut self, n: usize, standing: &'static str) -> Duration {
        let what = format!("n{n} is {standing}");
        self.fleet().wait_until(&what, Duration::from_secs(60), |_, views| {
            let voter = voter_status(views, n);
            if voter["standing"] == standing { Ok(()) } else { Err(voter.to_string()) }
        })
    }

    /// Waits until the current owner of each test resource has had an effect executed under its token.
    fn wait_until_all_act(&mut self) {
        let start = Instant::now();
        loop {
            let views = self.fleet().poll_views();
            let effects = self.recorder.effects();
            let acted = |resource: &String| {
                let owners = views.iter().flatten().flat_map(|s| s.json["owners"].as_array());
                let mine = owners.flatten().find(|o| o["work"] == **resource && o["mine"] == true);
                let token = mine.and_then(|o| o["token"].as_u64());
                token.is_some_and(|token| {
                    effects.iter().any(|e| e.resource == *resource && e.token == token && e.executed)
                })
            };
            if resource_names().iter().filter(|name| name.starts_with("test/")).all(acted) {
                return;
            }
            assert!(start.elapsed() < Duration::from_secs(60), "an owner sent no effect for its resource");
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    /// Waits until this number of further effects has been executed.
    fn wait_for_effects(&mut self, effects: usize) {
        let count = |recorder: &EffectRecorder| recorder.effects().iter().filter(|e| e.executed).count();
        let (start, before) = (Instant::now(), count(&self.recorder));
        while count(&self.recorder) < before + effects {
            assert!(start.elapsed() < Duration::from_secs(60), "no further effects are executed");
            self.fleet().poll_for(Duration::from_millis(50));
        }
    }

    /// Checks invariant 2 over the executed effects and invariant 1 over the views. Returns the number of token changes.
    fn check_invariants(self) -> usize {
        let changes = self.recorder.check_token_order().expect("invariant 2");
        self.site.checked();
        changes
    }
}

/// Ownership moves after a kill, a suspension, a partition and a planned stop in turn. The recorder must execute no
/// effect of an earlier owner after one of a later owner, and all calls are answered.
#[test]
fn effects_of_former_owners_are_not_executed() {
    let mut site = start_site(5, 3, true);
    let calls = Calls::at(&gates(&site.site.fleet, [3, 4]));
    let mut moved = 0;
    for round in 0..3 {
        // Picks the voter that owns the most test resources, the leader on a tie. The gatekeepers n3 and n4, which
        // take the calls, are not voters and stay up.
        site.wait_until_all_act();
        let leader = site.leader();
        let views = site.fleet().poll_views();
        let owned_count = |n: usize| {
            (0..RESOURCE_COUNT).filter(|k| owners_of(&views, &format!("test/{k}")).contains(&n)).count()
        };
        let n = (0..3).max_by_key(|n| (owned_count(*n), *n == leader)).unwrap_or(leader);
        moved += owned_count(n);
        match round {
            0 => site.fleet().kill(n),
            1 => site.fleet().set_suspended(n, true),
            _ => site.cut(n, "both"),
        }
        let limit = Duration::from_secs(60);
        site.fleet().wait_until("the others own all resources", limit, |_, views| {
            for resource in resource_names() {
                let owners: Vec<usize> =
                    owners_of(views, &resource).into_iter().filter(|h| *h != n).collect();
                if owners.len() != 1 {
                    return Err(format!("{resource} is owned by {owners:?}"));
                }
            }
            Ok(())
        });
        site.wait_for_effects(20);
        match round {
            0 => site.fleet().start_member(n),
            1 => site.fleet().set_suspended(n, false),
            _ => site.clear_link_faults(),
        }
        site.fleet().wait_until_settled("the member is back");
        site.wait_for_standing(n, "voting");
        site.wait_until_all_owned("each resource has one owner");
    }
    site.wait_until_all_act();
    let owner = site.owner_of("test/0");
    if owner < 3 {
        let start = Instant::now();
        site.fleet().terminate(owner);
        site.wait_until_all_owned("another member owns the resource");
        println!("planned stop: {:?}", start.elapsed());
    }
    calls.all_answered();
    let changes = site.check_invariants();
    assert!(
        changes >= RESOURCE_COUNT + moved,
        "{changes} token changes, but {moved} resources had to change their owner"
    );
}

/// An owner is delayed between its lease check and its effect for longer than the lease, while a successor is active.
/// The late effect arrives with an outdated token and must not be executed.
#[test]
fn effect_delayed_past_the_lease_is_not_executed() {
    let mut site = start_site(5, 3, false);
    let n = site.owner_of("test/1");
    let before = site.recorder.effects().len();
    site.fleet().members[n].set_fail_point("effect", "1*sleep(5000)");
    let start = Instant::now();
    let id = format!("n{n}");
    while !site.recorder.effects()[before..].iter().any(|e| e.owner == id && !e.executed) {
        assert!(start.elapsed() < Duration::from_secs(60), "the late effect did not arrive");
        site.fleet().poll_for(Duration::from_millis(50));
    }
    site.fleet().wait_until_settled("the member is back");
    site.wait_until_all_owned("each resource has one owner");
    site.check_invariants();
}

/// A voter's state directory is emptied, replaced by an older copy, or has a corrupt last record, each while another
/// voter is down. The voter must detect the possible loss, not vote, and vote again once the other voter is back.
/// Tokens must keep increasing.
#[test]
fn voter_with_lost_state_does_not_vote_until_restored() {
    let mut site = start_site(3, 3, true);
    let calls = Calls::at(&gates(&site.site.fleet, [0]));
    let state = site.fleet().voter_dir("n1");
    let copy = state.with_extension("copy");
    std::fs::create_dir_all(&copy).unwrap();
    std::fs::copy(state.join("log"), copy.join("log")).unwrap();
    for fault in ["empty", "older", "flipped"] {
        // An entry is committed after the copy was made, with the vote of n1.
        site.fleet().kill(2);
        site.wait_until_all_owned("two voters go on");
        site.fleet().kill(1);
        match fault {
            "empty" => std::fs::remove_dir_all(&state).unwrap(),
            "older" => drop(std::fs::copy(copy.join("log"), state.join("log")).unwrap()),
            _ => {
                let mut bytes = std::fs::read(state.join("log")).unwrap();
                *bytes.last_mut().unwrap() ^= 4;
                std::fs::write(state.join("log"), bytes).unwrap();
            }
        }
        site.fleet().start_member(1);
        site.wait_for_standing(1, "amnesiac");
        // While n2 is down it is unknown what n1 has voted for, so n1 must neither vote nor lead.
        let wait_time = site.fleet().probe_period() * 12;
        let until = Instant::now() + wait_time;
        while Instant::now() < until {
            let views = site.fleet().poll_views();
            assert_eq!(voter_status(&views, 1)["standing"], "amnesiac", "{fault}");
            assert_eq!(leader(&views).filter(|n| *n == 1), None, "{fault}");
        }
        site.fleet().start_member(2);
        site.wait_for_standing(1, "voting");
        site.wait_until_all_owned("the voter is restored");
    }
    calls.all_answered();
    site.check_invariants();
}

/// A voter whose disk writes or syncs fail becomes read-only and reports the cause. With two of three voters
/// read-only there is no majority, calls are still answered, and restarts with working disks restore the majority.
#[test]
fn voters_with_failing_disks_are_read_only_and_calls_go_on() {
    let mut site = start_site(4, 3, true);
    let calls = Calls::at(&gates(&site.site.fleet, [0, 3]));
    for (n, point) in [(0, "disk-write"), (1, "disk-sync")] {
        site.fleet().members[n].set_fail_point(point, "return");
        // The restart of a voter makes the other voters write to their logs.
        site.fleet().kill(2);
        site.fleet().start_member(2);
        site.wait_for_standing(n, "read-only");
        let views = site.fleet().poll_views();
        let trouble = voter_status(&views, n)["trouble"].as_str().unwrap_or_default().to_string();
        assert!(trouble.contains("write failed") && trouble.contains("start anew"), "{trouble}");
    }
    site.fleet().wait_until("there is no majority", Duration::from_secs(60), |_, views| {
        let majority_reported = views.iter().flatten().any(|s| s.json["majority"] == true);
        if majority_reported { Err("a member reports a majority".into()) } else { Ok(()) }
    });
    site.fleet().members[0].set_fail_point("disk-write", "off");
    for n in [1, 2] {
        site.fleet().kill(n);
        site.fleet().start_member(n);
    }
    calls.all_answered();
    site.fleet().kill(0);
    site.fleet().start_member(0);
    site.wait_until_all_owned("all voters are restored");
    site.check_invariants();
}

/// A second process under a voter's id finds the state directory locked: it reports so and does not vote, and the
/// first process goes on.
#[test]
fn locked_state_directory_is_reported() {
    let mut site = start_site(3, 3, false);
    let duplicate = site.fleet().start_duplicate(2, 0);
    site.fleet().wait_until("the duplicate reports the lock", Duration::from_secs(60), |_, views| {
        let trouble = voter_status(views, duplicate)["trouble"].as_str().unwrap_or_default().to_string();
        if trouble.contains("another process has it locked") { Ok(()) } else { Err(trouble) }
    });
    site.fleet().kill(duplicate);
    site.fleet().wait_until_settled("one process is left");
    site.wait_until_all_owned("each resource has one owner");
    site.check_invariants();
}

/// All links from the leader are cut, then all links to it. Each time another voter must become leader, and no
/// resource may have two owners.
#[test]
fn leader_with_one_way_cut_is_replaced() {
    let mut site = start_site(5, 5, true);
    for direction in ["outgoing", "incoming"] {
        let n = site.leader();
        site.cut(n, direction);
        site.fleet().wait_until("a new leader", Duration::from_secs(60), |_, views| match leader(views) {
            Some(other) if other != n => Ok(()),
            other => Err(format!("{other:?} is leader")),
        });
        site.clear_link_faults();
        site.wait_until_all_owned("the links are repaired");
    }
    site.check_invariants();
}

#[test]
fn command_line_shows_owners_and_the_log() {
    let site = start_site(3, 3, false);
    let ask = |what: &str, format: &str| {
        let door = site.site.fleet.members[0].admin_address().to_string();
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_cobaltspool"))
            .args(["fleet", what, "--door", &door, "--format", format])
            .output()
            .unwrap();
        assert!(output.status.success());
        String::from_utf8(output.stdout).unwrap()
    };
    assert!(ask("owners", "text").lines().any(|l| l.starts_with("release ")), "{}", ask("owners", "text"));
    let owners: Value = serde_json::from_str(&ask("owners", "json")).unwrap();
    assert_eq!(owners.as_array().unwrap().len(), RESOURCE_COUNT + 1);
    let log: Value = serde_json::from_str(&ask("log", "json")).unwrap();
    assert!(log.as_array().unwrap().len() > RESOURCE_COUNT, "{log}");
    assert!(ask("log", "text").starts_with("INDEX"));
    assert!(ask("status", "text").contains("a majority of the voters is at work"));
    site.check_invariants();
}

/// Measures how long a resource has no acting owner after each kind of loss of its owner, for the table of
/// `docs/measurements/owner.md`.
#[rstest]
#[case::kill("kill")]
#[case::stop("stop")]
#[case::cut("cut")]
#[case::leave("leave")]
#[ignore = "a measurement of some minutes"]
fn time_without_an_owner(#[case] kind: &str) {
    let rounds = 15;
    let mut site = start_site(5, 3, true);
    let mut gaps = Vec::new();
    for _ in 0..rounds {
        let n = site.owner_of("test/0");
        let executed = |recorder: &EffectRecorder| {
            recorder.effects().into_iter().filter(|e| e.resource == "test/0" && e.executed)
        };
        let token = executed(&site.recorder).map(|r| r.token).max().unwrap_or(0);
        let start = Instant::now();
        match kind {
            "kill" => site.fleet().kill(n),
            "stop" => site.fleet().set_suspended(n, true),
            "cut" => site.cut(n, "both"),
            _ => site.fleet().terminate(n),
        }
        let next = loop {
            let found = executed(&site.recorder).find(|r| r.token > token).map(|r| r.received_at);
            if let Some(at) = found {
                break at;
            }
            assert!(start.elapsed() < Duration::from_secs(60), "no other member takes over the resource");
            std::thread::sleep(Duration::from_millis(10));
        };
        // Measured from the last effect of the former owner to the first of the next, because a member that leaves
        // continues its work until it releases the resource.
        let last = executed(&site.recorder).filter(|r| r.token == token).map(|r| r.received_at).max();
        gaps.push(next.saturating_duration_since(last.unwrap_or(start)).as_millis());
        match kind {
            "stop" => site.fleet().set_suspended(n, false),
            "cut" => site.clear_link_faults(),
            _ => site.fleet().start_member(n),
        }
        site.fleet().wait_until_settled("the member is back");
        site.wait_until_all_owned("each resource has one owner");
    }
    gaps.sort_unstable();
    let changes = site.check_invariants();
    println!("| {kind} | {rounds} | {} | {} | {changes} |", gaps[gaps.len() / 2], gaps[gaps.len() - 1]);
}
