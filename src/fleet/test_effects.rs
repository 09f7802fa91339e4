//! Effects that only tests have (feature `faults`): an owner of `test/N` sends a datagram with its token to a recorder, again and
//! again. The fail point `effect` is between the owner's check and the effect.

use std::net::{SocketAddr, UdpSocket};

use cobaltspool_fleet::lease::ResourceName;
use cobaltspool_fleet::member::MemberId;

use super::consensus_node::ConsensusNode;
use crate::Micros;

/// What a test asks for by the environment.
pub(super) struct TestEffects {
    resources: Vec<ResourceName>,
    recorder: Option<(UdpSocket, SocketAddr)>,
}

impl TestEffects {
    /// `COBALTSPOOL_TEST_WORKS` is how many resources, `COBALTSPOOL_WITNESS` where effects go.
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

    /// Has the node ask for the test's resources.
    pub fn request_resources(&self, node: &ConsensusNode) {
        self.resources.iter().for_each(|resource| node.request_resource(resource.clone()));
    }

    /// Sends an effect for each of them that the node owns.
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
