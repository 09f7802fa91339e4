//! The list of servers: the configured list used at startup, the list polled from DNS, and the directory of server
//! ids. Both frontends use it.

mod directory;
pub mod dns;
pub mod resolver;

use std::net::SocketAddr;
use std::rc::Rc;

use crate::{Micros, PoolId, ServerStatus};

pub use directory::Directory;

/// One entry of the list. A server is identified by its id, since its address may have belonged to another server
/// before.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The server's unique id.
    pub id: Rc<str>,
    /// The address at which it accepts calls.
    pub address: SocketAddr,
    /// The pool it belongs to.
    pub pool: PoolId,
    /// When its process last started, in Unix microseconds; 0 if unknown.
    pub started_at: Micros,
    /// Whether it accepts calls.
    pub status: ServerStatus,
}
