//! A simulated gatekeeper: its controller, and the mapping between the simulator's server names and the core's ids.

use std::collections::BTreeMap;
use std::rc::Rc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use cobaltspool::{Action, AttemptEnd, CallId, Controller, Event, Micros, ServerId};

use crate::error::AdapterError;
use crate::wire::{
    AckFirst, Element, Ending, Inbox, InputMessage, OutputMessage, PeersKnown, PingResult, Profile, Reminder,
    Reply, Scope,
};
use crate::{from_wire, to_wire};

/// The server lists that the simulator has sent, by reference.
pub type ServerLists = BTreeMap<u64, Vec<Element>>;

/// A gatekeeper's controller, and the ids of the servers that messages have named so far.
pub struct SimulatedGatekeeper {
    controller: Controller,
    server_ids: BTreeMap<Rc<str>, ServerId>,
    server_names: Vec<Rc<str>>,
    /// Buffer for the controller's actions; reused between events.
    actions: Vec<Action>,
}

impl SimulatedGatekeeper {
    /// Creates a gatekeeper from its profile.
    pub fn new(profile: &Profile, random_seed: u64) -> Self {
        Self {
            controller: Controller::new(from_wire::settings(profile), random_seed),
            server_ids: BTreeMap::new(),
            server_names: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// The simulator's name for a server.
    pub fn server_name(&self, server: ServerId) -> Rc<str> {
        self.server_names[server.0 as usize].clone()
    }

    /// Passes a message to the controller and appends the resulting actions to `output`.
    pub fn handle(
        &mut self,
        now: Micros,
        message: InputMessage,
        lists: &ServerLists,
        output: &mut Vec<OutputMessage>,
    ) -> Result<(), AdapterError> {
        let Some(front) = message.front() else { return Ok(()) };
        let Some(event) = self.event(message, lists)? else { return Ok(()) };
        let mut actions = std::mem::take(&mut self.actions);
        self.controller.handle(now, event, &mut actions);
        output.extend(actions.drain(..).map(|action| to_wire::output_message(front, self, action)));
        self.actions = actions;
        Ok(())
    }

    /// Converts a message to a controller event; `None` if the controller does not handle this kind of message.
    fn event(&mut self, message: InputMessage, lists: &ServerLists) -> Result<Option<Event>, AdapterError> {
        let event = match message {
            InputMessage::Begin(_) | InputMessage::Directory(_) | InputMessage::Killed(_) => return Ok(None),
            InputMessage::PeersKnown(message) => self.endpoint_list(&message, lists)?,
            InputMessage::Query(query) => Event::Call(from_wire::new_call(query)),
            InputMessage::Inbox(inbox) => peer_message(&inbox)?,
            InputMessage::Aborted(aborted) => Event::CallerGone { call: CallId(aborted.request_id) },
            InputMessage::Reply(reply) => Event::AttemptEnded(self.attempt_end(&reply)),
            InputMessage::PingResult(result) => self.load(&result),
            InputMessage::Reminder(reminder) => timer(&reminder)?,
            InputMessage::AckFirst(ack) => self.established(&ack),
        };
        Ok(Some(event))
    }

    fn endpoint_list(&mut self, message: &PeersKnown, lists: &ServerLists) -> Result<Event, AdapterError> {
        if message.scope == Scope::Unavailable {
            return Ok(Event::EndpointListUnavailable);
        }
        let list = lists.get(&message.r#ref).ok_or(AdapterError::UnknownList(message.r#ref))?;
        let entry = |element: &Element| from_wire::server_entry(self.server_id(&element.server), element);
        let entries = list.iter().map(entry).collect();
        Ok(Event::EndpointList { scope: from_wire::list_scope(message.scope), entries })
    }

    fn attempt_end(&mut self, reply: &Reply) -> AttemptEnd {
        AttemptEnd {
            call: CallId(reply.request_id),
            attempt: reply.copy,
            server: self.server_id(&reply.server),
            outcome: from_wire::outcome(reply.ending),
            cause: from_wire::cause(reply.note),
            elapsed: reply.took_us,
            is_call_over: reply.ended,
            load: from_wire::load(&reply.telemetry),
            retry_delay: 0,
            may_retry: true,
        }
    }

    fn load(&mut self, result: &PingResult) -> Event {
        Event::Load {
            server: self.server_id(&result.server),
            answered: result.ending == Ending::Success,
            load: from_wire::load(&result.telemetry),
        }
    }

    fn established(&mut self, ack: &AckFirst) -> Event {
        Event::Established {
            call: CallId(ack.request_id),
            attempt: ack.copy,
            server: self.server_id(&ack.server),
            elapsed: ack.took_us,
        }
    }

    /// The id of a server; assigns a new id if the name is not known yet.
    fn server_id(&mut self, name: &str) -> ServerId {
        if let Some(id) = self.server_ids.get(name) {
            return *id;
        }
        let id = ServerId(self.server_names.len() as u32);
        let name: Rc<str> = name.into();
        self.server_names.push(name.clone());
        self.server_ids.insert(name, id);
        id
    }
}

fn peer_message(inbox: &Inbox) -> Result<Event, AdapterError> {
    let bytes = BASE64.decode(&inbox.msg).map_err(AdapterError::BadPeerMessage)?;
    Ok(Event::Message { from: inbox.origin_peer, bytes })
}

fn timer(reminder: &Reminder) -> Result<Event, AdapterError> {
    let key = reminder.key_back.parse();
    Ok(Event::Timer { key: key.map_err(|_| AdapterError::BadTimerKey(reminder.key_back.clone()))? })
}
