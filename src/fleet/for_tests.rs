//! Work that only tests have (feature `faults`): an owner of `test/N` sends a datagram with its token to a witness, again and again. The
//! fail point `effect` stands between the owner's check and the effect.

use std::net::{SocketAddr, UdpSocket};

use cobaltspool_fleet::member::MemberId;
use cobaltspool_fleet::owner::Work;

use super::council::Council;
use crate::Micros;

/// What a test asks for by the environment.
pub(super) struct Trial {
    works: Vec<Work>,
    witness: Option<(UdpSocket, SocketAddr)>,
}

impl Trial {
    /// `COBALTSPOOL_TEST_WORKS` is how many items, `COBALTSPOOL_WITNESS` where effects go.
    pub fn asked_for() -> Trial {
        let var = |name| std::env::var(name).ok();
        let count = var("COBALTSPOOL_TEST_WORKS").and_then(|n| n.parse().ok()).unwrap_or(0);
        let at = var("COBALTSPOOL_WITNESS").and_then(|at| at.parse().ok());
        let socket = UdpSocket::bind(("127.0.0.1", 0)).ok();
        Trial {
            works: (0..count).filter_map(|n| Work::new(&format!("test/{n}"))).collect(),
            witness: socket.zip(at),
        }
    }

    pub fn join(&self, council: &Council) {
        self.works.iter().for_each(|work| council.wants(work.clone()));
    }

    pub fn act(&self, id: &MemberId, now: impl Fn() -> Micros, council: &Council) {
        let Some((socket, witness)) = &self.witness else { return };
        for work in &self.works {
            if let Some(token) = council.holds(now(), work) {
                fail::fail_point!("effect");
                let _ = socket.send_to(format!("{work} {token} {id}").as_bytes(), witness);
            }
        }
    }
}
