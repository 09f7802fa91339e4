"""Stand-ins for SIP (RFC 3261): setup servers over UDP or TCP, callers over UDP, and a DNS-SD responder (RFC 6763).
They follow the RFC as far as the cases need it: a server transaction lives on when its connection ends (17.2), and its
responses then go over a new connection to the Via's sent-by (18.2.2)."""

import asyncio
import contextlib
import json
import pathlib
import socket
import struct

from peers import dns_answer, dns_name, dns_question, dns_record, dns_txt, settings

T1 = 0.5


def config(folder, name, udp, tcp, dns, service):
    path = pathlib.Path(folder) / f"{name}-sip.json"
    own = settings()
    own["ceilings"]["probes"] = False  # as in deploy/sip.json
    path.write_text(json.dumps({
        "name": name, "udp": "%s:%d" % udp, "tcp": "%s:%d" % tcp, "dns": "%s:%d" % dns, "service": service,
        "seed": "8c1f30d27a5be964", "t1_ms": 500, "wait_ms": 9000, "settings": own}))
    return path


class Responder(asyncio.DatagramProtocol):
    """DNS-SD records of the servers: a whole answer at once. `servers` are (id, host, port, zone, cell)."""

    service = "_sip._udp.pool.lan"

    def __init__(self, servers):
        self.servers = servers

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, peer):
        name, kind, _ = dns_question(data)
        pointers, more = [], []
        for server, host, port, zone, cell in self.servers:
            instance, target = f"{server}.{self.service}", f"{server}.{zone}.hosts"
            pointers.append(dns_record(self.service, 12, dns_name(instance)))
            more.append(dns_record(instance, 33, struct.pack("!HHH", 0, 40, port) + dns_name(target)))
            more.append(dns_record(instance, 16, dns_txt(f"cell={cell}", "started=0")))
            more.append(dns_record(target, 1, socket.inet_aton(host)))
        self.transport.sendto(dns_answer(data, pointers if kind == 12 else more, (), more), peer)


class Message:
    def __init__(self, text):
        head, _, self.body = text.partition("\r\n\r\n")
        self.first, *lines = head.split("\r\n")
        self.headers = [(n.strip(), v.strip()) for n, _, v in (each.partition(":") for each in lines)]

    def get(self, name):
        return next((v for n, v in self.headers if n.lower() == name.lower()), "")

    def all(self, name):
        return [v for n, v in self.headers if n.lower() == name.lower()]

    @property
    def method(self):
        return self.get("CSeq").split()[-1]

    @property
    def code(self):
        return int(self.first.split()[1]) if self.first.startswith("SIP/2.0 ") else None

    @property
    def branch(self):
        return self.get("Via").partition("branch=")[2].split(";")[0]

    @property
    def session(self):
        return self.get("Session-ID").split(";")[0]

    def tag(self, name):
        return self.get(name).partition("tag=")[2].split(";")[0]

    def uri(self, name):
        return self.get(name).partition("<")[2].partition(">")[0]

    def response(self, status, tag="", more=(), body=""):
        to = self.get("To") + (f";tag={tag}" if tag and "tag=" not in self.get("To") else "")
        lines = [f"SIP/2.0 {status}"] + [f"Via: {via}" for via in self.all("Via")]
        lines += [f"From: {self.get('From')}", f"To: {to}", f"Call-ID: {self.get('Call-ID')}", f"CSeq: {self.get('CSeq')}"]
        return "\r\n".join([*lines, *more, f"Content-Length: {len(body)}", "", body])


def split_stream(buffer):
    """The messages at the front of a stream's buffer, and the rest of it."""
    messages = []
    while b"\r\n\r\n" in buffer:
        head, _, rest = buffer.partition(b"\r\n\r\n")
        message = Message(head.decode() + "\r\n\r\n")
        length = int(message.get("Content-Length") or 0)
        if len(rest) < length:
            break
        message.body = rest[:length].decode()
        messages.append(message)
        buffer = rest[length:]
    return messages, buffer


class SipServer(asyncio.DatagramProtocol):
    """A setup server. It answers an INVITE with 100 at once and with 200 after `plan(session)` seconds. `attempts` has a
    dict for each INVITE: the call's Session-ID, when it came and when it was over (its final answer written, or given up
    by a CANCEL)."""

    def __init__(self, record, name, host, plan):
        self.record, self.name, self.host, self.plan = record, name, host, plan
        self.attempts, self.by_branch, self.dialogs, self.lose = [], {}, {}, lambda response, attempt: False

    async def start_udp(self):
        loop = asyncio.get_running_loop()
        self.udp, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.host, 0))
        self.port = self.udp.get_extra_info("sockname")[1]
        return self

    async def start_tcp(self):
        server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def connection_made(self, transport):
        self.udp = transport

    def datagram_received(self, data, peer):
        self.handle(Message(data.decode()), lambda text: self.udp.sendto(text.encode(), peer))

    async def serve(self, reader, writer):
        via = {"writer": writer, "again": None}

        def send(text):
            if not via["writer"].is_closing():
                via["writer"].write(text.encode())
            else:  # 18.2.2: the connection is gone, so sent-by is dialled
                self.record(self.name, "its connection has ended: opens one to the Via's sent-by")
                asyncio.ensure_future(self.dial(via, text))

        await self.read(reader, writer, send)

    async def read(self, reader, writer, send):
        buffer = b""
        with contextlib.suppress(ConnectionError, OSError):
            while data := await reader.read(65536):
                messages, buffer = split_stream(buffer + data)
                for message in messages:
                    self.handle(message, send)
        writer.close()

    async def dial(self, via, text):
        host, _, port = Message(text).get("Via").split()[1].split(";")[0].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        via["writer"] = writer
        writer.write(text.encode())

        def send(more):
            writer.write(more.encode())

        asyncio.ensure_future(self.read(reader, writer, send))

    def handle(self, message, send):
        if message.code is not None:
            return
        method = message.method
        if method == "INVITE" and message.branch in self.by_branch:
            attempt = self.by_branch[message.branch]
            self.record(self.name, f"{attempt['session']} INVITE retransmitted")
            return self.respond(attempt, attempt["last"])
        if method == "INVITE":
            attempt = {"session": message.session, "server": self.name, "came": self.record.now(), "over": None,
                       "why": None, "invite": message, "send": send, "tag": f"{self.name}{len(self.attempts)}"}
            self.attempts.append(attempt)
            self.by_branch[message.branch] = attempt
            self.record(self.name, f"{message.session} INVITE arrives, for {message.uri('To')}")
            self.respond(attempt, message.response("100 Trying"))
            attempt["timer"] = asyncio.get_running_loop().call_later(self.plan(message.session), self.answer, attempt)
        elif method == "CANCEL":
            attempt = self.by_branch.get(message.branch)
            send(message.response("200 OK" if attempt else "481 Call/Transaction Does Not Exist", "c"))
            if attempt and attempt["over"] is None:
                attempt["timer"].cancel()
                self.end(attempt, "CANCEL: given up")
                self.respond(attempt, attempt["invite"].response("487 Request Terminated", attempt["tag"]))
        elif method == "ACK":
            attempt = self.dialogs.get(message.tag("To"))
            if attempt:
                attempt["acked"] = True
        elif method == "BYE":
            attempt = self.dialogs.pop(message.tag("To"), None)
            if attempt:
                self.record(self.name, f"{attempt['session']} BYE arrives: the call is over")
            send(message.response("200 OK" if attempt else "481 Call/Transaction Does Not Exist"))
        else:
            send(message.response("200 OK", "o"))

    def end(self, attempt, why):
        attempt["over"], attempt["why"] = self.record.now(), why
        self.record(self.name, f"{attempt['session']} {why}")

    def respond(self, attempt, text):
        attempt["last"] = text
        if self.lose(text, attempt):
            self.record("network", f"{attempt['session']} loses '{text.splitlines()[0]}' of {self.name}")
        else:
            attempt["send"](text)

    def answer(self, attempt):
        contact = f"Contact: <sip:{self.host}:{self.port}>"
        text = attempt["invite"].response("200 OK", attempt["tag"], [contact, "Content-Type: application/sdp"],
                                          f"v=0 {self.name} for {attempt['session']}\r\n")
        self.dialogs[attempt["tag"]] = attempt
        self.end(attempt, "200 is written: the call stands")
        self.respond(attempt, text)
        asyncio.ensure_future(self.repeat(attempt, text))

    async def repeat(self, attempt, text):
        """13.3.1.4: a 2xx is sent again until its ACK comes."""
        gap = T1
        while not attempt.get("acked") and gap < 32:
            await asyncio.sleep(gap)
            gap = min(2 * gap, 4) if gap < 4 else gap + 4
            if not attempt.get("acked"):
                attempt["send"](text)


class SipCaller(asyncio.DatagramProtocol):
    """A caller over UDP. It retransmits its INVITEs and acknowledges each final answer."""

    def __init__(self, record, name, host, to):
        self.record, self.name, self.host, self.to = record, name, host, to
        self.calls = {}

    async def start(self):
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(self.host, 0))
        return self

    def connection_made(self, transport):
        self.udp, self.port = transport, transport.get_extra_info("sockname")[1]

    def request(self, method, number, seq, call_id, to, branch, more=(), body=""):
        lines = [f"{method} sip:{number}@{self.to[0]}:{self.to[1]} SIP/2.0",
                 f"Via: SIP/2.0/UDP {self.host}:{self.port};branch={branch};rport", "Max-Forwards: 70",
                 f"From: <sip:office@{self.host}>;tag=f{call_id}", f"To: {to}", f"Call-ID: {call_id}", f"CSeq: {seq} {method}",
                 f"Contact: <sip:office@{self.host}:{self.port}>", *more, f"Content-Length: {len(body)}", "", body]
        return "\r\n".join(lines)

    def invite(self, number, wait_s=9):
        n = len(self.calls) + 1
        session, call_id = f"{n:032x}", f"call-{n}"
        more = [f"Session-ID: {session};remote={0:032x}", f"Expires: {wait_s}", "Content-Type: application/sdp"]
        text = self.request("INVITE", number, 1, call_id, f"<sip:{number}@pool.lan>", f"z9hG4bK{call_id}", more, "v=0\r\n")
        self.calls[call_id] = call = {"session": session, "finals": [], "byes": [], "asked": self.record.now(), "number": number,
                                      "seen": False}
        self.record(self.name, f"{session} INVITE for {number}")
        asyncio.ensure_future(self.send_until_seen(call, text))
        return call

    async def send_until_seen(self, call, text):
        gap = T1
        while not call["seen"] and gap < 32:
            self.udp.sendto(text.encode(), self.to)
            await asyncio.sleep(gap)
            gap *= 2

    def datagram_received(self, data, peer):
        message = Message(data.decode())
        call = self.calls.get(message.get("Call-ID"))
        if call is None:
            return
        if message.code is None:
            self.udp.sendto(message.response("200 OK").encode(), peer)
            if message.method == "BYE" and not call["byes"]:
                call["byes"].append(self.record.now())
                self.record(self.name, f"{call['session']} BYE arrives: the call is over")
            return
        if message.method != "INVITE":
            return
        call["seen"] = True
        if message.code >= 200:
            if (message.code, message.tag("To")) not in [(f[0], f[1]) for f in call["finals"]]:
                call["finals"].append((message.code, message.tag("To"), self.record.now()))
                self.record(self.name, f"{call['session']} gets {message.first[8:]}")
            branch = f"z9hG4bK{message.get('Call-ID')}" + ("a" if message.code < 300 else "")
            ack = self.request("ACK", call["number"], 1, message.get("Call-ID"), message.get("To"), branch)
            self.udp.sendto(ack.encode(), self.to)


def outstanding_twice(record, servers):
    """The calls of which two attempts were out at the same time: `came` to `over` of two attempts overlap by over 50 ms,
    as every time limit is 50 ms longer on sockets."""
    found = []
    attempts = sorted((a for s in servers for a in s.attempts), key=lambda a: a["came"])
    for n, one in enumerate(attempts):
        for two in attempts[n + 1:]:
            end = one["over"] if one["over"] is not None else record.now()
            if two["session"] == one["session"] and two["came"] + 0.05 < end:
                over = "is not over yet" if one["over"] is None else f"was over at {one['over']:.3f} s ({one['why']})"
                found.append(f"call {one['session'][-4:]}: the attempt at {one['server']} came at {one['came']:.3f} s and {over}; "
                             f"the one at {two['server']} came at {two['came']:.3f} s")
    return found
