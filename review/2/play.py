"""Two regional controllers use one gatekeeper. The connection of one is reset under a request, while an earlier call of its
own stands. That call comes to its end at the server before the controller connects again."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import standin  # noqa: E402
from standin import TROUBLE, Caller, SetupServer, Site  # noqa: E402

ZAGREB, SPLIT = "127.0.0.2", "127.0.0.3"  # the controllers' addresses
CALL, UNDER, NEXT = "c0ba17500137e241", "c0ba17500137e242", "c0ba17500137e243"  # of zagreb
OTHER = "c0ba17500137e251"  # of split
LIMIT = 8.05  # "within 8 s of its end" where no release could be sent, and 50 ms
RESET_BEFORE_END = 1.0
BACK_AFTER_END = 1.5


async def play(record):
    site = Site(record)

    async def on_set_up(server, tag, writer):
        await asyncio.sleep(0.5 if tag == UNDER else 0.05)
        server.answer(tag, writer)

    server = SetupServer(record, "s-1", on_set_up)
    try:
        await site.resolver.open()
        await server.open()
        site.resolver.add("s-1", server.host, server.port, "zagreb", 0)
        await site.start()
        await asyncio.sleep(1.0)
        split = await Caller.connect(record, "split", SPLIT, site.gate)
        zagreb = await Caller.connect(record, "zagreb", ZAGREB, site.gate)
        for caller, tag in ((split, OTHER), (zagreb, CALL)):
            caller.set_up(tag)
            if not await caller.wait(lambda m, t=tag: m["verb"] == "STARTED" and m["tag"] == t, 5):
                raise standin.CouldNotRun(f"{tag} does not stand")
        await asyncio.sleep(1.0)
        connections = [zagreb]
        zagreb.set_up(UNDER)
        await asyncio.sleep(0.2)
        if TROUBLE:
            zagreb.reset()
        await asyncio.sleep(RESET_BEFORE_END)
        record.line("s-1: the call of zagreb comes to its end")
        ended_at = record.now()
        server.end_call(CALL)
        await asyncio.sleep(BACK_AFTER_END)
        if TROUBLE:
            again = await Caller.connect(record, "zagreb", ZAGREB, site.gate)
            again.own |= zagreb.own
            connections.append(again)
        # The controller's next call, on the connection that it has.
        connections[-1].set_up(NEXT)
        if not await connections[-1].wait(lambda m: m["verb"] == "STARTED" and m["tag"] == NEXT, 5):
            raise standin.CouldNotRun("the controller's next call does not stand")
        await asyncio.sleep(max(0.0, ended_at + LIMIT + 1.0 - record.now()))

        def is_release(message):
            return message["verb"] == "FINISH" and message["tag"] == CALL

        heard = [found[0] - ended_at for found in (c.first(is_release) for c in connections) if found]
        foreign = split.first(is_release)
        if foreign:
            record.line(f"split was sent the release of a call that it never made, {foreign[0] - ended_at:.3f} s "
                        "after the end of that call")
        if heard and min(heard) <= LIMIT:
            return standin.HELD, f"zagreb heard the end of its call after {min(heard):.3f} s"
        where = "; split, another controller, was sent it instead" if foreign else ""
        return standin.BROKEN, f"zagreb never heard the end of its call{where}"
    finally:
        await site.end()


standin.run(Path(__file__).resolve().parent, play)
