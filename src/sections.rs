//! The operators' file as this program has it: which sections there are, and what comes of them. `ops` reads the file and
//! knows none of them; each section's type and checks are its subsystem's.

use std::path::Path as FilePath;

use schemars::JsonSchema;
use serde::Deserialize;

use crate::fleet::settings::{self, FleetRole};
use crate::limits::{self, Ceilings, Plan};
use crate::log;
use crate::ops::{self, Report};

/// Everything that the file can hold. Each section may be left out.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct File {
    /// What is logged, and how.
    pub log: Option<log::Section>,
    /// What a route and a class allow.
    pub limits: Option<limits::file::Section>,
    /// How this gatekeeper takes part in a fleet; without it it takes part in none.
    pub fleet: Option<settings::Section>,
}

/// A file that was accepted.
#[derive(Debug)]
pub struct OpsConfig {
    /// What is logged, where the command line does not say.
    pub log: log::Settings,
    /// What routes and classes allow.
    pub plan: Plan,
    /// How it takes part in a fleet.
    pub fleet: FleetRole,
    /// Digest of the file, for the fleet: members whose files differ are told apart.
    pub digest: u64,
    /// Warnings, if there are any.
    pub report: Report,
}

/// Reads a file. `ceilings` are the platform's, where its configuration is known; `node` is the fleet's member that is
/// started with it, where the command line names one.
pub fn read(path: &FilePath, ceilings: &Ceilings, node: Option<&str>) -> Result<OpsConfig, Report> {
    read_text(&path.display().to_string(), &ops::load(path)?, ceilings, node)
}

/// Reads a text that came under this name.
pub fn read_text(
    name: &str,
    text: &str,
    ceilings: &Ceilings,
    node: Option<&str>,
) -> Result<OpsConfig, Report> {
    let mut log = log::Draft::default();
    let mut limits = limits::Draft::new(ceilings);
    let mut fleet = settings::Draft::new(node);
    let report = ops::read(name, text, &mut [&mut log, &mut limits, &mut fleet]);
    if report.refused {
        return Err(report);
    }
    let digest = cobaltspool_fleet::codec::file_digest(text.as_bytes());
    Ok(OpsConfig { log: log.settings(), plan: limits.plan(), fleet: fleet.role(), digest, report })
}

/// A JSON Schema of the file, for editors.
pub fn schema() -> String {
    let schema = schemars::schema_for!(File);
    serde_json::to_string_pretty(&schema).unwrap_or_default()
}
