"""A caller's connection carries three open set-ups; a fourth comes in two pieces, the second one 2.5 s after the first."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
from peers import TROUBLE, Caller, Program, Proxy, SetupServer, config, free_port, play, ready, serve_list, until

LISTEN_HOST, SERVER_HOST, CALLER_HOST = "127.0.0.1", "127.0.0.31", "127.0.0.21"
WAIT_MS = 3600  # a try is given up after 30 to 40% of the 9 s after which the office gives up
LATE = 0.5  # up to half a second after its time an answer only earns nothing


async def story(record, folder, ends):
    slow = {}
    server = await SetupServer(record, "server", SERVER_HOST, lambda tag: {"after": slow.get(tag, 0.02)}).start()
    ends.append(server.end)
    servers = [("s-00c41f7a", SERVER_HOST, server.port, "split", 0)]
    _, dns = await serve_list(servers)
    listen, door = (LISTEN_HOST, free_port()), (LISTEN_HOST, free_port())
    path = config(folder, "n1", listen, dns, servers)
    env = {"LB_NAME": "n1", "LB_LISTEN": "%s:%d" % listen, "LB_CONFIG": str(path), "TMPDIR": folder,
           "LB_OPS": "%s:%d" % door}
    program = Program(record, "gatekeeper", env)
    ends.append(program.end)
    await program.start()
    await ready(door)
    network = await Proxy(record, listen).start()
    caller = Caller(record, "caller", CALLER_HOST, network.address)
    link = await caller.connect("1")
    first = caller.ask(link)
    await until(lambda: caller.has_stood(first), 3, "an ordinary call stands")
    taken = [caller.new_tag() for _ in range(3)]
    for tag in taken:
        slow[tag] = 2.8  # the server is slow; it answers while the caller still waits
        caller.ask(link, tag, WAIT_MS)
    await until(lambda: all(tag in server.calls for tag in taken), 3, "the set-ups arrive at the server")
    network.in_pieces(0, 100, 2.5 if TROUBLE else 0.0)
    caller.ask(link, None, WAIT_MS)
    await asyncio.sleep(WAIT_MS / 1000 + LATE + 0.5)
    broken = []
    for tag in taken:
        answers = caller.answers.get(tag, [])
        record("check", f"{tag}: asked at {caller.asked[tag]:.3f} s, answers {[(a[0], round(a[2], 3)) for a in answers]}")
        if not answers:
            broken.append(f"set-up {tag} was taken, and its connection ended with no answer")
        elif answers[0][2] > caller.asked[tag] + WAIT_MS / 1000 + LATE:
            broken.append(f"set-up {tag} was answered too late")
    return broken


play(HERE, story)
