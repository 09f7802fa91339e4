//! The system's clock. Only the frontends and other code that does I/O read it; the core and the decision module get
//! the time as an argument.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::Micros;

/// Unix time and monotonic time at the first call of [`now`].
static CLOCK_START: OnceLock<(Micros, Instant)> = OnceLock::new();

/// Unix time in microseconds: the wall clock at the first call, advanced by the monotonic clock, so that setting the
/// system's clock does not move any deadline.
pub fn now() -> Micros {
    let (unix, start) = CLOCK_START.get_or_init(|| (wall_clock(), Instant::now()));
    unix + start.elapsed().as_micros() as Micros
}

/// The wall clock, in microseconds of Unix time. The fail point `wall` shifts it by a number of seconds.
fn wall_clock() -> Micros {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_micros() as Micros);
    fail::fail_point!("wall", |by| {
        let seconds = by.and_then(|by| by.parse::<i64>().ok()).unwrap_or(0);
        unix.saturating_add_signed(seconds * 1_000_000)
    });
    unix
}
