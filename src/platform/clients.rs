//! The callers' side: connections in, set-ups and releases from them, answers and releases to them.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

use crate::clock;
use crate::gateway::{Input, SetUp};
use crate::host::Front as _;
use crate::link::{self, Outbox};
use crate::{CallId, Micros, Number, PoolId};

use super::line::{Line, Tag, Verb, cause, encode, figures, reader};
use super::{Front, LinkId, Shared};

/// How long a release waits for a connection to go out on; later it would not count any more.
const OWED: Micros = 8_000_000;
/// No caller waits longer, whatever it says: sums of times must stay far from their type's end.
const LEFT_MOST_MS: f64 = 3_600_000.0;
/// Most releases that wait so.
const OWED_MOST: usize = 10_000;

/// What is remembered of a call for as long as it is open or stands.
pub struct Caller {
    /// Its name on the wire.
    pub tag: Tag,
    /// The class and the number called as they came, in JSON.
    pub class: Box<str>,
    /// See `class`.
    pub key: Box<str>,
    link: LinkId,
    peer: IpAddr,
}

struct ClientLink {
    outbox: Rc<Outbox>,
    peer: IpAddr,
    /// Calls set up on it and not answered yet: its end gives them up.
    open: BTreeSet<CallId>,
}

/// All callers.
pub struct Clients {
    classes: Vec<String>,
    links: HashMap<LinkId, ClientLink>,
    calls: HashMap<CallId, Caller>,
    tags: HashMap<Tag, CallId>,
    next_call: u64,
    owed: VecDeque<(Micros, Vec<u8>)>,
}

/// Takes connections for ever, `most` at a time.
pub async fn accept(front: Shared, listener: TcpListener, most: usize) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                // Over `most` the descriptors would run out for the servers' side.
                if front.borrow().clients.links.len() < most.max(1) {
                    tokio::task::spawn_local(serve(front.clone(), stream, from.ip()));
                }
            }
            Err(e) => {
                clock::log(&format!("accept: {e}"));
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve(front: Shared, stream: TcpStream, peer: IpAddr) {
    let outbox = Rc::new(Outbox::default());
    let id = front.borrow_mut().new_link();
    front.borrow_mut().clients.add(id, ClientLink { outbox: outbox.clone(), peer, open: BTreeSet::new() });
    let on_line = |line: Line| front.borrow_mut().client_says(id, line);
    let _ = link::run(stream, outbox, reader(on_line), || {}).await;
    front.borrow_mut().client_left(id);
}

impl Front {
    /// Takes a caller's message; false to end the connection.
    fn client_says(&mut self, id: LinkId, line: Line) -> bool {
        match (line.verb, line.tag) {
            (Verb::Start, Some(tag)) => self.set_up(id, tag, line),
            // A set-up without a readable id can be answered by no message.
            (Verb::Start, None) => return false,
            (Verb::Finish, Some(tag)) => {
                if let Some(call) = self.clients.tags.get(&tag).copied() {
                    self.clients.write(id, &encode("FINISHED", tag, &[], None, None));
                    self.clients.forget(call);
                    self.feed(Input::GivenUp(call));
                    self.servers.forget(call);
                }
            }
            (Verb::Echo, Some(tag)) => {
                let passed = i64::from(!self.host.stopping());
                self.clients.write(id, &encode("ECHOED", tag, &[], Some(passed), None));
            }
            _ => {}
        }
        true
    }

    fn set_up(&mut self, id: LinkId, tag: Tag, line: Line) {
        if self.clients.tags.contains_key(&tag) {
            return; // the same set-up again: the call is open or stands, and has or gets its one answer
        }
        let Some(set_up) = self.clients.read(id, tag, line) else {
            self.clients.write(id, &encode("FINISH", tag, &[], Some(cause::BAD_FIELD), None));
            return;
        };
        self.feed(Input::SetUp(set_up));
    }

    fn client_left(&mut self, id: LinkId) {
        let Some(link) = self.clients.links.remove(&id) else { return };
        for call in link.open {
            self.clients.forget(call);
            self.feed(Input::GivenUp(call));
        }
    }
}

impl Clients {
    pub(super) fn new(classes: Vec<String>) -> Self {
        Clients {
            classes,
            links: HashMap::new(),
            calls: HashMap::new(),
            tags: HashMap::new(),
            next_call: 0,
            owed: VecDeque::new(),
        }
    }

    /// A call's caller, while the call is open or stands.
    pub fn caller(&self, call: CallId) -> Option<&Caller> {
        self.calls.get(&call)
    }

    fn add(&mut self, id: LinkId, link: ClientLink) {
        let now = clock::now();
        for (until, message) in self.owed.drain(..) {
            if now < until {
                link.outbox.push(&message);
            }
        }
        self.links.insert(id, link);
    }

    /// Reads a set-up's fields and opens its record; `None` if a field is missing or cannot be read.
    fn read(&mut self, id: LinkId, tag: Tag, line: Line) -> Option<SetUp> {
        let link = self.links.get_mut(&id)?;
        let name = line.text("class")?;
        let class = self.classes.iter().position(|c| *c == name)?;
        let left = line.number("left").filter(|ms| *ms >= 0.0)?;
        let key = line.text("key")?;
        let extras = line.text("extras").unwrap_or_default();
        let mut first_choice = PoolId(-1);
        let mut again = false;
        for (name, value) in figures(&extras) {
            match name {
                "dest" => first_choice = PoolId(value.parse::<f64>().ok()? as i64),
                "again" => again = value == "1",
                _ => {}
            }
        }
        let description = line.blob.clone()?;
        if !description.starts_with(b"\"") {
            return None;
        }
        self.next_call += 1;
        let call = CallId(self.next_call);
        let raw = |key| line.raw(key).unwrap_or_default().into();
        let caller = Caller { tag, class: raw("class"), key: raw("key"), link: id, peer: link.peer };
        link.open.insert(call);
        self.calls.insert(call, caller);
        self.tags.insert(tag, call);
        let left = (left.min(LEFT_MOST_MS) * 1000.0) as Micros;
        Some(SetUp { call, class, number: number(&key), first_choice, left, again, description })
    }

    pub(super) fn answer(&mut self, call: CallId, description: &[u8]) {
        let Some(caller) = self.calls.get(&call) else { return };
        let (id, message) = (caller.link, encode("STARTED", caller.tag, &[], None, Some(description)));
        self.write(id, &message);
        if let Some(link) = self.links.get_mut(&id) {
            link.open.remove(&call);
        }
    }

    pub(super) fn refuse(&mut self, call: CallId, wait: Micros) {
        let wait = format!("\"{}\"", wait.div_ceil(1000));
        self.finish(call, &[("wait", &wait)], cause::NO_CIRCUIT);
    }

    pub(super) fn fail(&mut self, call: CallId) {
        self.finish(call, &[], cause::TEMPORARY_FAILURE);
    }

    fn finish(&mut self, call: CallId, opts: &[(&str, &str)], cause: i64) {
        if let Some(caller) = self.forget(call) {
            self.write(caller.link, &encode("FINISH", caller.tag, opts, Some(cause), None));
        }
    }

    /// Releases a call that stood: on the connection of its set-up, else on another of the same peer, else on
    /// any, else on the next that comes.
    pub(super) fn over(&mut self, call: CallId, completed: bool) {
        let Some(caller) = self.forget(call) else { return };
        let cause = if completed { cause::NORMAL } else { cause::TEMPORARY_FAILURE };
        let message = encode("FINISH", caller.tag, &[], Some(cause), None);
        let open = |id: &LinkId| self.links.get(id).is_some_and(|l| l.outbox.is_open());
        let rank = |id: &LinkId| (*id != caller.link, self.links[id].peer != caller.peer, *id);
        let link = self.links.keys().copied().filter(open).min_by_key(rank);
        if !link.is_some_and(|id| self.write(id, &message)) && self.owed.len() < OWED_MOST {
            self.owed.push_back((clock::now() + OWED, message));
        }
    }

    /// Lets go of a call.
    fn forget(&mut self, call: CallId) -> Option<Caller> {
        let caller = self.calls.remove(&call)?;
        self.tags.remove(&caller.tag);
        if let Some(link) = self.links.get_mut(&caller.link) {
            link.open.remove(&call);
        }
        Some(caller)
    }

    fn write(&mut self, id: LinkId, message: &[u8]) -> bool {
        self.links.get(&id).is_some_and(|link| link.outbox.push(message))
    }
}

/// The number called: 16 hex digits, or whatever else it is, folded.
fn number(key: &str) -> Number {
    Number(u64::from_str_radix(key, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        hasher.finish()
    }))
}
