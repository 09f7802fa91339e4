//! The sections of the operators' file and the settings read from them. `ops` parses the file independently of its
//! sections; the type and checks of each section are defined by its subsystem.

use std::path::Path as FilePath;

use schemars::JsonSchema;
use serde::Deserialize;

use crate::fleet::settings::{self, FleetRole};
use crate::limits::{self, Ceilings, Plan};
use crate::log;
use crate::ops::{self, Report};

/// The operators' file. Every section is optional.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct File {
    /// Log levels and format.
    pub log: Option<log::Section>,
    /// Limits of routes and classes.
    pub limits: Option<limits::file::Section>,
    /// Membership of this gatekeeper in a fleet. Without this section it is not part of a fleet.
    pub fleet: Option<settings::Section>,
}

/// The settings of an accepted file.
#[derive(Debug)]
pub struct OpsConfig {
    /// Log settings, used where the command line does not set them.
    pub log: log::Settings,
    /// Limits of routes and classes.
    pub plan: Plan,
    /// Membership in a fleet.
    pub fleet: FleetRole,
    /// Digest of the file. The fleet uses it to detect members whose files differ.
    pub digest: u64,
    /// The report, which may contain warnings.
    pub report: Report,
}

/// Reads a file. `ceilings` are the limits of the installation, if its configuration is known; `node` is the fleet member
/// named on the command line, if any.
pub fn read(path: &FilePath, ceilings: &Ceilings, node: Option<&str>) -> Result<OpsConfig, Report> {
    read_text(&path.display().to_string(), &ops::load(path)?, ceilings, node)
}

/// Reads the settings from a text. `name` is the file name used in the report.
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

/// Returns the JSON Schema of the file, for editors.
pub fn schema() -> String {
    let schema = schemars::schema_for!(File);
    serde_json::to_string_pretty(&schema).unwrap_or_default()
}
