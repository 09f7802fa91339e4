//! Overload control, the paper's flow chart: a server whose occupancy passes the limit is closed to new calls
//! (`u` = 0), and what may still go there passes a token-bucket throttle (`r`).

use rand_core::RngCore;

use super::controller::{INTERVAL, MICROS_PER_SECOND};
use super::interface::Micros;
use super::occupancy::MAX_OCCUPANCY;
use super::outlier;
use super::state::{Controller, Server};

/// `P_term-max`: occupancy to which throttled calls are driven (paper 0.60).
const THROTTLE_OCCUPANCY: f64 = 0.60;
/// `W_m`, `W_c`, `W_t`: monitoring, control and tightening windows in intervals (design 4, 16, 2 of 0.5 s);
/// short, since occupancy is measured as a wait, which is itself a sum over the past.
const MONITORING_WINDOW: usize = 1;
pub(super) const CONTROL_WINDOW: usize = 3;
const TIGHTENING_WINDOW: usize = 2;
/// `N_wait`: intervals from the closing of a server to the throttle (design 8 of 0.5 s).
const THROTTLE_DELAY: usize = 5;
/// `r_min` as a share of `r_max` (design: a twentieth).
const MIN_RATE_SHARE: f64 = 0.05;
/// `M`: bucket depth in seconds at `r_max` (design 3 s); a deep one lets held calls out in a burst.
pub(super) const THROTTLE_DEPTH_S: f64 = 0.5;
/// `r_max` is the highest send rate over the last `RATE_SPANS` spans of `RATE_SPAN` (design: in a minute).
pub(super) const RATE_SPAN: Micros = 5_000_000;
pub(super) const RATE_SPANS: usize = 12;
/// Half width, as a share, of the jitter of `MAX_OCCUPANCY`: gatekeepers do not close and reopen in step.
const LIMIT_JITTER: f64 = 0.25;
/// Highest utilization that counts as reported.
const MAX_UTILIZATION: f64 = 0.95;
/// How a reported rate grows by the interval while no new one comes: doubled in 1.4 s.
const ALLOWED_RATE_GROWTH: f64 = 1.05;

impl Controller {
    /// Takes an occupancy sample of every server and decides for the next interval.
    pub(super) fn control_servers(&mut self) {
        let starts_span = self.intervals.is_multiple_of(RATE_SPAN / INTERVAL);
        let interval = self.intervals as usize;
        for id in self.servers.keys().copied().collect::<Vec<_>>() {
            let server = &self.servers[&id];
            let reported = MAX_OCCUPANCY * server.utilization.min(MAX_UTILIZATION);
            let sample = self.occupancy(server).max(reported);
            let jitter = 1.0 + LIMIT_JITTER * (2.0 * self.rng.next_u32() as f64 / u32::MAX as f64 - 1.0);
            let server = self.servers.get_mut(&id).expect("its id was read from the same map");
            server.overload_share *= outlier::SHARE_FADE;
            server.failure_share *= outlier::SHARE_FADE;
            server.occupancy_samples.rotate_right(1);
            server.occupancy_samples[0] = sample;
            server.occupancy_limit = MAX_OCCUPANCY * jitter;
            server.control(interval);
            if starts_span {
                server.sends_per_span.rotate_right(1);
                server.sends_per_span[0] = 0;
            }
        }
    }
}

impl Server {
    /// One interval of the flow chart: opening and closing by `P_m` and `P_c`, the throttle's rate by `P_t`.
    fn control(&mut self, interval: usize) {
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

    /// `r_max`, calls a second.
    fn max_rate(&self) -> f64 {
        let most_sent = *self.sends_per_span.iter().max().unwrap_or(&0) as f64;
        (most_sent * MICROS_PER_SECOND / RATE_SPAN as f64).max(1.0)
    }

    fn mean_occupancy(&self, intervals: usize) -> f64 {
        self.occupancy_samples[..intervals].iter().sum::<f64>() / intervals as f64
    }

    /// Tightens a closed server's throttle towards `THROTTLE_OCCUPANCY`; loosens a calm one's halfway.
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

    /// Whether a closed server has been so for long enough that retries pass its throttle too.
    pub(super) fn is_throttled(&self) -> bool {
        self.intervals_since_switch >= THROTTLE_DELAY - MONITORING_WINDOW
    }

    /// Adds an interval's tokens to both buckets: the throttle's and that of the reported rate.
    fn refill(&mut self, max_rate: f64) {
        let allowed = self.allowed_rate * INTERVAL as f64 / MICROS_PER_SECOND;
        self.allowance = (self.allowance + allowed).min((THROTTLE_DEPTH_S * self.allowed_rate).max(1.0));
        self.allowed_rate *= ALLOWED_RATE_GROWTH;
        let tokens = self.throttle_rate * INTERVAL as f64 / MICROS_PER_SECOND;
        self.throttle_tokens = (self.throttle_tokens + tokens).min((THROTTLE_DEPTH_S * max_rate).max(1.0));
    }
}
