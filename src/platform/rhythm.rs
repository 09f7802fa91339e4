//! How regularly a server says its state unasked on a connection, and so how soon a silent connection is known to be
//! cut. Pure: gaps in, a bound out.

use crate::Micros;

/// Gaps that are remembered, the newest.
const KEPT: usize = 4;
/// A server that says its state less often than this keeps no rhythm that would tell anything soon.
const SLOWEST: Micros = 1_000_000;
/// However quick a rhythm, a silence shorter than this is no sign: a busy machine holds either side up for as long.
const LEAST: Micros = 400_000;
/// Beyond the longest gap of late a live connection may be late by a quarter of it, and by what a busy machine takes.
const SLACK: Micros = 50_000;

/// The gaps between a server's unasked reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rhythm {
    gaps: [Micros; KEPT],
    count: usize,
}

impl Rhythm {
    /// Two reports have come on one connection, so far apart.
    pub fn beat(&mut self, gap: Micros) {
        self.gaps[self.count % KEPT] = gap;
        self.count += 1;
    }

    /// The longest silence of a connection that is not cut; `None`: no rhythm is known.
    pub fn silence_most(&self) -> Option<Micros> {
        let longest = self.gaps.iter().copied().max().filter(|_| self.count >= KEPT)?;
        (longest <= SLOWEST).then_some((longest + longest / 4 + SLACK).max(LEAST))
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    const MS: Micros = 1_000;

    #[rstest]
    #[case::too_few(&[500, 500, 500], None)]
    #[case::regular(&[500, 500, 500, 500], Some(675))]
    #[case::the_longest_counts(&[500, 514, 490, 300], Some(692))]
    #[case::a_quick_one_has_a_floor(&[20, 20, 20, 20], Some(400))]
    #[case::no_rhythm(&[500, 500, 500, 1_001], None)]
    #[case::an_old_gap_is_forgotten(&[1_500, 500, 500, 500, 500], Some(675))]
    fn a_bound_comes_of_the_latest_gaps(#[case] gaps: &[Micros], #[case] wanted: Option<Micros>) {
        let mut rhythm = Rhythm::default();
        gaps.iter().for_each(|gap| rhythm.beat(gap * MS));
        assert_eq!(rhythm.silence_most().map(|bound| bound / MS), wanted);
    }
}
