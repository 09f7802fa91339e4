//! Overload control according to the paper's flow chart: a server whose occupancy exceeds the limit is closed
//! to new calls (`u` = 0), and other calls to it are limited by a token-bucket throttle (`r`).

use rand_core::RngCore;

use super::controller::{INTERVAL, MICROS_PER_SECOND};
use super::interface::Micros;
use super::occupancy::MAX_OCCUPANCY;
use super::outlier;
use super::state::{Controller, Server};

/// `P_term-max`: target occupancy of a throttled server (paper 0.60).
const THROTTLE_OCCUPANCY: f64 = 0.60;
/// `W_m`: monitoring window in intervals (design: 4 of 0.5 s). It and `CONTROL_WINDOW` are short since
/// occupancy is measured as a queueing delay, which itself accumulates past load.
const MONITORING_WINDOW: usize = 1;
/// `W_c`: control window in intervals (design: 16 of 0.5 s).
pub(super) const CONTROL_WINDOW: usize = 3;
/// `W_t`: tightening window in intervals (design: 2 of 0.5 s).
const TIGHTENING_WINDOW: usize = 2;
/// `N_wait`: number of intervals from the closing of a server until its throttle tightens (design: 8, of
/// 0.5 s each).
const THROTTLE_DELAY: usize = 5;
/// `r_min` as a share of `r_max` (design: a twentieth).
const MIN_RATE_SHARE: f64 = 0.05;
/// `M`: bucket depth, in seconds at `r_max` (design: 3 s). A deep bucket would release deferred calls in a
/// burst.
pub(super) const THROTTLE_DEPTH_S: f64 = 0.5;
/// `r_max` is the highest send rate in any of the last `RATE_SPANS` spans of length `RATE_SPAN` (design:
/// within a minute).
pub(super) const RATE_SPAN: Micros = 5_000_000;
pub(super) const RATE_SPANS: usize = 12;
/// Half width of the jitter of `MAX_OCCUPANCY`, as a share. The jitter prevents gatekeepers from closing and
/// reopening a server at the same time.
const LIMIT_JITTER: f64 = 0.25;
/// Upper bound applied to a reported utilization.
const MAX_UTILIZATION: f64 = 0.95;
/// Factor by which a reported rate grows per interval until a new one is reported; it doubles in 1.4 s.
const ALLOWED_RATE_GROWTH: f64 = 1.05;

impl Controller {
    /// Takes an occupancy sample of every server and updates its overload control for the next interval.
    pub(super) fn update_overload_control(&mut self) {
        let starts_span = self.intervals.is_multiple_of(RATE_SPAN / INTERVAL);
        let interval = self.intervals as usize;
        for id in self.servers.keys().copied().collect::<Vec<_>>() {
            let server = &self.servers[&id];
            let reported = MAX_OCCUPANCY * server.utilization.min(MAX_UTILIZATION);
            let sample = self.occupancy(server).max(reported);
            let jitter = 1.0 + LIMIT_JITTER * (2.0 * self.rng.next_u32() as f64 / u32::MAX as f64 - 1.0);
            let server = self.servers.get_mut(&id).expect("its id was read from the same map");
            server.overload_share *= outlier::SHARE_DECAY;
            server.failure_share *= outlier::SHARE_DECAY;
            server.occupancy_samples.rotate_right(1);
            server.occupancy_samples[0] = sample;
            server.occupancy_limit = MAX_OCCUPANCY * jitter;
            server.update_control(interval);
            if starts_span {
                server.sends_per_span.rotate_right(1);
                server.sends_per_span[0] = 0;
            }
        }
    }
}

impl Server {
    /// Executes one interval of the flow chart: opens or closes the server by its mean occupancy over the
    /// monitoring window (`P_m`) and the control window (`P_c`), and adjusts the rate of the throttle by the
    /// mean over the tightening window (`P_t`).
    fn update_control(&mut self, interval: usize) {
        let max_rate = self.max_rate();
        let min_rate = MIN_RATE_SHARE * max_rate;
        self.intervals_since_switch += 1;
        if self.is_open && self.mean_occupancy(MONITORING_WINDOW) > self.occupancy_limit {
            (self.is_open, self.intervals_since_switch) = (false, 0);
        } else if !self.is_open && self.mean_occupancy(CONTROL_WINDOW) < self.occupancy_limit {
            (self.is_open, self.intervals_since_switch) = (true, 0);
        }
        if interval.is_multiple_of(TIGHTENING_WINDOW) {
            self.adjust_rate(max_rate, min_rate);
        }
        self.throttle_rate = self.throttle_rate.clamp(min_rate, max_rate);
        self.refill(max_rate);
    }

    /// `r_max`: upper bound of the rate of the throttle, calls per second.
    fn max_rate(&self) -> f64 {
        let max_sends = *self.sends_per_span.iter().max().unwrap_or(&0) as f64;
        (max_sends * MICROS_PER_SECOND / RATE_SPAN as f64).max(1.0)
    }

    fn mean_occupancy(&self, intervals: usize) -> f64 {
        self.occupancy_samples[..intervals].iter().sum::<f64>() / intervals as f64
    }

    /// Tightens the throttle of a closed server towards `THROTTLE_OCCUPANCY`. Loosens the throttle of an open
    /// server that is not overloaded, by half of the difference to `r_max`.
    fn adjust_rate(&mut self, max_rate: f64, min_rate: f64) {
        let occupancy = self.mean_occupancy(TIGHTENING_WINDOW);
        if !self.is_open && self.is_throttled() {
            let is_busy = occupancy > 0.0;
            let rate = if is_busy { self.throttle_rate * THROTTLE_OCCUPANCY / occupancy } else { max_rate };
            self.throttle_rate = rate.max(min_rate);
        } else if self.is_open
            && self.intervals_since_switch >= TIGHTENING_WINDOW
            && occupancy < MAX_OCCUPANCY
        {
            self.throttle_rate = (self.throttle_rate.min(max_rate) + max_rate) / 2.0;
        }
    }

    /// Whether a closed server has been closed long enough for its throttle to apply to retries as well.
    pub(super) fn is_throttled(&self) -> bool {
        self.intervals_since_switch >= THROTTLE_DELAY - MONITORING_WINDOW
    }

    /// Adds the tokens of one interval to both buckets, that of the throttle and that of the reported rate.
    fn refill(&mut self, max_rate: f64) {
        let allowed = self.allowed_rate * INTERVAL as f64 / MICROS_PER_SECOND;
        self.allowance = (self.allowance + allowed).min((THROTTLE_DEPTH_S * self.allowed_rate).max(1.0));
        self.allowed_rate *= ALLOWED_RATE_GROWTH;
        let tokens = self.throttle_rate * INTERVAL as f64 / MICROS_PER_SECOND;
        self.throttle_tokens = (self.throttle_tokens + tokens).min((THROTTLE_DEPTH_S * max_rate).max(1.0));
    }
}
