//! Dialogs (RFC 3261 §12): the state shared with a peer, and the requests sent in the dialog.

use super::message::{Message, address, split_list};

/// One of the two dialogs of a call: with its caller or with its server.
#[derive(Clone, Debug)]
pub struct Dialog {
    /// Call-ID.
    pub call_id: String,
    /// Our From or To value, including our tag.
    pub local: String,
    /// The peer's From or To value, including its tag.
    pub remote: String,
    /// The URI of the peer's Contact, to which requests are sent.
    pub remote_target: String,
    /// The route set, in the order of the Route header fields of requests.
    pub route_set: Vec<String>,
    /// The CSeq number of our last request.
    pub local_seq: u32,
    /// The CSeq number of the peer's last request.
    pub remote_seq: u32,
}

impl Dialog {
    /// The dialog that our 2xx response to an INVITE establishes (§12.1.1).
    pub fn as_server(invite: &Message, answer: &Message) -> Option<Dialog> {
        Some(Dialog {
            call_id: invite.get("Call-ID")?.to_string(),
            local: answer.get("To")?.to_string(),
            remote: invite.get("From")?.to_string(),
            remote_target: address(invite.get("Contact")?).to_string(),
            route_set: record_routes(invite).collect(),
            local_seq: 0,
            remote_seq: invite.cseq()?.0,
        })
    }

    /// The dialog that a peer's 2xx response to our INVITE establishes (§12.1.2).
    pub fn as_client(invite: &Message, answer: &Message) -> Option<Dialog> {
        let mut route: Vec<String> = record_routes(answer).collect();
        route.reverse();
        let target = answer.get("Contact").map(address).or(invite.uri())?;
        Some(Dialog {
            call_id: invite.get("Call-ID")?.to_string(),
            local: invite.get("From")?.to_string(),
            remote: answer.get("To")?.to_string(),
            remote_target: target.to_string(),
            route_set: route,
            local_seq: invite.cseq()?.0,
            remote_seq: 0,
        })
    }

    /// Builds a request in the dialog (§12.2.1.1), without its Via. The ACK of a 2xx has the CSeq number of its
    /// INVITE.
    pub fn request(&mut self, method: &str) -> Message {
        if method != "ACK" {
            self.local_seq += 1;
        }
        let mut request = Message::request(method, &self.remote_target);
        for route in &self.route_set {
            request.add("Route", route);
        }
        request.add("Max-Forwards", "70");
        request.add("From", &self.local);
        request.add("To", &self.remote);
        request.add("Call-ID", &self.call_id);
        request.add("CSeq", &format!("{} {method}", self.local_seq));
        request
    }

    /// Records the CSeq number of a request of the peer; false if it is not higher than the previous one (§12.2.2).
    pub fn accept_sequence_number(&mut self, seq: u32) -> bool {
        let in_order = self.remote_seq == 0 || seq > self.remote_seq;
        self.remote_seq = self.remote_seq.max(seq);
        in_order
    }
}

fn record_routes(message: &Message) -> impl Iterator<Item = String> {
    message.all("Record-Route").flat_map(split_list).map(str::to_string)
}
