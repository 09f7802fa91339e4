//! The system's clock. Only fronts use it; the core and the module are told the time.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::Micros;

/// Unix time in microseconds.
pub fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_micros() as Micros)
}
