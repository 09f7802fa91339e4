//! Stand-ins for SIP user agents, written from RFC 3261: they read and write text, and record what they got.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use super::{PATIENCE, eventually};

/// A message as it came, with the time.
#[derive(Clone, Debug)]
pub struct Got {
    pub text: String,
    pub at: Instant,
    pub from: SocketAddr,
}

impl Got {
    pub fn first(&self) -> &str {
        self.text.lines().next().unwrap_or_default()
    }

    pub fn is(&self, start: &str) -> bool {
        self.first().starts_with(start)
    }

    /// A header field's value.
    pub fn get(&self, name: &str) -> &str {
        let prefix = format!("{name}: ");
        self.text.lines().find_map(|l| l.strip_prefix(&prefix)).unwrap_or_default()
    }

    pub fn body(&self) -> &str {
        self.text.split_once("\r\n\r\n").map_or("", |(_, body)| body)
    }

    /// The tag in From or To.
    pub fn tag(&self, name: &str) -> &str {
        self.get(name).split_once("tag=").map_or("", |(_, tag)| tag)
    }

    /// The URI in Contact.
    pub fn contact(&self) -> String {
        self.get("Contact").trim_matches(['<', '>']).to_string()
    }

    /// A response to this request.
    pub fn response(&self, status: &str, to_tag: &str, more: &str, body: &str) -> String {
        let to = self.get("To");
        let to =
            if to.contains("tag=") || to_tag.is_empty() { to.into() } else { format!("{to};tag={to_tag}") };
        format!(
            "SIP/2.0 {status}\r\nVia: {}\r\nFrom: {}\r\nTo: {to}\r\nCall-ID: {}\r\nCSeq: {}\r\n{more}\
             Content-Length: {}\r\n\r\n{body}",
            self.get("Via"),
            self.get("From"),
            self.get("Call-ID"),
            self.get("CSeq"),
            body.len()
        )
    }
}

enum Wire {
    Udp(UdpSocket),
    Tcp(TcpStream),
}

/// A user agent's socket. A thread of its own reads it, so that each message has the time at which it came.
pub struct Agent {
    wire: Wire,
    inbox: Receiver<Got>,
    pub own: SocketAddr,
    pub to: SocketAddr,
    /// All that was looked at.
    pub got: Vec<Got>,
}

impl Agent {
    pub fn udp(to: SocketAddr) -> Agent {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let own = socket.local_addr().unwrap();
        let (sender, inbox) = channel();
        let reader = socket.try_clone().unwrap();
        thread::spawn(move || {
            let mut buffer = [0; 65_535];
            while let Ok((n, from)) = reader.recv_from(&mut buffer) {
                let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
                if sender.send(Got { text, at: Instant::now(), from }).is_err() {
                    return;
                }
            }
        });
        Agent { wire: Wire::Udp(socket), inbox, own, to, got: Vec::new() }
    }

    pub fn tcp(to: SocketAddr) -> Agent {
        Agent::on(TcpStream::connect(to).unwrap(), None)
    }

    pub fn accept(listener: &TcpListener) -> Agent {
        listener.set_nonblocking(true).unwrap();
        let stream = eventually("a connection comes", || listener.accept().ok()).0;
        stream.set_nonblocking(false).unwrap();
        Agent::on(stream, Some(listener.local_addr().unwrap()))
    }

    fn on(stream: TcpStream, own: Option<SocketAddr>) -> Agent {
        let own = own.unwrap_or(stream.local_addr().unwrap());
        let to = stream.peer_addr().unwrap();
        let (sender, inbox) = channel();
        let mut reader = stream.try_clone().unwrap();
        thread::spawn(move || {
            let (mut held, mut buffer) = (Vec::new(), [0; 4096]);
            while let Ok(n @ 1..) = reader.read(&mut buffer) {
                held.extend_from_slice(&buffer[..n]);
                while let Some(text) = take(&mut held) {
                    if sender.send(Got { text, at: Instant::now(), from: to }).is_err() {
                        return;
                    }
                }
            }
        });
        Agent { wire: Wire::Tcp(stream), inbox, own, to, got: Vec::new() }
    }

    fn transport(&self) -> &'static str {
        if matches!(self.wire, Wire::Udp(_)) { "UDP" } else { "TCP" }
    }

    pub fn send(&mut self, text: &str) {
        match &mut self.wire {
            Wire::Udp(socket) => drop(socket.send_to(text.as_bytes(), self.to).unwrap()),
            Wire::Tcp(stream) => stream.write_all(text.as_bytes()).unwrap(),
        }
    }

    /// The next message, if one comes in time.
    pub fn next(&mut self, patience: Duration) -> Option<Got> {
        let got = self.inbox.recv_timeout(patience).ok()?;
        self.got.push(got.clone());
        Some(got)
    }

    /// The next message that starts so; repeats of others that come before are passed over.
    pub fn expect(&mut self, start: &str) -> Got {
        let until = Instant::now() + PATIENCE;
        while let Some(got) = self.next(until.saturating_duration_since(Instant::now())) {
            if got.is(start) {
                return got;
            }
        }
        let firsts: Vec<&str> = self.got.iter().map(Got::first).collect();
        panic!("no {start} came, only {firsts:?}");
    }

    /// How many messages that start so have come.
    pub fn count(&self, start: &str) -> usize {
        self.got.iter().filter(|g| g.is(start)).count()
    }

    /// A request outside a dialog.
    pub fn request(&self, method: &str, call: &str, more: &str, body: &str) -> String {
        let via = self.via(&format!("z9hG4bK-{call}"));
        format!(
            "{method} sip:5550100@{} SIP/2.0\r\nVia: {via}\r\nMax-Forwards: 70\r\n\
             From: <sip:office@zagreb>;tag=f-{call}\r\nTo: <sip:5550100@central>\r\nCall-ID: {call}\r\n\
             CSeq: 1 {method}\r\nContact: <sip:office@{}>\r\n{more}Content-Length: {}\r\n\r\n{body}",
            self.to,
            self.own,
            body.len()
        )
    }

    fn via(&self, branch: &str) -> String {
        format!("SIP/2.0/{} {};branch={branch};rport", self.transport(), self.own)
    }

    pub fn invite(&mut self, call: &str) {
        let text = self.request("INVITE", call, "Content-Type: application/sdp\r\n", "v=0\r\no=offer\r\n");
        self.send(&text);
    }

    /// Cancels this call's INVITE.
    pub fn cancel(&mut self, call: &str) {
        let text = self.request("CANCEL", call, "", "");
        self.send(&text);
    }

    /// A caller's request in the dialog that a 2xx has opened.
    pub fn in_dialog(&mut self, answer: &Got, method: &str, seq: u32) {
        let via = self.via(&format!("z9hG4bK-{method}-{seq}-{}", answer.get("Call-ID")));
        let text = format!(
            "{method} {} SIP/2.0\r\nVia: {via}\r\nMax-Forwards: 70\r\nFrom: {}\r\nTo: {}\r\nCall-ID: {}\r\n\
             CSeq: {seq} {method}\r\nContent-Length: 0\r\n\r\n",
            answer.contact(),
            answer.get("From"),
            answer.get("To"),
            answer.get("Call-ID")
        );
        self.send(&text);
    }

    /// A server's BYE in the dialog of an INVITE that it answered with this tag.
    pub fn bye_from_server(&mut self, invite: &Got, tag: &str) {
        let text = format!(
            "BYE {} SIP/2.0\r\nVia: {}\r\nMax-Forwards: 70\r\nFrom: {};tag={tag}\r\nTo: {}\r\nCall-ID: {}\r\n\
             CSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n",
            invite.contact(),
            self.via("z9hG4bK-from-server"),
            invite.get("To"),
            invite.get("From"),
            invite.get("Call-ID")
        );
        self.send(&text);
    }

    /// Answers a request and says to whom: a UDP server replies to where it came from.
    pub fn answer(&mut self, request: &Got, status: &str, tag: &str, body: &str) {
        self.to = request.from;
        let contact = format!("Contact: <sip:{}>\r\nContent-Type: application/sdp\r\n", self.own);
        let more = if status.starts_with('2') { contact.as_str() } else { "" };
        self.send(&request.response(status, tag, more, body));
    }
}

fn take(held: &mut Vec<u8>) -> Option<String> {
    let head = held.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&held[..head]).into_owned();
    let length: usize = text.lines().find_map(|l| l.strip_prefix("Content-Length: "))?.trim().parse().ok()?;
    (held.len() >= head + length).then(|| {
        let message: Vec<u8> = held.drain(..head + length).collect();
        String::from_utf8_lossy(&message).into_owned()
    })
}

impl Drop for Agent {
    fn drop(&mut self) {
        if let Wire::Tcp(stream) = &self.wire {
            let _ = stream.shutdown(Shutdown::Both); // the reader's handle would keep it open
        }
    }
}
