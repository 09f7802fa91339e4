"""A planned restart while a call of a class that may not be repeated is open; its server has run it and answers "error"."""

import asyncio
import json
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
from peers import TROUBLE, CannotRun, Caller, Program, SetupServer, config, free_port, line, play, ready, serve_list, until

SERVER_HOST, CALLER_HOST = "127.0.0.31", "127.0.0.21"
WAIT_MS = 3600  # a try is given up after 30 to 40% of the 9 s after which the caller gives up
ASKED = 0.54  # requests on open connections come until 0.6 s after SIGTERM,
LAST_ASKED = 0.6  # and not later
WORK = 2.5  # a processor turns set-ups away only once its wait passes 2.1 to 4 s


class PayrollServer(SetupServer):
    """A payroll server: it runs what it is sent. `fails(tag)` tells whether it then answers "error"."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.ran, self.fails = [], {}

    async def work(self, tag, call):
        key = call["key"]
        if tag in self.fails:
            await asyncio.sleep(self.fails[tag])
            self.ran.append((key, tag))
            self.record(self.name, f"{tag} has run, for {key}; the answer is FINISH 47, error")
            self.calls.pop(tag, None)
            call["writer"].write(line("FINISH", tag, {"load": "x0:90;x1:100"}, 47))
            return
        self.ran.append((key, tag))
        await super().work(tag, call)

    def handle(self, message, writer, set_up_here):
        super().handle(message, writer, set_up_here)
        if message["verb"] == "START":
            self.calls[message["tag"]]["key"] = message["opts"]["key"]


def payroll(path):
    """The classes and rules of danang-payroll; pay-approve may not be repeated."""
    top = json.loads(path.read_text())
    own = top["settings"]
    names = [("payslip-view", 2000000, 1.0, "read_like"), ("pay-approve", 1200000, 3.0, "non_idempotent"),
             ("hours-update", 1500000, 1.0, "read_like")]
    own["services"] = [dict(own["services"][0], name=name, effect=effect, worth=worth) | {"aim-us": aim}
                       for name, aim, worth, effect in names]
    own["domain"] |= {"allowed-pools": [[0, 1]] * 3, "clear-wait-us": 200000, "call-length-us": [9000000] * 3, "class-width": [1] * 3}
    own["rules"] |= {"drain-grace-us": 500000, "fall-us": 2000000, "tip-multiple": 4.0, "warm-up-us": 14000000}
    own["ceilings"]["max-attempts"] = 6
    path.write_text(json.dumps(top))


class Clerk(Caller):
    def ask(self, link, tag=None, wait_ms=WAIT_MS, key=None, name="payslip-view"):
        tag = tag or self.new_tag()
        self.asked[tag] = self.record.now()
        self.record(self.name, f"{tag} START {name} for {key or tag} on connection {link['name']}, waits {wait_ms} ms")
        opts = {"class": name, "left": str(wait_ms), "key": key or tag, "extras": "dest:0;width:1;via:-1"}
        link["writer"].write(line("START", tag, opts, None, f"{tag}\r\nm=audio\r\n"))
        return tag


async def story(record, folder, ends):
    server = await PayrollServer(record, "server", SERVER_HOST, lambda tag: {}).start()
    ends.append(server.end)
    other = await PayrollServer(record, "other", "127.0.0.32", lambda tag: {}).start()
    ends.append(other.end)
    servers = [("s-00c41f7a", SERVER_HOST, server.port, "hai-chau", 0), ("s-00c41f7b", other.host, other.port, "son-tra", 1)]
    _, dns = await serve_list(servers)
    programs, listens = [], []
    for n in (1, 2):
        listen, door = (f"127.0.0.{n}", free_port(f"127.0.0.{n}")), ("127.0.0.1", free_port())
        path = config(folder, f"n{n}", listen, dns, servers)
        payroll(path)
        env = {"LB_NAME": f"n{n}", "LB_LISTEN": "%s:%d" % listen, "LB_CONFIG": str(path), "TMPDIR": folder,
               "LB_OPS": "%s:%d" % door}
        programs.append(Program(record, f"gatekeeper-{n}", env))
        listens.append(listen)
        ends.append(programs[-1].end)
        await programs[-1].start()
        await ready(door)
    clerk = Clerk(record, "clerk", CALLER_HOST, listens[0])
    link = await clerk.connect("1")
    first = clerk.ask(link)
    await until(lambda: clerk.has_stood(first), 3, "an ordinary call stands")
    if TROUBLE:
        programs[0].signal(signal.SIGTERM)
    signalled = record.now()
    await asyncio.sleep(ASKED)
    approval = "00000000c0ffee01"
    tag = clerk.new_tag()
    server.fails[tag] = WORK
    clerk.ask(link, tag, key=approval, name="pay-approve")
    if record.now() > signalled + LAST_ASKED:
        raise CannotRun("this machine is too slow: the request went out over 0.6 s after SIGTERM")
    await until(lambda: clerk.answers.get(tag), 5, "the set-up is answered")
    kind, cause, at = clerk.answers[tag][0]
    ran = [each for key, each in server.ran + other.ran if key == approval]
    record("check", f"{tag} is answered '{kind}' with cause {cause}; at its server it has run {len(ran)} time(s)")
    if kind == "stands":
        raise CannotRun("the approval stands")
    broken = []
    if kind == "refused":
        if ran:
            broken.append(f"{tag} of a class that may not be repeated has run and was refused with cause {cause}: trying again "
                          "is harmless")
        # The clerk's controller believes it, and dials again by itself at another gatekeeper.
        clerk.to = listens[1]
        again = await clerk.connect("2")
        await asyncio.sleep(0.2)
        clerk.ask(again, key=approval, name="pay-approve")
        await asyncio.sleep(1)
        ran = [each for key, each in server.ran + other.ran if key == approval]
        if len(ran) > 1:
            broken.append(f"the approval for {approval} has run {len(ran)} times")
    return broken


play(HERE, story)
