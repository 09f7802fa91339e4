"""An upgrade while a set-up is open; the server's answer comes with a second copy some milliseconds later."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
from peers import TROUBLE, Caller, Program, SetupServer, config, free_port, play, ready, serve_list, until

LISTEN_HOST, SERVER_HOST, CALLER_HOST = "127.0.0.1", "127.0.0.31", "127.0.0.21"
LIMIT = 1.05  # after its server's release of a call that stood, its client is told
LAST = 8.05  # if no release could be sent; this longer limit is checked for what the gatekeeper released


async def story(record, folder, ends):
    slow = {}

    def plan(tag):
        return {"after": slow.get(tag, 0.02), "copies": [0.03] if TROUBLE and tag in slow else []}

    server = await SetupServer(record, "server", SERVER_HOST, plan).start()
    ends.append(server.end)
    cut = {}
    server.over = lambda tag, call: cut.setdefault(tag, call["released_at"])
    other = await SetupServer(record, "other", "127.0.0.32", lambda tag: {}).start()
    ends.append(other.end)
    servers = [("s-00c41f7a", SERVER_HOST, server.port, "split", 0), ("s-00c41f7b", other.host, other.port, "osijek", 1)]
    _, dns = await serve_list(servers)
    listen = (LISTEN_HOST, free_port())
    path = config(folder, "n1", listen, dns, servers)
    programs, doors = [], []
    for name in ("old", "new"):
        doors.append((LISTEN_HOST, free_port()))
        env = {"LB_NAME": "n1", "LB_LISTEN": "%s:%d" % listen, "LB_CONFIG": str(path), "TMPDIR": folder,
               "LB_OPS": "%s:%d" % doors[-1]}
        programs.append(Program(record, name, env))
        ends.append(programs[-1].end)
    old, new = programs
    await old.start()
    await ready(doors[0])
    caller = Caller(record, "caller", CALLER_HOST, listen)
    link = await caller.connect("1")
    first = caller.ask(link)  # an ordinary call before the upgrade
    await until(lambda: caller.has_stood(first), 3, "the first call stands")

    await new.start()
    await ready(doors[1])
    tag = caller.new_tag()
    slow[tag] = 1.0
    caller.ask(link, tag)
    await asyncio.sleep(0.3)
    old.signal(signal.SIGTERM)  # when the new process says yes
    await until(lambda: caller.answers.get(tag), 6, "the set-up is answered")
    if not caller.has_stood(tag):
        return []
    # The caller opens a new connection, and another whenever one has ended, and places an ordinary call every second:
    # its releases always have a way.
    broken, began, calls = [], record.now(), 1
    while record.now() < began + LAST + 4:
        open_links = [each for each in caller.links[1:] if each["open"]]
        if not open_links:
            calls += 1
            open_links = [await caller.connect(str(calls))]
        caller.ask(open_links[-1])
        await asyncio.sleep(1)
    for each, at in cut.items():
        told = caller.releases.get(each, [])
        record("check", f"{each}: the server got its release from the gatekeeper at {at:.3f} s; the caller, which did "
               f"not end it, was told at {told or 'no time'}")
        if not told or told[0] > at + LAST:
            broken.append(f"call {each} stood and was released at its server by the gatekeeper; its caller was not "
                          f"told within {LAST} s, nor in {record.now() - at:.1f} s")
    if not broken:
        record("check", f"{tag} stands at its server and at its caller: {tag in server.calls}")
        # Its end at the server reaches the caller.
        server.finish(tag)
        server.finish(first)
        await asyncio.sleep(LIMIT)
        for each in (tag, first):
            if not caller.releases.get(each):
                broken.append(f"the end of call {each} did not reach its caller in {LIMIT} s")
    if not new.is_running():
        broken.append("the new process has ended")
    return broken


play(HERE, story)
