//! The bound on a connection's silence for given gaps between reports.

use rstest::rstest;

use super::*;

const MS: Micros = 1_000;

#[rstest]
#[case::too_few_gaps(&[500, 500, 500], None)]
#[case::regular(&[500, 500, 500, 500], Some(675))]
#[case::longest_gap_counts(&[500, 514, 490, 300], Some(692))]
#[case::minimum_for_fast_heartbeat(&[20, 20, 20, 20], Some(400))]
#[case::gap_too_long(&[500, 500, 500, 1_001], None)]
#[case::old_gap_is_dropped(&[1_500, 500, 500, 500, 500], Some(675))]
fn max_silence_follows_the_latest_gaps(#[case] gaps: &[Micros], #[case] expected: Option<Micros>) {
    let mut monitor = HeartbeatMonitor::default();
    gaps.iter().for_each(|gap| monitor.record_gap(gap * MS));
    assert_eq!(monitor.max_silence().map(|bound| bound / MS), expected);
}
