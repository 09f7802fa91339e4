"""The setup server of one of three zones is lost without a word for 5 s and returns cold. The list, some seconds late,
tells that it is gone when it is back."""

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import standin  # noqa: E402
from standin import TROUBLE, Caller, SetupServer, Site  # noqa: E402

FIRST, CALL, OTHER = "c0ba17500137e240", "c0ba17500137e241", "c0ba17500137e242"
LOST_FOR = 4.9  # "a zone is lost for 5 s"
LATE = 6.6  # "counts as told at the latest 7 s later"; the gatekeeper asks every 0.25 s
CALL_AT = 6.3  # the set-up comes so long after the loss
WORK = 1.9  # the set-up's time at a server; "a session should stand within 2 s"
SLACK = 0.05


class ServerOfAZone(SetupServer):
    """A setup server whose machine can vanish and come back."""

    async def open(self, host="127.0.0.1", port=0):
        self.socket = socket.socket()
        self.socket.bind((host, port))
        self.socket.listen(64)
        self.socket.setblocking(False)
        self.host, self.port = self.socket.getsockname()
        self.accepting = asyncio.ensure_future(self.accept())
        self.tasks, self.fillers = set(), []

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self.socket)
            reader, writer = await asyncio.open_connection(sock=accepted, limit=64 * 1024)
            task = asyncio.ensure_future(self.serve(reader, writer))
            self.tasks.add(task)

    async def serve(self, reader, writer):
        self.record.line(f"{self.name}: a connection has come up")
        try:
            await super().serve(reader, writer)
        finally:
            self.record.line(f"{self.name}: a connection has ended")

    def vanish(self):
        """Open connections stay open and silent, and new ones never come up: nothing is accepted, and the listener's
        queue is full."""
        self.record.line(f"{self.name}: its machine is lost; {len(self.standing)} call(s) that stood are over")
        self.accepting.cancel()
        self.gone = list(self.connections)
        for writer in self.gone:
            writer.transport.pause_reading()
        self.say = lambda *_: None
        self.socket.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self.fillers.append(filler)

    async def come_back(self):
        """A new process on the machine: it knows no call, and its kernel resets the connections of the old one."""
        del self.say
        self.standing.clear()
        self.home.clear()
        for filler in self.fillers:
            filler.close()
        while True:
            try:
                self.socket.accept()[0].close()
            except BlockingIOError:
                break
        self.socket.listen(64)
        for writer in self.gone:
            standin.reset(writer)
        self.accepting = asyncio.ensure_future(self.accept())
        self.record.line(f"{self.name}: its machine is back, with a new and cold process")


async def play(record):
    site = Site(record)
    out = []  # attempts of the call: the server, when it came, when it ended

    async def on_set_up(server, tag, writer):
        if tag != CALL:
            await asyncio.sleep(0.05)
            return server.answer(tag, writer)
        attempt = [server, record.now(), None]
        out.append(attempt)
        until = record.now() + WORK
        while record.now() < until:
            await asyncio.sleep(0.01)
            if tag not in server.home or server.home[tag] not in server.connections:  # given up
                attempt[2] = record.now()
                return None
        attempt[2] = record.now()
        return server.answer(tag, writer)

    lost = ServerOfAZone(record, "s-1", on_set_up)
    others = [SetupServer(record, name, on_set_up) for name in ("s-2", "s-3")]
    try:
        await site.resolver.open()
        for cell, (server, zone) in enumerate(zip([lost, *others], ("zagreb", "split", "osijek"))):
            await server.open()
            site.resolver.add(server.name, server.host, server.port, zone, cell)
        await site.start()
        await asyncio.sleep(2.0)
        office = await Caller.connect(record, "office", "127.0.0.2", site.gate)
        office.set_up(FIRST, dest=0)
        if not await office.wait(lambda m: m["verb"] == "STARTED" and m["tag"] == FIRST, 5):
            raise standin.CouldNotRun("the first call does not stand")
        office.say({"verb": "FINISH", "tag": FIRST, "opts": {}, "rc": 16})
        await asyncio.sleep(0.5)
        lost_at = record.now()

        async def until(seconds):
            await asyncio.sleep(max(0.0, lost_at + seconds - record.now()))

        async def tell():
            entry = site.resolver.servers[0]
            await until(LATE)
            site.resolver.servers.remove(entry)
            site.resolver.changed("s-1 is gone")
            await until(LOST_FOR + LATE)
            entry["started"] = back_ms
            site.resolver.servers.insert(0, entry)
            site.resolver.changed("s-1 has started anew")

        if TROUBLE:
            lost.vanish()
            await until(LOST_FOR)
            await lost.come_back()
            back_ms = int(time.time() * 1000)
            telling = asyncio.ensure_future(tell())
        await until(CALL_AT)
        office.set_up(OTHER, dest=0)  # stands at once; recorded, not judged
        office.set_up(CALL, dest=0)
        answer = await office.wait(lambda m: m["verb"] in ("STARTED", "FINISH") and m["tag"] == CALL, 5)
        await until(LOST_FOR + LATE + 1.0)
        if TROUBLE:
            await telling
        for server, came, ended in out:
            ended = ended or record.now()
            record.line(f"an attempt of the call was out at {server.name} from {came:.3f} to {ended:.3f}")
        standing = [s.name for s in (lost, *others) if CALL in s.standing]
        record.line(f"the call stands at: {', '.join(standing) or 'no server'}")
        cut = office.first(lambda m: m["verb"] == "FINISH" and m["tag"] == OTHER)
        for server in (lost, *others):
            if OTHER in server.standing:
                told = f"its caller was told at {cut[0]:.3f} that it is over" if cut else "its caller knows it as standing"
                record.line(f"the other call stands at {server.name}; {told}")
        if not out:
            raise standin.CouldNotRun("no set-up reached a server")
        out.sort(key=lambda attempt: attempt[1])
        for one, two in zip(out, out[1:]):
            if one[2] is None or two[1] + SLACK < one[2]:
                until_then = "and was never given up" if one[2] is None else f"until {one[2]:.3f}"
                return standin.BROKEN, (f"two attempts of one call were out at once: at {one[0].name} from {one[1]:.3f} "
                                        f"{until_then}, and at {two[0].name} from {two[1]:.3f}; the call then stood at "
                                        f"{' and '.join(standing) or 'no server'}")
        return standin.HELD, f"{len(out)} attempt(s), never two at once; the caller got {answer and answer['verb']}"
    finally:
        await site.end()


standin.run(Path(__file__).resolve().parent, play)
