"""An operator's order is held up on its way by a cut link, and arrives after newer orders were acknowledged."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
import lab as l

ZONE = "zone-a"
EVACUATION_S, CUT_S, SOUND_PER_S = 5.0, 3.5, 20.0
# The operator reads the configuration this often, on a connection that it keeps; the cut begins some time before the order.
READS_EVERY_S, CUT_BEFORE_S = 1.0, 0.4


# "One way [...] 3 ms to clients": the operator is as far.
ROUND_TRIP_S = 0.006


class Link:
    """The path from the operator to one control process. While it is cut, bytes and closes wait, as TCP has them wait."""

    def __init__(self, lab, target):
        self.lab, self.target = lab, target
        self.open = asyncio.Event()
        self.open.set()

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address, l.CONTROL_PORT)

    async def serve(self, reader, writer):
        upstream_reader, upstream = await asyncio.open_connection(self.target, l.CONTROL_PORT)

        async def forward(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    await self.open.wait()
                    if not data:
                        # After a cut, the close follows once the bytes before it, sent again, are acknowledged.
                        await asyncio.sleep(ROUND_TRIP_S)
                        sink.write_eof()
                        return
                    sink.write(data)
                    await sink.drain()
            except OSError:
                sink.close()

        await asyncio.gather(forward(reader, upstream), forward(upstream_reader, writer))
        upstream.close()
        writer.close()


class Operator:
    """The operator's connection to control-0, kept for its reads and orders; new ones to the others."""

    def __init__(self, lab):
        self.lab, self.kept = lab, None

    async def call(self, address, method, path, patience=1.0):
        """One call; returns its status, 0 without an answer in a second. It turns away and closes the connection then."""
        kept = address == self.lab.link_address
        reader, writer = self.kept if kept and self.kept else await asyncio.open_connection(address, l.CONTROL_PORT)
        self.kept = (reader, writer) if kept else self.kept
        status = 0
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n".encode())
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), patience)
            fields = dict(f.lower().split(": ", 1) for f in head.decode().split("\r\n")[1:] if ": " in f)
            await reader.readexactly(int(fields.get("content-length", 0)))
            status = int(head.split(b" ")[1])
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError):
            pass
        if not kept or not status:
            writer.close()
            self.kept = None if kept else self.kept
        if method == "POST":
            self.lab.note(f"operator: {path}, at {address}: {status or 'no answer in a second'}")
        return status

    async def reads(self, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await self.call(self.lab.link_address, "GET", "/config/get")
            await asyncio.sleep(READS_EVERY_S)


async def insist(operator, addresses, action):
    for address in addresses * 3:
        if await operator.call(address, "POST", f"/evacuations/{ZONE}/{action}") // 100 == 2:
            return time.monotonic()
    raise l.CannotRun(f"{action} was not acknowledged")


async def body(lab):
    await lab.begin(l.config([l.safe_route("desk")], [l.service("desk", 96)]))
    lab.link = Link(lab, lab.controls[0])
    lab.link_address = f"127.{lab.net}.4.1"
    await lab.link.start(lab.link_address)
    addresses = [lab.link_address, lab.controls[1], lab.controls[2]]
    operator = Operator(lab)
    sent, tasks = {}, []

    async def one(number):
        request = f"s{number:06d}"
        sent[request] = await lab.send(number % len(lab.fronts), request, "GET", f"/lookup/{number}", {}, deadline_s=2.0)

    async def sound():
        number = 0
        while True:
            number += 1
            tasks.append(asyncio.create_task(one(number)))
            await asyncio.sleep(1 / SOUND_PER_S)

    background = asyncio.create_task(sound())
    await asyncio.sleep(2.0)
    await insist(operator, addresses, "start")
    await operator.reads(8.0)
    if l.TROUBLE:
        lab.link.open.clear()
        lab.note(f"the operator's link to control-0 is cut for {CUT_S} s")
        asyncio.get_running_loop().call_later(CUT_S, lab.link.open.set)
    await asyncio.sleep(CUT_BEFORE_S)
    # The order that ends the first evacuation is held up on the link; the operator turns to the next control.
    await insist(operator, addresses, "end")
    await asyncio.sleep(1.5)
    # The zone is to be emptied once more. The operator's list begins with another control.
    acknowledged = await insist(operator, addresses[1:], "start")
    await asyncio.sleep(EVACUATION_S + 10.0)
    background.cancel()
    await asyncio.gather(*tasks)
    if operator.kept:
        operator.kept[1].close()
        await asyncio.sleep(0.1)
    return judge(lab, acknowledged)


def judge(lab, acknowledged):
    in_zone = lambda e: l.ZONES[e["place"] % 3] == ZONE
    arrivals = [e for e in lab.seen() if e["event"] == "arrives"]
    if not any(in_zone(e) and e["t"] < acknowledged for e in arrivals):
        raise l.CannotRun("no request ever reached the zone")
    late = [e for e in arrivals if in_zone(e) and e["t"] > acknowledged + EVACUATION_S]
    others = sum(1 for e in arrivals if not in_zone(e) and e["t"] > acknowledged + EVACUATION_S)
    return not late, (f"{len(late)} requests reached runners of {ZONE} later than evacuation-ms after its evacuation was "
                      f"acknowledged, and {others} the other runners; nobody has taken it back since")


l.run(__file__, l.Lab(__file__, gateways=4, runners=6, runner_settings={
    "service": "desk", "slots": 6, "answer": "text/plain", "first_ms": 60}), body)
