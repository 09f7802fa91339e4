//! Reads and checks the `limits` section.

use serde_json::Value;

use super::file::Section;
use super::{Ceilings, Plan};
use crate::ops::{self, Finding, Path};

/// The section while the file is being read and checked.
pub struct Draft<'a> {
    ceilings: &'a Ceilings,
    section: Section,
    plan: Option<Plan>,
}

impl<'a> Draft<'a> {
    /// An empty section. `ceilings` are those of the platform if its configuration is known.
    pub fn new(ceilings: &'a Ceilings) -> Draft<'a> {
        Draft { ceilings, section: Section::default(), plan: None }
    }

    /// The plan of an accepted file.
    pub fn plan(self) -> Plan {
        self.plan.unwrap_or_else(|| Plan::new(self.section, self.ceilings))
    }
}

impl ops::Section for Draft<'_> {
    fn key(&self) -> &'static str {
        "limits"
    }

    fn read(&mut self, value: Value, at: &Path, findings: &mut Vec<Finding>) {
        self.section = Section::read(value, at, findings);
    }

    fn check(&mut self) -> Vec<Finding> {
        let plan = Plan::new(std::mem::take(&mut self.section), self.ceilings);
        self.plan.insert(plan).check()
    }
}
