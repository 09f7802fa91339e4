//! A limit on the datagrams of each source address, applied before a datagram is parsed. A source that floods the socket
//! then costs little more than its reads, and the others are served.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::Micros;

/// Maximum number of source addresses that are tracked; sources that send little are forgotten at this number.
const MAX_SOURCES: usize = 8_192;
/// The burst that a source may send, in seconds of its rate.
const BURST_S: f64 = 0.5;

/// A token bucket.
struct Bucket {
    tokens: f64,
    updated_at: Micros,
}

/// The token buckets of all source addresses.
pub(super) struct DatagramLimiter {
    rate: f64,
    buckets: HashMap<SocketAddr, Bucket>,
}

impl DatagramLimiter {
    /// Creates a limiter that accepts this many datagrams of a source per second.
    pub fn new(max_datagrams_per_s: usize) -> Self {
        DatagramLimiter { rate: max_datagrams_per_s as f64, buckets: HashMap::new() }
    }

    /// Whether a datagram from this source is accepted now.
    pub fn accepts(&mut self, source: SocketAddr, now: Micros) -> bool {
        if self.buckets.len() >= MAX_SOURCES {
            self.forget_quiet_sources(now);
        }
        let burst = self.rate * BURST_S;
        let bucket = self.buckets.entry(source).or_insert(Bucket { tokens: burst, updated_at: now });
        let elapsed_s = now.saturating_sub(bucket.updated_at) as f64 / 1e6;
        bucket.tokens = (bucket.tokens + elapsed_s * self.rate).min(burst);
        bucket.updated_at = now;
        let is_accepted = bucket.tokens >= 1.0;
        if is_accepted {
            bucket.tokens -= 1.0;
        }
        is_accepted
    }

    /// Forgets the sources whose buckets are full again; if none are, all sources start anew.
    fn forget_quiet_sources(&mut self, now: Micros) {
        let refill_time = (BURST_S * 1e6) as Micros;
        self.buckets.retain(|_, bucket| now < bucket.updated_at + refill_time);
        if self.buckets.len() >= MAX_SOURCES {
            self.buckets.clear();
        }
    }
}

#[cfg(test)]
mod tests;
