//! Replays recorded scenarios against the decision module and compares the replies byte for byte.
//!
//! `tests/fixtures/policy_replay` contains the batches that `tools/record-policy-replay` sent to the simulator adapter
//! and the replies of the version that recorded them. A refactoring must not change any byte of the replies.

use std::io::Write;
use std::process::{Command, Stdio};

use rstest::rstest;

#[rstest]
#[case::seed_1(
    include_str!("fixtures/policy_replay/seed-1.in.jsonl"),
    include_str!("fixtures/policy_replay/seed-1.out.jsonl")
)]
#[case::seed_2(
    include_str!("fixtures/policy_replay/seed-2.in.jsonl"),
    include_str!("fixtures/policy_replay/seed-2.out.jsonl")
)]
fn recorded_events_give_the_recorded_actions(#[case] batches: &'static str, #[case] recorded: &str) {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_cobaltspool-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = adapter.stdin.take().expect("stdin is piped");
    let writer = std::thread::spawn(move || stdin.write_all(batches.as_bytes()));
    let output = adapter.wait_with_output().expect("the adapter ends");
    writer.join().expect("the writer does not panic").expect("the adapter reads every batch");
    assert!(output.status.success());
    let replies = String::from_utf8(output.stdout).expect("replies are text");
    let differing = replies.lines().zip(recorded.lines()).position(|(reply, expected)| reply != expected);
    if let Some(line) = differing {
        let (got, expected) = (replies.lines().nth(line), recorded.lines().nth(line));
        panic!("reply {} differs\n     got: {got:?}\nrecorded: {expected:?}", line + 1);
    }
    assert_eq!(replies.lines().count(), recorded.lines().count());
}
