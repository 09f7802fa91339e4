//! Messages between the consensus node and other members, and the node's timer.

use super::*;

impl LocalMember {
    /// Handles the messages of a peer's stream, beginning with `first`, until the stream ends or idles.
    pub(super) async fn receive_messages(self: &Rc<Self>, mut stream: TcpStream, first: Vec<u8>) {
        let Some(consensus) = &self.consensus else { return };
        if self.message_streams.get() >= MAX_MESSAGE_STREAMS {
            return self.count_dropped(|d| d.excess_streams += 1);
        }
        self.message_streams.set(self.message_streams.get() + 1);
        let mut next = Some(first);
        while let Some(bytes) = next {
            match codec::decode_envelope(&bytes, &self.settings.key) {
                // A process in standby takes no part in the consensus.
                Ok(message) if self.membership.borrow().is_active() => {
                    let mut outgoing = Vec::new();
                    consensus.handle_message(self.now(), message, &mut outgoing);
                    self.send_messages(outgoing);
                    self.consensus_wake.notify_one();
                }
                Ok(_) => self.count_dropped(|d| d.replayed += 1),
                Err(error) => {
                    self.count_decode_error(error);
                    break;
                }
            }
            next = timeout(MESSAGE_STREAM_IDLE_TIMEOUT, framing::read_frame(&mut stream, MAX_ENVELOPE_BYTES))
                .await
                .ok()
                .and_then(Result::ok)
                .flatten();
        }
        self.message_streams.set(self.message_streams.get() - 1);
    }

    pub(super) fn send_messages(&self, outgoing: Vec<PeerMessage>) {
        for message in outgoing {
            let Some(address) = self.address_of(&message.to) else { continue };
            let bytes = codec::encode_envelope(&message, &self.settings.key);
            if !self.peers.send(&message.to, address, bytes) {
                self.count_dropped(|d| d.unsent += 1);
            }
        }
    }

    /// Returns the address of a member: from `via`, else as it announced it, else from `members`.
    pub(super) fn address_of(&self, id: &MemberId) -> Option<SocketAddr> {
        let announced = || self.membership.borrow().address_of(id);
        let known =
            || self.settings.configured_members.iter().find(|(known, _)| known == id).map(|(_, at)| *at);
        self.settings.address_overrides.get(id).copied().or_else(announced).or_else(known)
    }

    /// Runs the consensus node's timer and handles the reports of its log writer.
    pub(super) async fn run_consensus(self: &Rc<Self>) {
        let Some(consensus) = &self.consensus else { return std::future::pending().await };
        let (event_sender, mut store_events) = mpsc::unbounded_channel();
        let mut next_attempt = self.now();
        loop {
            let (now, mut outgoing) = (self.now(), Vec::new());
            if consensus.needs_voter_start() && now >= next_attempt {
                // The folder may be locked by another process, such as the older one of an upgrade; retries every
                // period.
                next_attempt = now + self.settings.period;
                let nonce = OsRng.try_next_u64().unwrap_or(now) | 1;
                consensus.start_voting(now, nonce, event_sender.clone(), &mut outgoing);
            }
            let is_active = self.membership.borrow().is_active();
            let deadline =
                if is_active { consensus.tick(now, &mut outgoing) } else { now + self.settings.period };
            self.send_messages(outgoing);
            #[cfg(feature = "faults")]
            self.test_effects.send_effects(&self.settings.id, || self.now(), consensus);
            let wait = deadline.saturating_sub(now).clamp(5_000, self.settings.period / 4);
            tokio::select! {
                () = sleep(Duration::from_micros(wait)) => {}
                () = self.consensus_wake.notified() => {}
                Some(event) = store_events.recv() => {
                    let mut outgoing = Vec::new();
                    consensus.handle_store_event(self.now(), event, &mut outgoing);
                    self.send_messages(outgoing);
                }
            }
        }
    }
}
