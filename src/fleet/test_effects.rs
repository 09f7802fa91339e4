//! Observable effects for tests (feature `faults`): the owner of the resource `test/N` repeatedly sends a datagram
//! with its token to a recorder. The fail point `effect` lies between the owner's check of its lease and the
//! datagram.

use std::net::{SocketAddr, UdpSocket};

use cobaltspool_fleet::lease::ResourceName;
use cobaltspool_fleet::member::MemberId;

use super::consensus_node::ConsensusNode;
use crate::Micros;

/// Resources and recorder that a test has set in the environment.
pub(super) struct TestEffects {
    resources: Vec<ResourceName>,
    recorder: Option<(UdpSocket, SocketAddr)>,
}

impl TestEffects {
    /// `COBALTSPOOL_TEST_WORKS` is the number of resources, `COBALTSPOOL_WITNESS` the address of the recorder.
    pub fn from_environment() -> TestEffects {
        let var = |name| std::env::var(name).ok();
        let count = var("COBALTSPOOL_TEST_WORKS").and_then(|n| n.parse().ok()).unwrap_or(0);
        let address = var("COBALTSPOOL_WITNESS").and_then(|address| address.parse().ok());
        let socket = UdpSocket::bind(("127.0.0.1", 0)).ok();
        TestEffects {
            resources: (0..count).filter_map(|n| ResourceName::new(&format!("test/{n}"))).collect(),
            recorder: socket.zip(address),
        }
    }

    /// Makes the node request the test's resources.
    pub fn request_resources(&self, node: &ConsensusNode) {
        self.resources.iter().for_each(|resource| node.request_resource(resource.clone()));
    }

    /// Sends a datagram for each of these resources that the node owns.
    pub fn send_effects(&self, id: &MemberId, now: impl Fn() -> Micros, node: &ConsensusNode) {
        let Some((socket, recorder)) = &self.recorder else { return };
        for resource in &self.resources {
            if let Some(token) = node.token(now(), resource) {
                fail::fail_point!("effect");
                let _ = socket.send_to(format!("{resource} {token} {id}").as_bytes(), recorder);
            }
        }
    }
}
