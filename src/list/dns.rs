//! The server list in DNS records: SRV names the servers, A gives their addresses, TXT their kind, cell and start; the
//! SOA serial is the list's version. With DNS-SD (RFC 6763), PTR names the instances that SRV and TXT describe.

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
        /// The name.
        name: String,
        /// The reason.
        source: ProtoError,
    },
    /// The query cannot be encoded.
    #[error(transparent)]
    Encode(#[from] ProtoError),
}

/// Builds an encoded query and its id.
///
/// # Errors
/// If the name is not a valid domain name.
pub fn build_query(name: &str, kind: RecordType) -> Result<(u16, Vec<u8>), QueryError> {
    let invalid = |source| QueryError::Name { name: name.to_string(), source };
    let name = Name::from_str(name).map_err(invalid)?;
    let mut message = Message::query();
    message.add_query(Query::query(name, kind));
    let id = message.metadata.id;
    Ok((id, message.to_vec()?))
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Service {
    name: Name,
    host: Name,
    port: u16,
    draining: bool,
}

/// The records of the list collected from one or more answers.
#[derive(Default)]
pub struct Records {
    /// The list's version, from the SOA record's serial.
    pub serial: Option<u32>,
    /// Instances named by PTR records.
    pub instances: BTreeSet<Name>,
    srv: BTreeSet<Service>,
    hosts: BTreeMap<Name, IpAddr>,
    texts: BTreeMap<Name, Vec<(String, String)>>,
}

impl Records {
    /// Reads an answer to the query with this id; false if it is not one. An error response is not an answer: read as an
    /// empty list it would remove every server.
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
                    self.texts.insert(name, pairs(txt));
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

    /// Hosts named by SRV records whose addresses are still unknown.
    pub fn hosts_without_address(&self) -> Vec<Name> {
        self.srv.iter().map(|s| &s.host).filter(|h| !self.hosts.contains_key(h)).cloned().collect()
    }

    /// Hosts whose servers no TXT record describes yet.
    pub fn hosts_without_txt(&self) -> Vec<Name> {
        let told = |s: &&Service| self.texts.contains_key(&s.host) || self.texts.contains_key(&s.name);
        self.srv.iter().filter(|s| !told(s)).map(|s| s.host.clone()).collect()
    }

    /// Whether SRV records of this name were received.
    pub fn has_service(&self, name: &Name) -> bool {
        self.srv.iter().any(|s| s.name == *name)
    }

    /// The servers, one for each SRV record whose host has an address. A server's id is the first label of
    /// its host; TXT records stand under the host or, with DNS-SD, under the instance.
    pub fn servers(&self) -> Vec<ListedServer> {
        let mut list = Vec::with_capacity(self.srv.len());
        for service in &self.srv {
            let Some(ip) = self.hosts.get(&service.host) else { continue };
            let id = service.host.iter().next().map(String::from_utf8_lossy).unwrap_or_default();
            let texts = self.texts.get(&service.host).or_else(|| self.texts.get(&service.name));
            let figure = |key: &str| {
                let value = texts?.iter().find(|(k, _)| k == key).map(|(_, v)| v.trim())?;
                value.parse::<i64>().ok()
            };
            list.push(ListedServer {
                id: id.into(),
                address: SocketAddr::new(*ip, service.port),
                pool: PoolId(figure("cell").unwrap_or(0)),
                started_at: (figure("started").unwrap_or(0).max(0) as u64).saturating_mul(1000),
                status: if service.draining { ServerStatus::Draining } else { ServerStatus::Up },
            });
        }
        list
    }
}

fn pairs(txt: &TXT) -> Vec<(String, String)> {
    let text = |part: &[u8]| String::from_utf8_lossy(part).into_owned();
    let split = |part: String| part.split_once('=').map(|(k, v)| (k.to_ascii_lowercase(), v.to_string()));
    txt.txt_data.iter().filter_map(|part| split(text(part))).collect()
}
