//! The system's clock. Only fronts use it; the core and the module are told the time.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::Micros;

/// Unix time at the first question, and that moment by the clock that nobody sets.
static START: OnceLock<(Micros, Instant)> = OnceLock::new();

/// Unix time in microseconds, as it was at the first question and goes on from there: somebody who sets the system's clock
/// moves no deadline.
pub fn now() -> Micros {
    let (unix, start) = START.get_or_init(|| {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_micros() as Micros);
        (unix, Instant::now())
    });
    unix + start.elapsed().as_micros() as Micros
}
