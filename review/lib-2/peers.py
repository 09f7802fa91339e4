"""Stand-ins for the cases 6 to 10: the platform's list, setup servers and callers of the platform's protocol, a proxy,
and the start of the project's program with the command of the deploy file. Standard library only, loopback only."""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """record.txt of a case: one line an event, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, who, what):
        line = f"{self.now():8.3f} {who:<12} {what}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


def free_port(host="127.0.0.1", kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind((host, 0))
        return s.getsockname()[1]


async def until(condition, limit, what):
    end = time.monotonic() + limit
    while not condition():
        if time.monotonic() > end:
            raise CannotRun(f"not within {limit} s: {what}")
        await asyncio.sleep(0.01)


# ---- The program ----


class Program:
    """One process of the program, started as the deploy file says, plus `arguments`."""

    def __init__(self, record, name, env, arguments=""):
        self.record, self.name, self.env, self.arguments = record, name, env, arguments
        self.process = None

    async def start(self):
        with open(ROOT / "deploy/balancer.toml", "rb") as file:
            run = tomllib.load(file)["run"]
        if not (ROOT / "target/release/cobaltspool").exists():
            raise CannotRun("the program is not built: run the build of the deploy file")
        self.log = open(pathlib.Path(self.env["TMPDIR"]) / f"{self.name}.log", "wb")
        env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")} | self.env
        command = f"{run} {self.arguments}".strip()
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=env, stdout=self.log, stderr=self.log, start_new_session=True)
        self.record(self.name, f"started: {command}")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.record(self.name, f"gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def end(self):
        if self.is_running():
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        if self.process:
            self.record(self.name, f"has ended with {self.process.returncode}")


async def http(address, call):
    """One call to the operators' endpoint; its status, or None if nothing answered."""
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(f"{call} HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 1)
        writer.close()
        return int(line.split()[1])
    except (OSError, IndexError, ValueError, asyncio.TimeoutError):
        return None


async def ready(address, limit=10):
    end = time.monotonic() + limit
    while await http(address, "GET /control/ready") != 200:
        if time.monotonic() > end:
            raise CannotRun("the program is not ready")
        await asyncio.sleep(0.02)


def settings():
    """The settings of a small deployment, with the figures of the platform's example."""
    return {
        "ceilings": {"cancel": True, "conn-idle-us": 600000000, "cpu-us-per-s": 400000, "dial-timeout-us": 500000,
                     "max-attempts": 4, "max-open": 20000, "max-retry-after-us": 2000000, "peers": False, "probes": True,
                     "retry-after": True, "second-copies": False, "streams-per-conn": 1048576},
        "client-habits": {"marks-retry": False}, "counted-by": "request", "discovery": "pushed",
        "domain": {"advice": False, "allowed-pools": [[0, 1]], "call-length-us": [10100000], "class-width": [1],
                   "clear-wait-us": 500000, "far-reports": "piggyback", "layout": "groups", "resend-us": 0,
                   "says-wait": False, "this-node": -1},
        "failure-domains": ["zagreb", "split", "osijek"], "me": 0, "peers-total": 5,
        "report": {"how": "piggyback", "names": ["spare", "total", "avg_ms"]},
        "rules": {"answer-slack-us": 20000, "ask-within-us": 10000000, "drain-grace-us": 250000, "fall-us": 1000000,
                  "start-capacity": 0.29, "tip-multiple": 2.0, "warm-up-us": 15000000},
        "services": [{"aim-us": 2000000, "dedup-scope": "all", "effect": "read_like", "hard-limit-us": 9000000,
                      "late-worth": 0.25, "name": "check-setup", "stream": True, "window-us": 5000000, "worth": 1.0}],
        "tenants": [], "tick-us": 5000, "weight-source": "silent", "zone": 1,
    }


def config(folder, name, listen, dns, servers, draining=()):
    """Writes the configuration of a gatekeeper; `servers` are (id, host, port, zone, cell), `draining` are ids."""
    instances = [{"instanceId": s[0], "hostPort": f"{s[1]}:{s[2]}", "zone": s[3], "machineType": "standard-1c",
                  "cell": s[4], "lifecycle": "terminating" if s[0] in draining else "in_service", "weight": 4, "startedAtMs": 0} for s in servers]
    event = {"seq": 1, "fleet": {"generation": 1, "reset": False, "instances": instances}}
    path = pathlib.Path(folder) / f"{name}.json"
    path.write_text(json.dumps({
        "name": name, "listen": f"{listen[0]}:{listen[1]}", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "dns": f"{dns[0]}:{dns[1]}",
        "known": {"seq": 1, "results": [event]}, "settings": settings()}))
    return path


# ---- The platform's list (RFC 1035) ----


def dns_name(name):
    return b"".join(bytes([len(p)]) + p.encode() for p in name.strip(".").split(".")) + b"\0"


def dns_record(name, kind, data):
    return dns_name(name) + struct.pack("!HHIH", kind, 1, 1, len(data)) + data


def dns_question(query):
    labels, at = [], 12
    while query[at]:
        labels.append(query[at + 1:at + 1 + query[at]].decode())
        at += 1 + query[at]
    return ".".join(labels).lower(), struct.unpack("!H", query[at + 1:at + 3])[0], query[12:at + 5]


def dns_answer(query, answers, authority=(), additional=()):
    _, _, question = dns_question(query)
    head = query[:2] + struct.pack("!HHHHH", 0x8580, 1, len(answers), len(authority), len(additional))
    return head + question + b"".join(answers) + b"".join(authority) + b"".join(additional)


def dns_txt(*parts):
    return b"".join(bytes([len(p)]) + p.encode() for p in parts)


class List(asyncio.DatagramProtocol):
    """The platform's resolver: it answers the query for the list at once, and the list does not change."""

    def __init__(self, servers):
        self.servers, self.serial, self.draining = servers, 1, ()

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, peer):
        srv, more = [], []
        for name, host, port, zone, cell in self.servers:
            target = f"{name}.{zone}.hosts"
            srv.append(dns_record("_back._tcp.pool.lan", 33, struct.pack("!HHH", int(name in self.draining), 40, port) + dns_name(target)))
            more.append(dns_record(target, 1, socket.inet_aton(host)))
            more.append(dns_record(target, 16, dns_txt("kind=standard-1c", f"cell={cell}", "started=0")))
        soa = dns_name("ns.pool.lan") + dns_name("ops.pool.lan") + struct.pack("!IIIII", self.serial, 1, 1, 1, 1)
        self.transport.sendto(dns_answer(data, srv, [dns_record("pool.lan", 6, soa)], more), peer)


async def serve_list(servers, protocol=List):
    loop = asyncio.get_running_loop()
    transport, served = await loop.create_datagram_endpoint(lambda: protocol(servers), local_addr=("127.0.0.1", 0))
    return served, transport.get_extra_info("sockname")


# ---- Lines ----


def line(verb, tag, opts=None, rc=None, blob=None):
    message = {"verb": verb, "tag": tag, "opts": opts or {}}
    if rc is not None:
        message["rc"] = rc
    if blob is not None:
        message["blob"] = blob
    return (json.dumps(message) + "\n").encode()


class SetupServer:
    """A setup server. `plan(tag)` tells what it does with a set-up: a dict with `after` (seconds to the answer), `hold`
    (seconds that the call stands; None: until it is released) and `copies` (seconds to further copies of the answer)."""

    def __init__(self, record, name, host, plan):
        self.record, self.name, self.host, self.plan = record, name, host, plan
        self.links, self.calls, self.said = [], {}, []
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def state(self):
        return line("LOAD", "0000000000000000", {"load": f"x0:{100 - len(self.calls)};x1:100;latency_ms:1"})

    async def serve(self, reader, writer):
        self.links.append(writer)
        writer.write(self.state())
        for released in list(self.said):  # a release is said again on the next connection that is opened
            writer.write(line("FINISH", released[0], {}, released[1]))
        self.said.clear()
        beat = self.spawn(self.beat(writer))
        set_up_here = set()
        try:
            while text := await reader.readline():
                self.handle(json.loads(text), writer, set_up_here)
        except (ConnectionError, OSError, ValueError):
            pass
        beat.cancel()
        self.links.remove(writer)
        for tag in set_up_here:  # closing a connection gives up the set-ups open on it
            if self.calls.get(tag, {}).get("state") == "open":
                self.record(self.name, f"{tag} given up with its connection")
                self.calls.pop(tag)["task"].cancel()
        writer.close()

    async def beat(self, writer):
        while True:
            await asyncio.sleep(0.5)
            writer.write(self.state())

    def handle(self, message, writer, set_up_here):
        verb, tag = message["verb"], message.get("tag")
        if verb == "ECHO":
            writer.write(line("ECHOED", tag, {"load": "x0:90;x1:100;latency_ms:1"}, 1))
        elif verb == "START":
            self.record(self.name, f"{tag} START arrives")
            set_up_here.add(tag)
            call = {"state": "open", "writer": writer}
            self.calls[tag] = call
            call["task"] = self.spawn(self.work(tag, call))
        elif verb == "FINISH":
            call = self.calls.pop(tag, None)
            if call is None:
                self.record(self.name, f"{tag} FINISH for no call here")
            else:
                self.record(self.name, f"{tag} FINISH from the gatekeeper: {call['state']} call is over")
                call["task"].cancel()
                if call["state"] == "stands":
                    call["released_at"] = self.record.now()
                    self.over(tag, call)
            writer.write(line("FINISHED", tag))

    def over(self, tag, call):
        """For the case: a call that stood was released by the gatekeeper."""

    async def work(self, tag, call):
        plan = self.plan(tag)
        await asyncio.sleep(plan.get("after", 0.02))
        answer = line("STARTED", tag, {"load": "x0:90;x1:100;latency_ms:1"}, None, f"{self.name} for {tag}\r\nm=audio\r\n")
        call["state"] = "stands"
        call["writer"].write(answer)
        self.record(self.name, f"{tag} STARTED: the call stands")
        for gap in plan.get("copies", ()):
            asyncio.get_running_loop().call_later(gap, self.copy, tag, call["writer"], answer)
        if plan.get("hold") is not None:
            await asyncio.sleep(plan["hold"])
            self.finish(tag)

    def copy(self, tag, writer, answer):
        self.record(self.name, f"{tag} STARTED once more: a second copy of the answer")
        writer.write(answer)

    def finish(self, tag, rc=16):
        """The call comes to its end: said on its connection, else on any open one, and on the next that is opened."""
        call = self.calls.pop(tag, None)
        if call is None:
            return
        open_links = [w for w in self.links if not w.is_closing()]
        writer = call["writer"] if call["writer"] in open_links else (open_links or [None])[0]
        self.record(self.name, f"{tag} FINISH {rc}: the call has come to its end")
        call["ended_at"] = self.record.now()
        self.said.append((tag, rc))
        if writer:
            writer.write(line("FINISH", tag, {}, rc))

    def reset_links(self):
        for writer in list(self.links):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def end(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in self.links:
            writer.close()


class Caller:
    """A regional controller at an address of its own. It confirms each release, and connects when it has something to
    say; `to` is the address that it connects to."""

    def __init__(self, record, name, host, to):
        self.record, self.name, self.host, self.to = record, name, host, to
        self.answers, self.releases, self.asked, self.count = {}, {}, {}, 0
        self.links = []

    def new_tag(self):
        self.count += 1
        return f"{zlib.crc32(self.name.encode()):08x}{self.count:08x}"

    async def connect(self, name):
        reader, writer = await asyncio.open_connection(*self.to, local_addr=(self.host, 0), limit=1 << 20)
        link = {"name": name, "writer": writer, "open": True}
        self.links.append(link)
        self.record(self.name, f"connection {name} opened")
        link["task"] = asyncio.ensure_future(self.read(link, reader))
        return link

    async def read(self, link, reader):
        with contextlib.suppress(ConnectionError, OSError):
            while text := await reader.readline():
                self.handle(link, json.loads(text))
        link["open"], link["ended"] = False, self.record.now()
        link["writer"].close()
        self.record(self.name, f"connection {link['name']} has ended")

    def handle(self, link, message):
        verb, tag, rc = message["verb"], message["tag"], message.get("rc")
        shown = f"{tag} {verb}{'' if rc is None else f' {rc}'} on connection {link['name']}"
        if verb == "STARTED":
            self.answers.setdefault(tag, []).append(("stands", message.get("blob"), self.record.now()))
        elif verb == "FINISH":
            link["writer"].write(line("FINISHED", tag))
            if any(answer[0] == "stands" for answer in self.answers.get(tag, [])):
                self.releases.setdefault(tag, []).append(self.record.now())
                shown += ": the call is over"
            else:
                kind = "refused" if rc in (34, 42, 102) else "failed"
                self.answers.setdefault(tag, []).append((kind, rc, self.record.now()))
                shown += f": {kind}"
        self.record(self.name, shown)

    def ask(self, link, tag=None, wait_ms=5000, size=0, key=None):
        tag = tag or self.new_tag()
        opts = {"class": "check-setup", "left": str(wait_ms), "key": key or tag, "extras": "dest:0;width:1;via:-1"}
        blob = f"{tag}\r\nc=IN IP4 10.4.7.9\r\n".ljust(size, "x")
        self.asked[tag] = self.record.now()
        self.record(self.name, f"{tag} START on connection {link['name']}, waits {wait_ms} ms")
        link["writer"].write(line("START", tag, opts, None, blob))
        return tag

    def has_stood(self, tag):
        return any(answer[0] == "stands" for answer in self.answers.get(tag, []))


class Proxy:
    """Forwards connections to `to`, from the address of the connecting peer. A held connection stays open and silent."""

    def __init__(self, record, to):
        self.record, self.to, self.pairs, self.held = record, to, [], set()
        self.flow = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = ("127.0.0.1", self.server.sockets[0].getsockname()[1])
        return self

    async def serve(self, reader, writer):
        host = writer.get_extra_info("peername")[0]
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.to, local_addr=(host, 0))
        except OSError:
            return writer.close()
        pair = {"number": len(self.pairs), "free": asyncio.Event(), "writers": (writer, far_writer)}
        pair["free"].set()
        self.pairs.append(pair)
        await asyncio.gather(self.pump(pair, reader, far_writer), self.pump(pair, far_reader, writer))

    async def pump(self, pair, reader, writer):
        with contextlib.suppress(ConnectionError, OSError):
            while data := await reader.read(65536):
                await pair["free"].wait()
                if pair.get("pieces") and writer is pair["writers"][1]:
                    size, gap = pair.pop("pieces")
                    self.record("proxy", f"forwards {size} bytes of a message, and the rest {gap} s later")
                    writer.write(data[:size])
                    data = data[size:]
                    await asyncio.sleep(gap)
                writer.write(data)
                await writer.drain()
        await pair["free"].wait()
        writer.close()

    def in_pieces(self, number, size, gap):
        """The next bytes from the connecting peer come in two pieces."""
        self.pairs[number]["pieces"] = (size, gap)

    def hold(self, number):
        self.pairs[number]["free"].clear()
        self.record("proxy", f"connection {number} falls silent and stays open")

    def let_go(self, number):
        self.pairs[number]["free"].set()
        self.record("proxy", f"connection {number} works again")


# ---- A play ----


def play(folder, story):
    """Runs `story(record, temporary folder, ends)`, which returns a list of what broke the rule; ends the case."""
    record = Record(folder)
    record("case", f"TROUBLE={1 if TROUBLE else 0}")
    # The program's upgrade socket is in $TMPDIR, and its path has to be short.
    base = "/tmp" if os.access("/tmp", os.W_OK | os.X_OK) else None
    temporary = tempfile.mkdtemp(prefix="case-", dir=base)
    ends = []

    async def run():
        if len(temporary) > 50:
            raise CannotRun("the path of the temporary folder is too long")
        loop = asyncio.get_running_loop()
        me = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, me.cancel)
        try:
            return await asyncio.wait_for(story(record, temporary, ends), 105)
        finally:
            for end in reversed(ends):
                with contextlib.suppress(Exception):
                    await end()

    code = 2
    try:
        broken = asyncio.run(run())
        for fault in broken:
            record("check", f"BROKEN: {fault}")
        if not broken:
            record("check", "the rule held")
        code = 1 if broken else 0
    except CannotRun as reason:
        record("check", f"the case could not run: {reason}")
    except (Exception, asyncio.CancelledError):
        record("check", "the case could not run: " + traceback.format_exc().replace("\n", " | "))
    finally:
        if os.environ.get("KEEP"):
            print("kept:", temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)  # without waiting for what is left of the stand-ins
