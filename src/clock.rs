//! The system's clock. Only fronts use it; the core and the module are told the time.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::Micros;

/// Unix time at the first question, and that moment by the clock that nobody sets.
static CLOCK_START: OnceLock<(Micros, Instant)> = OnceLock::new();

/// Unix time in microseconds, as it was at the first question and goes on from there: somebody who sets the system's clock
/// moves no deadline.
pub fn now() -> Micros {
    let (unix, start) = CLOCK_START.get_or_init(|| (wall_clock(), Instant::now()));
    unix + start.elapsed().as_micros() as Micros
}

/// The clock that somebody may set. The fail point `wall` steps it, by seconds.
fn wall_clock() -> Micros {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_micros() as Micros);
    fail::fail_point!("wall", |by| {
        let seconds = by.and_then(|by| by.parse::<i64>().ok()).unwrap_or(0);
        unix.saturating_add_signed(seconds * 1_000_000)
    });
    unix
}
