//! Inbound streams, exchanges of full tables with other members, and the limits on them.

use super::*;

/// Delay after a failed accept, for example when no file descriptor is available.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

impl LocalMember {
    /// Accepts streams from other members, up to [`MAX_INBOUND_STREAMS`] at a time.
    pub(super) async fn accept(self: &Rc<Self>, tcp: &TcpListener) {
        let slots = Rc::new(());
        loop {
            let Ok((stream, _)) = tcp.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if Rc::strong_count(&slots) > MAX_INBOUND_STREAMS {
                self.count_dropped(|d| d.excess_streams += 1);
                continue;
            }
            tokio::task::spawn_local(self.clone().serve_stream(stream, slots.clone()));
        }
    }

    /// Serves an accepted stream: an exchange of tables, or a peer's messages. `slot` counts against
    /// [`MAX_INBOUND_STREAMS`].
    async fn serve_stream(self: Rc<Self>, mut stream: TcpStream, slot: Rc<()>) {
        // A stream whose first frame is a message carries only messages and counts against MAX_MESSAGE_STREAMS instead.
        let first =
            timeout(framing::EXCHANGE_TIMEOUT, framing::read_frame(&mut stream, MAX_ENVELOPE_BYTES)).await;
        let Ok(Ok(Some(bytes))) = first else {
            if matches!(first, Ok(Ok(None))) {
                self.count_dropped(|d| d.oversized += 1);
            }
            return;
        };
        if codec::is_envelope(&bytes) {
            drop(slot);
            return self.receive_messages(stream, bytes).await;
        }
        // A failed or slow exchange is not retried: later exchanges cover the same differences.
        let _ = timeout(framing::EXCHANGE_TIMEOUT, self.answer_exchange(&mut stream, &bytes)).await;
    }

    /// Merges a peer's table and answers with this member's table as it was before the merge.
    async fn answer_exchange(self: &Rc<Self>, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        let Some(frame) = self.decode(bytes, MAX_STREAM_BYTES) else { return Ok(()) };
        let answer = {
            let mut membership = self.membership.borrow_mut();
            membership.is_active().then(|| membership.table_frame(self.now()))
        };
        self.merge_table(frame);
        match answer {
            Some(answer) => framing::write_frame(stream, &codec::encode(&answer, &self.settings.key)).await,
            None => Ok(()),
        }
    }

    pub(super) fn decode(&self, bytes: &[u8], max_bytes: usize) -> Option<Frame> {
        match codec::decode(bytes, max_bytes, &self.settings.key) {
            Ok(frame) => Some(frame),
            Err(error) => {
                self.count_decode_error(error);
                None
            }
        }
    }

    pub(super) fn count_decode_error(&self, error: DecodeError) {
        self.count_dropped(|d| match error {
            DecodeError::Truncated => d.truncated += 1,
            DecodeError::Oversized => d.oversized += 1,
            DecodeError::Forged => d.forged += 1,
            DecodeError::Version => d.version += 1,
        });
    }

    pub(super) fn merge_table(self: &Rc<Self>, frame: Frame) {
        let mut actions = Vec::new();
        self.membership.borrow_mut().handle_table(self.now(), frame, &mut actions);
        self.execute_actions(actions, None);
    }

    pub(super) fn exchange_tables(self: &Rc<Self>, to: &Destination, sender: Option<SocketAddr>) {
        let Some(address) = self.resolve(to, sender) else { return };
        if self.outbound_streams.get() >= MAX_OUTBOUND_STREAMS {
            return; // Later gossip finds the differences again.
        }
        self.outbound_streams.set(self.outbound_streams.get() + 1);
        let member = self.clone();
        tokio::task::spawn_local(async move {
            let exchange = async {
                let mut stream = TcpStream::connect(address).await?;
                let own_table = member.membership.borrow_mut().table_frame(member.now());
                framing::write_frame(&mut stream, &codec::encode(&own_table, &member.settings.key)).await?;
                if let Some(frame) = framing::read_frame(&mut stream, MAX_STREAM_BYTES)
                    .await?
                    .and_then(|bytes| member.decode(&bytes, MAX_STREAM_BYTES))
                {
                    member.merge_table(frame);
                }
                Ok::<_, io::Error>(())
            };
            let _ = timeout(framing::EXCHANGE_TIMEOUT, exchange).await;
            member.outbound_streams.set(member.outbound_streams.get() - 1);
        });
    }
}
