//! Tally: how many calls of each class came and what became of them, and how many attempts went out. The book counts
//! where a call enters, is answered and leaves, so no call is counted twice or left out.

/// What became of one class's calls since the start. Counts never fall.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Taken in.
    pub taken: u64,
    /// Answered: they stood.
    pub served: u64,
    /// Turned away.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Given up by their callers before they had an answer.
    pub withdrawn: u64,
    /// Attempts whose set-up was given whole to a server's connection.
    pub attempts: u64,
}

impl Counts {
    /// Adds another's.
    pub fn add(&mut self, other: &Counts) {
        self.taken += other.taken;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.withdrawn += other.withdrawn;
        self.attempts += other.attempts;
    }
}

/// How an open call left the book.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was turned away.
    Refused,
    /// It failed.
    Failed,
    /// Its caller gave it up.
    Withdrawn,
    /// It had been answered, and what stood is over.
    Over,
}

/// The counts of all classes, by their place in the settings.
#[derive(Debug, Default)]
pub struct Tally(Vec<Counts>);

impl Tally {
    /// So many classes, each at 0.
    pub fn of(classes: usize) -> Tally {
        Tally(vec![Counts::default(); classes])
    }

    /// All counts.
    pub fn counts(&self) -> &[Counts] {
        &self.0
    }

    /// The place where `count` is made; calls of no known class are in no count.
    fn of_class(&mut self, class: usize, count: impl FnOnce(&mut Counts) -> &mut u64) {
        if let Some(counts) = self.0.get_mut(class) {
            *count(counts) += 1;
        }
    }

    pub(super) fn taken(&mut self, class: usize) {
        self.of_class(class, |c| &mut c.taken);
    }

    pub(super) fn served(&mut self, class: usize) {
        self.of_class(class, |c| &mut c.served);
    }

    pub(super) fn ended(&mut self, class: usize, end: End) {
        match end {
            End::Refused => self.of_class(class, |c| &mut c.refused),
            End::Failed => self.of_class(class, |c| &mut c.failed),
            End::Withdrawn => self.of_class(class, |c| &mut c.withdrawn),
            End::Over => {} // it was counted when it was answered
        }
    }

    pub(super) fn attempt(&mut self, class: usize) {
        self.of_class(class, |c| &mut c.attempts);
    }
}
