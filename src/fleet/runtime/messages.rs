//! Messages to and from other members for the consensus node, and its timer.

use super::*;

impl Member {
    pub(super) async fn receive_messages(self: &Rc<Self>, mut stream: TcpStream, first: Vec<u8>) {
        let Some(consensus) = &self.consensus else { return };
        if self.message_streams.get() >= MAX_MESSAGE_STREAMS {
            return self.count(|d| d.streams += 1);
        }
        self.message_streams.set(self.message_streams.get() + 1);
        let mut next = Some(first);
        while let Some(bytes) = next {
            match codec::decode_envelope(&bytes, &self.settings.key) {
                // One who stands by for a newer start under its id takes no part.
                Ok(message) if self.membership.borrow().is_active() => {
                    let mut outgoing = Vec::new();
                    consensus.handle_message(self.now(), message, &mut outgoing);
                    self.send_messages(outgoing);
                    self.consensus_wake.notify_one();
                }
                Ok(_) => self.count(|d| d.replayed += 1),
                Err(why) => {
                    self.count_drop(why);
                    break;
                }
            }
            next = timeout(MESSAGE_STREAM_IDLE, framing::read_frame(&mut stream, MAX_ENVELOPE_BYTES))
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
                self.count(|d| d.unsent += 1);
            }
        }
    }

    /// Where a member is reached: as the file says, as it told, or as it is looked for by name.
    pub(super) fn address_of(&self, id: &MemberId) -> Option<SocketAddr> {
        let told = || self.membership.borrow().address_of(id);
        let known =
            || self.settings.configured_members.iter().find(|(known, _)| known == id).map(|(_, at)| *at);
        self.settings.address_overrides.get(id).copied().or_else(told).or_else(known)
    }

    /// The consensus node's timer, and its disk's reports.
    pub(super) async fn run_consensus(self: &Rc<Self>) {
        let Some(consensus) = &self.consensus else { return std::future::pending().await };
        let (store_events, mut store_reports) = mpsc::unbounded_channel();
        let mut next_start = self.now();
        loop {
            let (now, mut outgoing) = (self.now(), Vec::new());
            if consensus.needs_voter_start() && now >= next_start {
                // A folder that another process has, maybe the older one of an upgrade, is tried again.
                next_start = now + self.settings.period;
                let nonce = OsRng.try_next_u64().unwrap_or(now) | 1;
                consensus.start_voting(now, nonce, store_events.clone(), &mut outgoing);
            }
            let active = self.membership.borrow().is_active();
            let due = if active { consensus.tick(now, &mut outgoing) } else { now + self.settings.period };
            self.send_messages(outgoing);
            #[cfg(feature = "faults")]
            self.test_effects.send_effects(&self.settings.id, || self.now(), consensus);
            let wait = due.saturating_sub(now).clamp(5_000, self.settings.period / 4);
            tokio::select! {
                () = sleep(Duration::from_micros(wait)) => {}
                () = self.consensus_wake.notified() => {}
                Some(event) = store_reports.recv() => {
                    let mut outgoing = Vec::new();
                    consensus.handle_store_event(self.now(), event, &mut outgoing);
                    self.send_messages(outgoing);
                }
            }
        }
    }
}
