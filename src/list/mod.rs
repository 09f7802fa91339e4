//! The list of servers: the configured one at the start, the one from DNS later, and the directory of server ids.
//! Both frontends use it.

mod directory;
pub mod dns;
pub mod resolver;

use std::net::SocketAddr;
use std::rc::Rc;

use crate::{Micros, PoolId, ServerStatus};

pub use directory::Directory;

/// One line of the list. The id identifies a server; its address may have belonged to another one before.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// Its id.
    pub id: Rc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Its pool.
    pub pool: PoolId,
    /// When its process last started, in Unix microseconds; 0 if unknown.
    pub started_at: Micros,
    /// Whether it accepts calls.
    pub status: ServerStatus,
}
