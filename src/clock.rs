//! The system's clock and the log. Only fronts use them; the core and the module are told the time.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::Micros;

/// Unix time in microseconds.
pub fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_micros() as Micros)
}

/// Writes a line to standard error, with its time. A log that cannot be written must not stop the calls.
pub fn log(text: &str) {
    use std::io::Write as _;
    let now = now();
    let _ = writeln!(std::io::stderr(), "{}.{:06} {text}", now / 1_000_000, now % 1_000_000);
}
