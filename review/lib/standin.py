"""Shared parts of the review's cases: starts the program by the deploy file's `run` command, and plays its resolver,
its setup servers and its callers on loopback, as the pages describe them. Standard library only."""

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2  # run.sh gives 1 for 10: 1 is what Python gives for any failure of its own


class CouldNotRun(Exception):
    """The case could not be played to the point at which the rule can be judged."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()
        self.line(f"disruption: {'on' if TROUBLE else 'off (TROUBLE=0)'}")

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


def free_port(kind=socket.SOCK_STREAM, host="127.0.0.1"):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def settings(site="izvornost-central", effects=None):
    """The settings of a small deployment: the example in WIRE, with the figures of this site's page. `effects` gives a
    class another effect than `read_like`."""
    central = site == "izvornost-central"
    classes = {  # the wanted time in ms, the worth, and what a late call is worth
        "izvornost-central": {"check-setup": (2000, 1.0, 0.25)},
        "danang-payroll": {"payslip-view": (2000, 1.0, 0.25), "pay-approve": (1200, 3.0, 0.1),
                           "hours-update": (1500, 1.0, 0.1)},
    }[site]
    services = [{"aim-us": aim * 1000, "dedup-scope": "all", "effect": (effects or {}).get(name, "read_like"),
                 "hard-limit-us": 9000000, "late-worth": late, "name": name, "stream": True,
                 "window-us": 5000000, "worth": worth} for name, (aim, worth, late) in classes.items()]
    zones = ["zagreb", "split", "osijek"] if central else ["hai-chau", "son-tra", "lien-chieu"]
    return {
        "ceilings": {"cancel": True, "conn-idle-us": 600000000, "cpu-us-per-request": 0.0,
                     "cpu-us-per-s": 400000, "dial-timeout-us": 500000,
                     "max-attempts": 4 if central else 6, "max-open": 20000, "max-retry-after-us": 2000000,
                     "peers": False, "probes": True, "retry-after": True, "second-copies": False,
                     "streams-per-conn": 1048576},
        "client-habits": {"marks-retry": not central}, "counted-by": "request", "discovery": "pushed",
        "domain": {"advice": False, "allowed-pools": [[0, 1, 2, 3, 4]] * len(services),
                   "call-length-us": [8000000] * len(services), "class-width": [1] * len(services),
                   "clear-wait-us": 500000 if central else 200000, "far-reports": "piggyback",
                   "layout": "groups", "resend-us": 0, "says-wait": not central, "this-node": -1},
        "failure-domains": zones, "family": "trunks", "layer": 0, "layers": ["setup-fleet"], "me": 0,
        "over-share-worth": 0.1, "peers-total": 1,
        "report": {"how": "piggyback", "names": ["spare", "total", "avg_ms"]} if central
        else {"how": "silent", "names": ["spare", "total"]},
        "rules": {"answer-slack-us": 20000, "ask-within-us": 10000000,
                  "drain-grace-us": 250000 if central else 500000, "fall-us": 1000000 if central else 2000000,
                  "start-capacity": 0.29 if central else 0.31, "tip-multiple": 2.0 if central else 4.0,
                  "warm-up-us": 15000000 if central else 14000000},
        "services": services, "skus": ["standard-1c"], "tenants": [], "tick-us": 5000,
        "weight-source": "silent", "zone": 0,
    }


# ---- Resolver ----

def encode_name(name):
    labels = name.rstrip(".").split(".")
    return b"".join(bytes([len(label)]) + label.encode() for label in labels) + b"\0"


def read_name(data, at):
    labels = []
    while data[at]:
        labels.append(data[at + 1:at + 1 + data[at]].decode().lower())
        at += 1 + data[at]
    return ".".join(labels), at + 1


class Resolver(asyncio.DatagramProtocol):
    """Answers the query for the SRV records with the whole list, or PTR queries by DNS-SD."""
    A, SOA, PTR, TXT, SRV = 1, 6, 12, 16, 33

    def __init__(self, record, service="_back._tcp.pool.lan"):
        self.record, self.service = record, service
        self.servers, self.serial, self.told = [], 1, {}

    async def open(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.address = "%s:%d" % self.transport.get_extra_info("sockname")

    def add(self, server_id, host, port, zone, cell, started_ms=0, draining=False):
        self.servers.append(dict(id=server_id, host=host, port=port, zone=zone, cell=cell,
                                 started=started_ms, draining=draining))

    def changed(self, what):
        """A further event: the list's number goes up."""
        self.serial += 1
        self.record.line(f"resolver: event {self.serial}: {what}")

    def known(self):
        lines = [{"instanceId": s["id"], "hostPort": f"{s['host']}:{s['port']}", "zone": s["zone"],
                  "machineType": "standard-1c", "cell": s["cell"],
                  "lifecycle": "terminating" if s["draining"] else "in_service", "weight": 1,
                  "startedAtMs": s["started"]} for s in self.servers]
        event = {"seq": self.serial, "fleet": {"generation": 1, "reset": False, "instances": lines}}
        return {"seq": self.serial, "results": [event]}

    def datagram_received(self, data, source):
        try:
            name, end = read_name(data, 12)
            kind = struct.unpack(">H", data[end:end + 2])[0]
        except (IndexError, struct.error, UnicodeDecodeError):
            return
        sections = {"answer": [], "authority": [], "additional": []}

        def put(section, owner, rtype, rdata):
            sections[section].append(
                encode_name(owner) + struct.pack(">HHIH", rtype, 1, 0, len(rdata)) + rdata)

        for s in self.servers:
            host = f"{s['id']}.{s['zone']}.hosts"
            instance = f"{s['id']}.{self.service}"
            srv = struct.pack(">HHH", int(s["draining"]), 10, s["port"]) + encode_name(host)
            texts = [b"kind=standard-1c", b"cell=%d" % s["cell"], b"started=%d" % s["started"]]
            txt = b"".join(bytes([len(t)]) + t for t in texts)
            ip = socket.inet_aton(s["host"])
            if kind == self.SRV and name == self.service:
                put("answer", name, self.SRV, srv)
                put("additional", host, self.A, ip)
                put("additional", host, self.TXT, txt)
            elif kind == self.PTR and name == self.service:
                put("answer", name, self.PTR, encode_name(instance))
                put("additional", instance, self.SRV, srv)
                put("additional", instance, self.TXT, txt)
                put("additional", host, self.A, ip)
        soa = encode_name("pool.lan") * 2 + struct.pack(">IIIII", self.serial, 1, 1, 1, 1)
        put("authority", name, self.SOA, soa)
        header = data[:2] + struct.pack(">HHHHH", 0x8400, 1, *(len(v) for v in sections.values()))
        body = b"".join(b"".join(v) for v in sections.values())
        self.transport.sendto(header + data[12:end + 4] + body, source)
        if self.serial not in self.told:
            self.told[self.serial] = self.record.now()
            self.record.line(f"resolver: an answer with event {self.serial} is sent")


# ---- The program ----

class Program:
    """One gatekeeper, started from the root by `/bin/sh -c` with the deploy file's `run`."""

    def __init__(self, record, folder):
        self.record, self.folder, self.process = record, folder, None

    async def start(self, environment=None, arguments=""):
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        if not (ROOT / "target/release/cobaltspool").exists():
            raise CouldNotRun("target/release/cobaltspool is missing: run the deploy file's build")
        kept = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "COBALTSPOOL_"))}
        kept["TMPDIR"] = str(self.folder)
        kept.update(environment or {})
        self.log = open(Path(self.folder) / "program.log", "wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", f"{run} {arguments}".strip(), cwd=ROOT, env=kept,
            stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record.line(f"program: started: {run} {arguments}".rstrip())

    def signal(self, which):
        self.record.line(f"program: {signal.Signals(which).name}")
        self.process.send_signal(which)

    def runs(self):
        return self.process.returncode is None

    async def end(self):
        if self.process is None:
            return
        if self.runs():
            self.process.kill()
            await self.process.wait()
        self.log.close()
        for line in (Path(self.folder) / "program.log").read_text(errors="replace").splitlines():
            self.record.file.write(f"  program's log | {line}\n")


class Site:
    """A resolver and one gatekeeper on the platform's protocol."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="cobaltspool-review-")
        self.resolver = Resolver(record)
        self.program, self.gate = Program(record, self.folder), None

    async def start(self, given=None):
        self.gate = self.gate or ("127.0.0.1", free_port())  # the same after a restart
        config = {
            "name": "n1", "listen": "%s:%d" % self.gate, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "dns": self.resolver.address, "known": self.resolver.known(), "settings": given or settings(),
        }
        path = Path(self.folder) / "config.json"
        path.write_text(json.dumps(config))
        environment = {"LB_NAME": "n1", "LB_LISTEN": config["listen"], "LB_CONFIG": str(path)}
        await self.program.start(environment)
        await self.until_ready()

    async def until_ready(self):
        """The front takes in a gatekeeper once it has passed a test after its start."""
        until = self.record.now() + 20
        while self.record.now() < until:
            try:
                front = await Caller.connect(self.record, "front", "127.0.0.1", self.gate, quiet=True)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            front.say({"verb": "ECHO", "tag": "00000000000000ee", "opts": {}, "rc": 0})
            answer = await front.wait(lambda m: m["verb"] == "ECHOED", 2)
            front.close()
            if answer and answer.get("rc") == 1:
                return
            await asyncio.sleep(0.05)
        raise CouldNotRun("the gatekeeper is not ready")

    async def end(self):
        await self.program.end()
        shutil.rmtree(self.folder, ignore_errors=True)


# ---- JSON lines ----

class Caller:
    """A caller's connection. It confirms the releases of its own controller's calls with FINISHED. `own` holds the
    ids of the calls that this controller has made, on any connection."""

    def __init__(self, record, name, reader, writer, quiet):
        self.record, self.name, self.reader, self.writer, self.quiet = record, name, reader, writer, quiet
        self.messages, self.ended, self.news, self.own = [], None, asyncio.Event(), set()
        self.task = asyncio.ensure_future(self.read())

    @staticmethod
    async def connect(record, name, source, to, quiet=False):
        reader, writer = await asyncio.open_connection(*to, local_addr=(source, 0), limit=64 * 1024)
        caller = Caller(record, name, reader, writer, quiet)
        if not quiet:
            record.line(f"{name}: connects from {source}")
        return caller

    async def read(self):
        try:
            while line := await self.reader.readline():
                message = json.loads(line)
                if not self.quiet:
                    self.record.line(f"{self.name}: receives {line.decode().strip()}")
                self.messages.append((self.record.now(), message))
                if message["verb"] == "FINISH" and message["tag"] in self.own:
                    self.say({"verb": "FINISHED", "tag": message["tag"], "opts": {}})
                self.news.set()
        except (OSError, ValueError):
            pass
        self.ended = self.record.now()
        if not self.quiet:
            self.record.line(f"{self.name}: the connection has ended")
        self.news.set()

    def say(self, message):
        if not self.quiet:
            self.record.line(f"{self.name}: sends {json.dumps(message)}")
        self.writer.write(json.dumps(message).encode() + b"\n")

    def set_up(self, tag, left=3600, dest=0, key="5b1e00c4a7d39f12", name="check-setup", **more):
        """A set-up; a try is given up after at most 40% of the 9 s after which the caller gives up altogether."""
        self.own.add(tag)
        self.say({"verb": "START", "tag": tag, "blob": "v=0\r\no=review\r\nc=IN IP4 127.0.0.2\r\n",
                  "opts": {"class": name, "left": str(left), "key": key, **more,
                           "extras": f"dest:{dest};width:1;via:-1"}})

    def first(self, wanted):
        return next(((at, m) for at, m in self.messages if wanted(m)), None)

    async def wait(self, wanted, seconds):
        until = time.monotonic() + seconds
        while True:
            found = self.first(wanted)
            left = until - time.monotonic()
            if found or left <= 0 or self.ended is not None:
                return found[1] if found else None
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), left)
            except asyncio.TimeoutError:
                pass

    def reset(self):
        """The connection is reset."""
        self.record.line(f"{self.name}: the connection is reset")
        reset(self.writer)

    def close(self):
        self.writer.close()


def reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class SetupServer:
    """A sound setup server: its state first on each connection and then every 300 ms, tests answered, each call
    kept by its id and not by its connection. `on_set_up(server, tag, connection)` decides what a set-up gets."""

    def __init__(self, record, name, on_set_up):
        self.record, self.name, self.on_set_up = record, name, on_set_up
        self.connections, self.ran, self.standing, self.home = [], [], {}, {}
        self.listener = None

    async def open(self, host="127.0.0.1", port=0):
        self.listener = await asyncio.start_server(self.serve, host, port, limit=64 * 1024)
        self.host, self.port = self.listener.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        self.connections.append(writer)
        states = asyncio.ensure_future(self.states(writer))
        try:
            while line := await reader.readline():
                self.handle(json.loads(line), writer)
        except (OSError, ValueError):
            pass
        states.cancel()
        if writer in self.connections:
            self.connections.remove(writer)
        writer.close()

    async def states(self, writer):
        while True:
            self.say(writer, {"verb": "LOAD", "tag": "0000000000000001", "opts": {"load": self.load()}}, True)
            await asyncio.sleep(0.3)

    report = "x0:80;x1:100;latency_ms:5"

    def load(self):
        return self.report

    def handle(self, message, writer):
        verb, tag = message["verb"], message.get("tag")
        if verb == "ECHO":
            self.say(writer, {"verb": "ECHOED", "tag": tag, "opts": {"load": self.load()}, "rc": 1}, True)
        elif verb == "START":
            self.record.line(f"{self.name}: set-up {tag} has come whole")
            self.home[tag] = writer
            self.ran.append((self.record.now(), tag))
            asyncio.ensure_future(self.on_set_up(self, tag, writer))
        elif verb == "FINISH":
            self.record.line(f"{self.name}: receives FINISH {tag}")
            self.home.pop(tag, None)
            self.standing.pop(tag, None)
            self.say(writer, {"verb": "FINISHED", "tag": tag, "opts": {}})

    def say(self, writer, message, quiet=False):
        if not quiet:
            self.record.line(f"{self.name}: sends {json.dumps(message)}")
        if not writer.is_closing():
            writer.write(json.dumps(message).encode() + b"\n")

    def answer(self, tag, writer):
        """The call stands."""
        if tag in self.home:
            self.standing[tag] = self.record.now()
            self.say(writer, {"verb": "STARTED", "tag": tag, "opts": {"load": self.load()},
                              "blob": f"handle-{self.name}-{tag}"})

    def finish(self, tag, writer, cause):
        self.home.pop(tag, None)
        self.say(writer, {"verb": "FINISH", "tag": tag, "opts": {"load": self.load()}, "rc": cause})

    def end_call(self, tag, cause=16):
        """The call has come to its end: said on the connection of its set-up, or else on any open one."""
        at = self.home.pop(tag, None)
        self.standing.pop(tag, None)
        if at not in self.connections:
            at = self.connections[-1] if self.connections else None
        if at is not None:
            self.say(at, {"verb": "FINISH", "tag": tag, "opts": {}, "rc": cause})


# ---- Frame of a case ----

def run(folder, play, limit=110):
    """Plays a case and exits with its result."""
    record = Record(folder)

    async def limited():
        played = asyncio.ensure_future(asyncio.wait_for(play(record), limit))
        for which in (signal.SIGTERM, signal.SIGINT):  # a case that is stopped ends what it started, too
            asyncio.get_running_loop().add_signal_handler(which, played.cancel)
        return await played

    try:
        result, verdict = asyncio.run(limited())
    except CouldNotRun as reason:
        result, verdict = COULD_NOT_RUN, f"the case could not run: {reason}"
    except (Exception, asyncio.CancelledError) as reason:  # a failure of a stand-in is no verdict on the program
        result, verdict = COULD_NOT_RUN, f"the case could not run: {type(reason).__name__}: {reason}"
    word = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}[result]
    record.line(f"result: {word}: {verdict}")
    print(f"{word}: {verdict}")
    sys.exit(result)
