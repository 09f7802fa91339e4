//! The list of servers: what the configuration knows at the start, what DNS tells later, and who is who.
//! Both fronts use it.

mod directory;
pub mod dns;
pub mod resolver;

use std::net::SocketAddr;
use std::rc::Rc;

use crate::{Micros, PoolId, ServerStatus};

pub use directory::Directory;

/// One line of the list. A server is known by its id; its address may have been another's before.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its id.
    pub id: Rc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its pool.
    pub pool: PoolId,
    /// When its process last started, in Unix microseconds; 0: long ago.
    pub started_at: Micros,
    /// Whether it takes calls.
    pub status: ServerStatus,
}
