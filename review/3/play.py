"""One connection to a setup server falls silent for 2 s. A call that stands there comes to its end meanwhile."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import standin  # noqa: E402
from standin import TROUBLE, Caller, SetupServer, Site  # noqa: E402

ZONES = ("zagreb", "split", "osijek", "zagreb", "split")
CALL, NEXT = "c0ba17500137e241", "c0ba17500137e242"
SILENT_FOR = 2.0  # of one of five servers; the longest that a page has is 6 s, for a fifth of the servers
ENDS_AFTER = 1.2  # the call comes to its end so long after the silence began
LIMIT = 8.05  # "within 8 s of its end" where no release could be sent, and 50 ms


class Link:
    """The way to a server: passes connections on. Those that are open when a silence begins carry nothing until it is
    over, neither bytes nor their end; others are not touched."""

    def __init__(self, record, server):
        self.record, self.server, self.open_ones, self.count = record, server, set(), 0

    async def open(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.host, self.port = self.listener.sockets[0].getsockname()

    async def serve(self, reader, writer):
        self.count += 1
        number, passing = self.count, asyncio.Event()
        passing.set()
        self.record.line(f"link to {self.server.name}: connection {number} has come up")
        there, back = await asyncio.open_connection(self.server.host, self.server.port)
        self.open_ones.add(passing)
        ended = f"has ended connection {number}"
        await asyncio.gather(self.carry(reader, back, passing, f"link to {self.server.name}: the gatekeeper {ended}"),
                             self.carry(there, writer, passing, f"link to {self.server.name}: the server {ended}"))
        self.open_ones.discard(passing)

    async def carry(self, reader, writer, passing, at_end):
        try:
            while data := await reader.read(65536):
                await passing.wait()
                writer.write(data)
        except OSError:
            pass
        self.record.line(at_end)
        await passing.wait()
        writer.close()

    async def silence(self, seconds):
        silent = list(self.open_ones)
        self.record.line(f"link to {self.server.name}: {len(silent)} open connection(s) fall silent")
        for passing in silent:
            passing.clear()
        await asyncio.sleep(seconds)
        self.record.line(f"link to {self.server.name}: the silence is over")
        for passing in silent:
            passing.set()


class RepeatingServer(SetupServer):
    """Repeats a release that was not heard on the next connection that is opened."""

    def __init__(self, *args):
        super().__init__(*args)
        self.owed = {}

    async def serve(self, reader, writer):
        for tag, cause in self.owed.items():
            self.say(writer, {"verb": "FINISH", "tag": tag, "opts": {}, "rc": cause})
        await super().serve(reader, writer)

    def handle(self, message, writer):
        if message["verb"] == "FINISHED":
            self.owed.pop(message["tag"], None)
        super().handle(message, writer)

    def end_call(self, tag, cause=16):
        self.owed[tag] = cause
        super().end_call(tag, cause)


async def play(record):
    site = Site(record)

    async def on_set_up(server, tag, writer):
        await asyncio.sleep(0.05)
        server.answer(tag, writer)

    servers = [RepeatingServer(record, name, on_set_up) for name in ("s-1", "s-2", "s-3", "s-4", "s-5")]
    links = [Link(record, server) for server in servers]
    try:
        await site.resolver.open()
        for cell, (server, link, zone) in enumerate(zip(servers, links, ZONES)):
            await server.open()
            await link.open()
            site.resolver.add(server.name, link.host, link.port, zone, cell)
        await site.start()
        await asyncio.sleep(2.0)
        office = await Caller.connect(record, "office", "127.0.0.2", site.gate)
        office.set_up(CALL, dest=0)
        if not await office.wait(lambda m: m["verb"] == "STARTED" and m["tag"] == CALL, 5):
            raise standin.CouldNotRun("the call does not stand")
        if CALL not in servers[0].standing:
            raise standin.CouldNotRun("the call stands at another server")
        await asyncio.sleep(2.0)
        if TROUBLE:
            silence = asyncio.ensure_future(links[0].silence(SILENT_FOR))
        await asyncio.sleep(ENDS_AFTER)
        record.line("s-1: the call comes to its end")
        ended_at = record.now()
        servers[0].end_call(CALL)
        await asyncio.sleep(2.0)
        if TROUBLE:
            await silence
        office.set_up(NEXT, dest=0)  # traffic goes on
        await asyncio.sleep(max(0.0, ended_at + LIMIT + 1.0 - record.now()))
        found = office.first(lambda m: m["verb"] == "FINISH" and m["tag"] == CALL)
        if found is None:
            return standin.BROKEN, "the caller never heard the end of its call"
        after = found[0] - ended_at
        result = standin.HELD if after <= LIMIT else standin.BROKEN
        return result, f"the caller heard the end of its call after {after:.3f} s"
    finally:
        await site.end()


standin.run(Path(__file__).resolve().parent, play)
