//! Decodes the frontends' configurations into the values that the program uses. Unknown keys are ignored.
//!
//! The keys are an external interface; the fields that they are decoded into have their own names.

use std::collections::HashMap;
use std::net::SocketAddr;

use tinyjson::JsonValue;

use crate::gateway::PendingBounds;
use crate::limits::Ceilings;
use crate::list::ListedServer;
use crate::{Class, EndpointListScope, Micros, PoolId, Rules, ServerStatus, Settings};

const BYTES_PER_MB: usize = 1024 * 1024;
/// The descriptions of pending calls may occupy the memory divided by this.
const DESCRIPTIONS_SHARE: usize = 4;

/// Why a configuration cannot be decoded.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// A value that must be an object has another type.
    #[error("{0} is not an object")]
    NotAnObject(String),
    /// A required key is missing.
    #[error("'{0}' is missing")]
    Missing(String),
    /// The value of a key has the wrong type.
    #[error("'{key}' is not {expected}")]
    WrongType {
        /// The key.
        key: String,
        /// The expected type, with its article.
        expected: &'static str,
    },
    /// A count or a time is negative.
    #[error("'{0}' is negative")]
    Negative(String),
    /// The DNS-SD service name contains no transport.
    #[error("'service' names neither _udp nor _tcp")]
    NoTransport,
    /// No class is configured.
    #[error("'services' is missing or empty")]
    NoClasses,
    /// The pools of a class are not a list.
    #[error("a class's pools are not a list")]
    PoolsNotAList,
    /// A pool of a class is not a number.
    #[error("a pool is not a number")]
    PoolNotANumber,
    /// A server's lifecycle state is unknown.
    #[error("'lifecycle' is '{0}'")]
    UnknownLifecycle(String),
}

/// The configuration of the platform frontend.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the gatekeeper.
    pub name: String,
    /// Address on which it accepts clients.
    pub listen: SocketAddr,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of file descriptors.
    pub max_sockets: usize,
    /// Address of the DNS resolver.
    pub dns: SocketAddr,
    /// Sequence number of the last event of the endpoint list.
    pub list_seq: u32,
    /// Events of the endpoint list up to `list_seq`.
    pub list_events: Vec<(EndpointListScope, Vec<ListedServer>)>,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the classes, by their index in the settings.
    pub classes: Vec<String>,
    /// Timeout for connecting to a server.
    pub dial_timeout: Micros,
    /// Maximum time that callers wait, by the index of their class in the settings.
    pub max_waits: Vec<Micros>,
    /// Address of the admin listener; `None` if it is disabled.
    pub admin_address: Option<SocketAddr>,
    /// Bounds on calls without a final answer.
    pub pending_bounds: PendingBounds,
}

/// The configuration of the SIP frontend.
#[derive(Clone, Debug)]
pub struct SipConfig {
    /// Name of the gatekeeper.
    pub name: String,
    /// Address on which it listens over UDP.
    pub udp: SocketAddr,
    /// Address on which it listens over TCP.
    pub tcp: SocketAddr,
    /// Address of the DNS resolver.
    pub dns: SocketAddr,
    /// The DNS-SD service whose instances are the servers, such as `_sip._udp.pool.lan`. Its second label is the transport
    /// used to reach them.
    pub service: String,
    /// Seed of the random number generator.
    pub seed: u64,
    /// T1 of RFC 3261.
    pub t1: Micros,
    /// Maximum time that a caller waits.
    pub max_wait: Micros,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the classes, by their index in the settings.
    pub classes: Vec<String>,
    /// Timeout for opening a TCP connection.
    pub dial_timeout: Micros,
    /// Address of the admin listener; `None` if it is disabled.
    pub admin_address: Option<SocketAddr>,
    /// Bounds on calls without a final answer.
    pub pending_bounds: PendingBounds,
    /// Bounds on what requests of all peers may occupy.
    pub bounds: SipBounds,
}

/// Bounds on the memory of the SIP frontend, over all its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SipBounds {
    /// Maximum number of server transactions that start calls.
    pub max_transactions: usize,
    /// Maximum memory of these transactions, in bytes.
    pub max_transaction_bytes: usize,
    /// Maximum number of datagrams per second that are read from one source address; further ones are dropped.
    pub max_datagrams_per_s: usize,
}

impl Default for SipBounds {
    fn default() -> Self {
        SipBounds {
            max_transactions: 10_000,
            max_transaction_bytes: 64 * 1024 * 1024,
            max_datagrams_per_s: 5_000,
        }
    }
}

/// A JSON object with typed access by key. Errors name the key.
pub struct Object<'a>(&'a HashMap<String, JsonValue>);

impl Config {
    /// The limits that the installation sets.
    pub fn ceilings(&self) -> Ceilings {
        Ceilings::from_settings(&self.settings, &self.classes, &self.max_waits, true)
    }
}

impl SipConfig {
    /// The limits that the installation sets.
    pub fn ceilings(&self) -> Ceilings {
        Ceilings::from_settings(
            &self.settings,
            &self.classes,
            &vec![self.max_wait; self.classes.len()],
            false,
        )
    }
}

impl<'a> Object<'a> {
    /// Wraps a value that must be an object. Errors refer to the value as `what`.
    pub fn from_json(value: &'a JsonValue, what: &str) -> Result<Self, ConfigError> {
        value.get().map(Object).ok_or_else(|| ConfigError::NotAnObject(what.to_string()))
    }

    /// Returns the value of a required key.
    pub fn require(&self, key: &str) -> Result<&'a JsonValue, ConfigError> {
        self.0.get(key).ok_or_else(|| ConfigError::Missing(key.to_string()))
    }

    /// Returns a required string.
    pub fn text(&self, key: &str) -> Result<&'a str, ConfigError> {
        let text = self.require(key)?.get::<String>();
        text.map(String::as_str).ok_or_else(|| wrong_type(key, "a text"))
    }

    /// Returns a required address.
    pub fn address(&self, key: &str) -> Result<SocketAddr, ConfigError> {
        self.text(key)?.parse().map_err(|_| wrong_type(key, "an address"))
    }

    /// Returns an address, or `None` if the key is absent.
    fn optional_address(&self, key: &str) -> Result<Option<SocketAddr>, ConfigError> {
        if self.0.contains_key(key) { self.address(key).map(Some) } else { Ok(None) }
    }

    /// Returns a number, or 0 if the key is absent.
    pub fn number(&self, key: &str) -> Result<f64, ConfigError> {
        let Some(value) = self.0.get(key) else { return Ok(0.0) };
        let number = value.get::<f64>().copied().filter(|n| n.is_finite());
        number.ok_or_else(|| wrong_type(key, "a number"))
    }

    /// Returns a count or a time, or 0 if the key is absent.
    pub fn count(&self, key: &str) -> Result<u64, ConfigError> {
        let number = self.number(key)?;
        if number < 0.0 { Err(ConfigError::Negative(key.to_string())) } else { Ok(number as u64) }
    }

    fn flag(&self, key: &str) -> bool {
        self.0.get(key).and_then(|v| v.get::<bool>()).copied().unwrap_or(false)
    }

    /// Returns a list, or an empty one if the key is absent.
    pub fn list(&self, key: &str) -> Result<&'a [JsonValue], ConfigError> {
        let Some(value) = self.0.get(key) else { return Ok(&[]) };
        let list = value.get::<Vec<JsonValue>>();
        list.map(Vec::as_slice).ok_or_else(|| wrong_type(key, "a list"))
    }

    fn object(&self, key: &str) -> Result<Object<'a>, ConfigError> {
        Object::from_json(self.require(key)?, &format!("'{key}'"))
    }
}

fn wrong_type(key: &str, expected: &'static str) -> ConfigError {
    ConfigError::WrongType { key: key.to_string(), expected }
}

/// Decodes the seed of the random number generator.
fn decode_seed(top: &Object) -> Result<u64, ConfigError> {
    u64::from_str_radix(top.text("seed")?, 16).map_err(|_| wrong_type("seed", "hexadecimal"))
}

fn parse(text: &str) -> Result<JsonValue, ConfigError> {
    text.parse().map_err(|e: tinyjson::JsonParseError| ConfigError::NotJson(e.to_string()))
}

/// Decodes the platform frontend's configuration.
pub fn decode(text: &str) -> Result<Config, ConfigError> {
    let json = parse(text)?;
    let top = Object::from_json(&json, "the configuration")?;
    let seed = decode_seed(&top)?;
    let settings = top.object("settings")?;
    let list_state = top.object("known")?;
    let (classes, max_waits) = decode_classes(&settings)?;
    Ok(Config {
        name: top.text("name")?.to_string(),
        listen: top.address("listen")?,
        seed,
        max_sockets: top.object("limits")?.count("sockets")? as usize,
        dns: top.address("dns")?,
        list_seq: list_state.count("seq")? as u32,
        list_events: decode_list_events(&list_state)?,
        settings: decode_settings(&settings)?,
        classes,
        dial_timeout: settings.object("ceilings")?.count("dial-timeout-us")?,
        max_waits,
        admin_address: top.optional_address("ops")?,
        pending_bounds: decode_pending_bounds(&settings, top.object("limits")?.count("memory_mb")?)?,
    })
}

/// Decodes the SIP frontend's configuration.
pub fn decode_sip(text: &str) -> Result<SipConfig, ConfigError> {
    let json = parse(text)?;
    let top = Object::from_json(&json, "the configuration")?;
    let settings = top.object("settings")?;
    let (classes, max_waits) = decode_classes(&settings)?;
    let longest_wait = max_waits.iter().copied().max().unwrap_or(0);
    let or_default = |value: u64, default: u64| if value > 0 { value } else { default };
    let service = top.text("service")?;
    if !service.split('.').any(|label| label == "_udp" || label == "_tcp") {
        return Err(ConfigError::NoTransport);
    }
    Ok(SipConfig {
        name: top.text("name")?.to_string(),
        udp: top.address("udp")?,
        tcp: top.address("tcp")?,
        dns: top.address("dns")?,
        service: service.to_string(),
        seed: decode_seed(&top)?,
        t1: or_default(top.count("t1_ms")?, 500).min(60_000) * 1000,
        max_wait: or_default(top.count("wait_ms")?.min(3_600_000) * 1000, longest_wait),
        settings: decode_settings(&settings)?,
        classes,
        dial_timeout: settings.object("ceilings")?.count("dial-timeout-us")?,
        admin_address: top.optional_address("ops")?,
        pending_bounds: decode_pending_bounds(&settings, 0)?,
        bounds: decode_sip_bounds(&top)?,
    })
}

/// Decodes the bounds on pending calls: `max-open`, and a share of the memory for their descriptions.
fn decode_pending_bounds(settings: &Object, memory_mb: u64) -> Result<PendingBounds, ConfigError> {
    let default = PendingBounds::default();
    let max_calls = settings.object("ceilings")?.count("max-open")? as usize;
    let max_description_bytes = memory_mb as usize * BYTES_PER_MB / DESCRIPTIONS_SHARE;
    let or_default = |value: usize, default: usize| if value > 0 { value } else { default };
    Ok(PendingBounds {
        max_calls: or_default(max_calls, default.max_calls),
        max_description_bytes: or_default(max_description_bytes, default.max_description_bytes),
    })
}

fn decode_sip_bounds(top: &Object) -> Result<SipBounds, ConfigError> {
    let default = SipBounds::default();
    let or_default = |value: u64, default: usize| if value > 0 { value as usize } else { default };
    Ok(SipBounds {
        max_transactions: or_default(top.count("max_transactions")?, default.max_transactions),
        max_transaction_bytes: or_default(top.count("max_transaction_bytes")?, default.max_transaction_bytes),
        max_datagrams_per_s: or_default(top.count("max_datagrams_per_s")?, default.max_datagrams_per_s),
    })
}

/// Decodes the names of the classes and the maximum time that their callers wait.
fn decode_classes(settings: &Object) -> Result<(Vec<String>, Vec<Micros>), ConfigError> {
    let (mut names, mut max_waits) = (Vec::new(), Vec::new());
    for service in settings.list("services")? {
        let service = Object::from_json(service, "a service")?;
        names.push(service.text("name")?.to_string());
        max_waits.push(service.count("hard-limit-us")?);
    }
    if names.is_empty() { Err(ConfigError::NoClasses) } else { Ok((names, max_waits)) }
}

fn decode_settings(settings: &Object) -> Result<Settings, ConfigError> {
    let (limits, rules) = (settings.object("ceilings")?, settings.object("rules")?);
    let domain = settings.object("domain")?;
    let pools = domain.list("allowed-pools")?;
    let mut classes = Vec::new();
    for (n, service) in settings.list("services")?.iter().enumerate() {
        let service = Object::from_json(service, "a service")?;
        let effect = service.0.get("effect").and_then(|e| e.get::<String>());
        classes.push(Class {
            latency_objective: service.count("aim-us")?,
            priority_weight: service.number("worth")?,
            late_weight_share: service.number("late-worth")?,
            pools: pools.get(n).map(decode_pools).transpose()?,
            is_idempotent: effect.is_none_or(|e| e == "read_like"),
        });
    }
    let discovery = settings.0.get("discovery").and_then(|d| d.get::<String>());
    Ok(Settings {
        gatekeeper_count: settings.count("peers-total")? as u32,
        own_index: settings.count("me")? as u32,
        classes,
        retransmit_after: domain.count("resend-us")?,
        tick: settings.count("tick-us")?,
        max_attempts: limits.count("max-attempts")? as u32,
        may_hedge: limits.flag("second-copies"),
        may_cancel: limits.flag("cancel"),
        may_check_health: limits.flag("probes"),
        may_message: limits.flag("peers"),
        may_send_retry_after: limits.flag("retry-after"),
        max_retry_after: limits.count("max-retry-after-us")?,
        polls_endpoint_list: discovery.is_some_and(|d| d == "on_request"),
        rules: Rules {
            answer_slack: rules.count("answer-slack-us")?,
            drain_grace: rules.count("drain-grace-us")?,
            release_wait: domain.count("clear-wait-us")?,
            initial_capacity: rules.number("start-capacity")?,
            warm_up_duration: rules.count("warm-up-us")?,
            overload_multiple: rules.number("tip-multiple")?,
            overload_window: rules.count("fall-us")?,
        },
    })
}

fn decode_pools(value: &JsonValue) -> Result<Vec<PoolId>, ConfigError> {
    let list = value.get::<Vec<JsonValue>>().ok_or(ConfigError::PoolsNotAList)?;
    let pool = |v: &JsonValue| v.get::<f64>().map(|n| PoolId(*n as i64));
    list.iter().map(|v| pool(v).ok_or(ConfigError::PoolNotANumber)).collect()
}

/// Decodes the events of the endpoint list. The first contains the complete list; later ones contain the changed lines,
/// or the complete list again if `reset` is set.
fn decode_list_events(
    list_state: &Object,
) -> Result<Vec<(EndpointListScope, Vec<ListedServer>)>, ConfigError> {
    let mut events = Vec::new();
    for (n, event) in list_state.list("results")?.iter().enumerate() {
        let fleet = Object::from_json(event, "an event")?.object("fleet")?;
        let scope = match (n, fleet.flag("reset")) {
            (0, _) => EndpointListScope::Restored,
            (_, true) => EndpointListScope::Complete,
            _ => EndpointListScope::Changes,
        };
        let lines = fleet.list("instances")?.iter().map(decode_server).collect::<Result<_, ConfigError>>()?;
        events.push((scope, lines));
    }
    Ok(events)
}

fn decode_server(line: &JsonValue) -> Result<ListedServer, ConfigError> {
    let line = Object::from_json(line, "a server")?;
    let status = match line.text("lifecycle")? {
        "in_service" => ServerStatus::Up,
        "terminating" => ServerStatus::Draining,
        "terminated" => ServerStatus::Removed,
        other => return Err(ConfigError::UnknownLifecycle(other.to_string())),
    };
    // A removed server may have no address.
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    let address = line.address("hostPort");
    Ok(ListedServer {
        id: line.text("instanceId")?.into(),
        address: if status == ServerStatus::Removed { address.unwrap_or(unspecified) } else { address? },
        pool: PoolId(line.number("cell")? as i64),
        started_at: line.count("startedAtMs")?.saturating_mul(1000),
        status,
    })
}
