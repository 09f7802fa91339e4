//! Encoding of the server list in DNS records. SRV records name the servers, A and AAAA records hold their addresses,
//! and TXT records hold their pool (`cell`) and start time (`started`). The serial of the SOA record is the version of
//! the list. With DNS-SD (RFC 6763), PTR records name the instances that SRV and TXT records describe.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use hickory_proto::ProtoError;
use hickory_proto::op::{Message, Query, ResponseCode};
use hickory_proto::rr::rdata::TXT;
use hickory_proto::rr::{Name, RData, RecordType};

use crate::{PoolId, ServerStatus};

use super::ListedServer;

/// Why a query cannot be built.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The name is not a valid domain name.
    #[error("{name}: {source}")]
    Name {
        /// The rejected name.
        name: String,
        /// The parser's error.
        source: ProtoError,
    },
    /// The query cannot be encoded.
    #[error(transparent)]
    Encode(#[from] ProtoError),
}

/// Builds a query. Returns its id and its encoded form.
///
/// # Errors
/// If the name is not a valid domain name, or the query cannot be encoded.
pub fn build_query(name: &str, kind: RecordType) -> Result<(u16, Vec<u8>), QueryError> {
    let invalid = |source| QueryError::Name { name: name.to_string(), source };
    let name = Name::from_str(name).map_err(invalid)?;
    let mut message = Message::query();
    message.add_query(Query::query(name, kind));
    let id = message.metadata.id;
    Ok((id, message.to_vec()?))
}

/// An SRV record.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Service {
    name: Name,
    host: Name,
    port: u16,
    /// A priority above 0 marks a server that is draining.
    draining: bool,
}

/// The records of one list, collected from one or more answers.
#[derive(Default)]
pub struct Records {
    /// The version of the list, taken from the serial of the SOA record.
    pub serial: Option<u32>,
    /// Service instances named by PTR records.
    pub instances: BTreeSet<Name>,
    srv: BTreeSet<Service>,
    hosts: BTreeMap<Name, IpAddr>,
    texts: BTreeMap<Name, Vec<(String, String)>>,
}

impl Records {
    /// Collects the records of an answer to the query with this id. Returns false if the message is not a valid answer
    /// to it. An error response is rejected because, read as an empty list, it would remove every server.
    pub fn read(&mut self, id: u16, bytes: &[u8]) -> bool {
        let Ok(message) = Message::from_vec(bytes) else { return false };
        let head = &message.metadata;
        if head.id != id || head.truncation || head.response_code != ResponseCode::NoError {
            return false;
        }
        for record in message.all_sections() {
            let name = record.name.to_lowercase();
            match &record.data {
                RData::SRV(srv) => {
                    let host = srv.target.to_lowercase();
                    self.srv.insert(Service { name, host, port: srv.port, draining: srv.priority > 0 });
                }
                RData::A(a) => {
                    self.hosts.insert(name, IpAddr::V4(a.0));
                }
                RData::AAAA(a) => {
                    self.hosts.entry(name).or_insert(IpAddr::V6(a.0));
                }
                RData::TXT(txt) => {
                    self.texts.insert(name, key_values(txt));
                }
                RData::PTR(ptr) => {
                    self.instances.insert(ptr.0.to_lowercase());
                }
                RData::SOA(soa) => self.serial = Some(soa.serial),
                _ => {}
            }
        }
        true
    }

    /// Hosts named by SRV records for which no address record was received yet.
    pub fn hosts_without_address(&self) -> Vec<Name> {
        self.srv.iter().map(|s| &s.host).filter(|h| !self.hosts.contains_key(h)).cloned().collect()
    }

    /// Hosts of servers for which no TXT record was received yet.
    pub fn hosts_without_txt(&self) -> Vec<Name> {
        let has_txt = |s: &&Service| self.texts.contains_key(&s.host) || self.texts.contains_key(&s.name);
        self.srv.iter().filter(|s| !has_txt(s)).map(|s| s.host.clone()).collect()
    }

    /// Whether an SRV record with this name was received.
    pub fn has_service(&self, name: &Name) -> bool {
        self.srv.iter().any(|s| s.name == *name)
    }

    /// The servers, one for each SRV record whose host has an address. A server's id is the first label of its host
    /// name. Its TXT record has the name of the host or, with DNS-SD, of the instance.
    pub fn servers(&self) -> Vec<ListedServer> {
        let mut list = Vec::with_capacity(self.srv.len());
        for service in &self.srv {
            let Some(ip) = self.hosts.get(&service.host) else { continue };
            let id = service.host.iter().next().map(String::from_utf8_lossy).unwrap_or_default();
            let texts = self.texts.get(&service.host).or_else(|| self.texts.get(&service.name));
            let number = |key: &str| {
                let value = texts?.iter().find(|(k, _)| k == key).map(|(_, v)| v.trim())?;
                value.parse::<i64>().ok()
            };
            list.push(ListedServer {
                id: id.into(),
                address: SocketAddr::new(*ip, service.port),
                pool: PoolId(number("cell").unwrap_or(0)),
                started_at: (number("started").unwrap_or(0).max(0) as u64).saturating_mul(1000),
                status: if service.draining { ServerStatus::Draining } else { ServerStatus::Up },
            });
        }
        list
    }
}

/// Parses the `key=value` strings of a TXT record. Keys are converted to lower case.
fn key_values(txt: &TXT) -> Vec<(String, String)> {
    let text = |part: &[u8]| String::from_utf8_lossy(part).into_owned();
    let split = |part: String| part.split_once('=').map(|(k, v)| (k.to_ascii_lowercase(), v.to_string()));
    txt.txt_data.iter().filter_map(|part| split(text(part))).collect()
}
