//! Counters of calls by class and outcome. The call table updates the counters of calls when a call is inserted,
//! established or removed, so that every call is counted exactly once.

/// Counters of one class's calls since the start of the process. They never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Calls requested.
    pub requested: u64,
    /// Calls established.
    pub served: u64,
    /// Calls rejected.
    pub rejected: u64,
    /// Calls failed.
    pub failed: u64,
    /// Calls cancelled by their callers before the final answer.
    pub cancelled: u64,
    /// Attempts whose set-up message was written in full to a server's connection.
    pub attempts: u64,
}

impl ClassCounters {
    /// Adds the counters of `other`.
    pub fn add(&mut self, other: &ClassCounters) {
        self.requested += other.requested;
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.cancelled += other.cancelled;
        self.attempts += other.attempts;
    }
}

/// Why a call was removed from the call table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The call was rejected.
    Rejected,
    /// The call failed.
    Failed,
    /// The caller cancelled the call.
    Cancelled,
    /// The call was established and has been released.
    Released,
}

/// The counters of all classes, indexed by the class's position in the settings.
#[derive(Debug, Default)]
pub struct CallCounters(Vec<ClassCounters>);

impl CallCounters {
    /// Creates counters for this number of classes, all 0.
    pub fn new(classes: usize) -> CallCounters {
        CallCounters(vec![ClassCounters::default(); classes])
    }

    /// All counters.
    pub fn by_class(&self) -> &[ClassCounters] {
        &self.0
    }

    pub(super) fn record_requested(&mut self, class: usize) {
        self.increment(class, |counters| &mut counters.requested);
    }

    pub(super) fn record_served(&mut self, class: usize) {
        self.increment(class, |counters| &mut counters.served);
    }

    pub(super) fn record_end(&mut self, class: usize, end: CallEnd) {
        match end {
            CallEnd::Rejected => self.increment(class, |counters| &mut counters.rejected),
            CallEnd::Failed => self.increment(class, |counters| &mut counters.failed),
            CallEnd::Cancelled => self.increment(class, |counters| &mut counters.cancelled),
            CallEnd::Released => {} // already counted as served
        }
    }

    pub(super) fn record_attempt(&mut self, class: usize) {
        self.increment(class, |counters| &mut counters.attempts);
    }

    /// Calls of an unknown class are not counted.
    fn increment(&mut self, class: usize, counter: impl FnOnce(&mut ClassCounters) -> &mut u64) {
        if let Some(counters) = self.0.get_mut(class) {
            *counter(counters) += 1;
        }
    }
}
