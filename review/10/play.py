"""An upgrade while a call stands and another set-up is open, both on one connection; then the call ends at its server."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
from peers import TROUBLE, Caller, Program, SetupServer, config, free_port, play, ready, serve_list, until

LISTEN_HOST, SERVER_HOST, CALLER_HOST = "127.0.0.1", "127.0.0.31", "127.0.0.21"
LIMIT = 1.05  # after the server's release of a call that stood, its client is told
LAST = 8.05  # if no release could be sent, it is told by then


async def story(record, folder, ends):
    slow = {}
    server = await SetupServer(record, "server", SERVER_HOST, lambda tag: {"after": slow.get(tag, 0.02)}).start()
    ends.append(server.end)
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
    await asyncio.sleep(1)
    caller = Caller(record, "caller", CALLER_HOST, listen)
    link = await caller.connect("1")
    stands = caller.ask(link)
    await until(lambda: caller.has_stood(stands), 3, "the call stands")
    if TROUBLE:
        await new.start()
        await ready(doors[1])
        await asyncio.sleep(0.5)
    is_open = caller.new_tag()
    slow[is_open] = 2.5  # a slow set-up; its caller waits for its answer on the same connection
    caller.ask(link, is_open)
    await until(lambda: is_open in server.calls, 3, "the second set-up arrives")
    if TROUBLE:
        old.signal(signal.SIGTERM)  # when the new process says yes
    await asyncio.sleep(0.5)
    server.finish(stands)
    ended_at = record.now()
    # The caller has nothing else to say: it opens no further connection, and ends none.
    await asyncio.sleep(LAST + 0.5)
    told, answers = caller.releases.get(stands, []), caller.answers.get(is_open, [])
    record("check", f"call {stands} ended at its server at {ended_at:.3f} s; its caller was told at {told or 'no time'}")
    record("check", f"connection 1 was open till {link.get('ended') or 'the end'}; answers on it: {[a[0::2] for a in answers]}")
    if not told:
        return [f"the end of call {stands} did not reach its caller in {LAST} s; the connection of its set-up stayed open "
                f"until {link.get('ended', record.now()) - ended_at:.2f} s after that end"]
    if told[0] > ended_at + LIMIT and link.get("ended", record.now()) > ended_at + LIMIT:
        return [f"the end of call {stands} reached its caller only after {told[0] - ended_at:.2f} s"]
    return []


play(HERE, story)
