//! Streams: exchanges of whole tables with other members, and the bounds on them.

use super::*;

/// Time to wait after a failed accept, for example for want of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

impl Member {
    /// Accepts streams from other members, up to [`MAX_INBOUND_STREAMS`] at a time.
    pub(super) async fn accept(self: &Rc<Self>, tcp: &TcpListener) {
        let places = Rc::new(());
        loop {
            let Ok((stream, _)) = tcp.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if Rc::strong_count(&places) > MAX_INBOUND_STREAMS {
                self.count(|d| d.streams += 1);
                continue;
            }
            tokio::task::spawn_local(self.clone().serve_stream(stream, places.clone()));
        }
    }

    /// Serves an accepted stream: an exchange of tables, or a peer's messages. `place` counts it among the inbound streams.
    async fn serve_stream(self: Rc<Self>, mut stream: TcpStream, place: Rc<()>) {
        // A peer whose first frame is a message goes on sending messages, under a bound of its own.
        let first =
            timeout(framing::EXCHANGE_TIMEOUT, framing::read_frame(&mut stream, MAX_ENVELOPE_BYTES)).await;
        let Ok(Ok(Some(bytes))) = first else {
            if matches!(first, Ok(Ok(None))) {
                self.count(|d| d.oversized += 1);
            }
            return;
        };
        if codec::is_envelope(&bytes) {
            drop(place);
            return self.receive_messages(stream, bytes).await;
        }
        // An exchange that fails or takes too long is made up for by the next.
        let _ = timeout(framing::EXCHANGE_TIMEOUT, self.answer_exchange(&mut stream, &bytes)).await;
    }

    /// Merges a peer's table and answers with this member's own, as it was before.
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

    pub(super) fn decode(&self, bytes: &[u8], most: usize) -> Option<Frame> {
        match codec::decode(bytes, most, &self.settings.key) {
            Ok(frame) => Some(frame),
            Err(why) => {
                self.count_drop(why);
                None
            }
        }
    }

    pub(super) fn count_drop(&self, why: DecodeError) {
        self.count(|d| match why {
            DecodeError::Truncated => d.cut += 1,
            DecodeError::Oversized => d.oversized += 1,
            DecodeError::Forged => d.forged += 1,
            DecodeError::Version => d.version += 1,
        });
    }

    pub(super) fn merge_table(self: &Rc<Self>, frame: Frame) {
        let mut out = Vec::new();
        self.membership.borrow_mut().handle_table(self.now(), frame, &mut out);
        self.execute_actions(out, None);
    }

    pub(super) fn exchange_tables(self: &Rc<Self>, to: &Destination, back: Option<SocketAddr>) {
        let Some(address) = self.resolve(to, back) else { return };
        if self.outbound_streams.get() >= MAX_OUTBOUND_STREAMS {
            return; // another is under way; differences are found again
        }
        self.outbound_streams.set(self.outbound_streams.get() + 1);
        let member = self.clone();
        tokio::task::spawn_local(async move {
            let whole = async {
                let mut stream = TcpStream::connect(address).await?;
                let own = member.membership.borrow_mut().table_frame(member.now());
                framing::write_frame(&mut stream, &codec::encode(&own, &member.settings.key)).await?;
                if let Some(frame) = framing::read_frame(&mut stream, MAX_STREAM_BYTES)
                    .await?
                    .and_then(|b| member.decode(&b, MAX_STREAM_BYTES))
                {
                    member.merge_table(frame);
                }
                Ok::<_, io::Error>(())
            };
            let _ = timeout(framing::EXCHANGE_TIMEOUT, whole).await;
            member.outbound_streams.set(member.outbound_streams.get() - 1);
        });
    }
}
