//! Counters of calls by class and outcome. The call table counts where a call enters, is answered and leaves, so no call is
//! counted twice or left out.

/// What became of one class's calls since the start. Counters never fall.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Requested.
    pub requested: u64,
    /// Established.
    pub served: u64,
    /// Rejected.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Cancelled by their callers before they had an answer.
    pub cancelled: u64,
    /// Attempts whose set-up was written whole to a server's connection.
    pub attempts: u64,
}

impl ClassCounters {
    /// Adds another's.
    pub fn add(&mut self, other: &ClassCounters) {
        self.requested += other.requested;
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.cancelled += other.cancelled;
        self.attempts += other.attempts;
    }
}

/// How a call left the call table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It was rejected.
    Rejected,
    /// It failed.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
    /// It had been established, and was released.
    Released,
}

/// The counters of all classes, by their place in the settings.
#[derive(Debug, Default)]
pub struct CallCounters(Vec<ClassCounters>);

impl CallCounters {
    /// So many classes, each at 0.
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
            CallEnd::Released => {} // it was counted when it was established
        }
    }

    pub(super) fn record_attempt(&mut self, class: usize) {
        self.increment(class, |counters| &mut counters.attempts);
    }

    /// Calls of no known class are in no counter.
    fn increment(&mut self, class: usize, counter: impl FnOnce(&mut ClassCounters) -> &mut u64) {
        if let Some(counters) = self.0.get_mut(class) {
            *counter(counters) += 1;
        }
    }
}
