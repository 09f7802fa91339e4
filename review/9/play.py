"""SIP over UDP towards the servers: one datagram is lost, the 100 to an INVITE on which its server works for 1.5 s."""

import asyncio
import pathlib
import socket
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
import sip
from peers import TROUBLE, CannotRun, Program, free_port, play, serve_list, until

HOST, CALLER_HOST = "127.0.0.1", "127.0.0.21"


async def story(record, folder, ends):
    slow, lost = {}, []
    servers, listed = [], []
    for n, zone in ((1, "split"), (2, "osijek")):
        server = sip.SipServer(record, f"server-{n}", f"127.0.0.{30 + n}", lambda session: slow.get(session, 0.02))
        await server.start_udp()

        def lose(response, attempt):
            if TROUBLE and not lost and attempt["session"] in slow and response.startswith("SIP/2.0 100"):
                lost.append(response)
                return True
            return False

        server.lose = lose
        servers.append(server)
        listed.append((f"s{n}", server.host, server.port, zone, n))
    _, dns = await serve_list(listed, sip.Responder)
    udp, tcp = (HOST, free_port(kind=socket.SOCK_DGRAM)), (HOST, free_port())
    path = sip.config(folder, "n1", udp, tcp, dns, "_sip._udp.pool.lan")
    program = Program(record, "gatekeeper", {"TMPDIR": folder}, f"--sip {path}")
    ends.append(program.end)
    await program.start()
    await asyncio.sleep(1)
    caller = await sip.SipCaller(record, "caller", CALLER_HOST, udp).start()

    async def ordinary(n):
        call = caller.invite(f"32{n:02}")
        await until(lambda: call["finals"], 9, "an ordinary call is answered")
        if call["finals"][0][0] != 200:
            raise CannotRun("an ordinary call does not stand")

    for n in range(4):
        await ordinary(n)
    session = f"{len(caller.calls) + 1:032x}"
    slow[session] = 1.5  # this set-up takes long, and still within the time wanted
    call = caller.invite("3100")
    began = record.now()
    n = 4
    while record.now() < began + 2:  # ordinary calls go on, ten a second
        await ordinary(n)
        n += 1
        await asyncio.sleep(0.1)
    await until(lambda: call["finals"], 9, "the call is answered")
    await asyncio.sleep(3)
    record("check", f"final answers to the caller: {[f[0] for f in call['finals']]}")
    if TROUBLE and not lost:
        raise CannotRun("no datagram was lost")
    if not program.is_running():
        return ["the program has ended"]
    return sip.outstanding_twice(record, servers)


play(HERE, story)
