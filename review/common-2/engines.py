"""A group of ranks as PROTOCOL.md has it: requests, reports, counters, orders and passes."""

import asyncio
import json
import random
import time

from deployment import read_body, read_head

SETS, EXPERTS, PLACES, SPARE = 3, 96, 11, 4
PASS_S = 0.07
COPY_S = 0.4  # 2200 MB over 44 Gbit/s
PICKS = 160  # of each stream, pass and set: 4 tokens, 40 choices each
FORM_S = 0.6


def engine_spec():
    return {
        "slots": 12, "kv-capacity": 280000, "kv-token-bytes": 35136, "link-mbps": 44000.0, "stride": 4,
        "models": [{"name": "m"}], "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183,
        "read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512, "report_lag_ms": 200.0,
        "loads-per-s": 0.0, "loads_at_once": 8, "delays": [], "usual": {"prompt": 835, "answer": 97},
        "sets": SETS, "experts": EXPERTS, "places": PLACES, "spare": SPARE, "expert-mb": 2200.0,
        "expert-share": 0.85, "form_ms": 600.0,
    }


class Rank:
    def __init__(self, group, index, address, domain):
        self.group, self.index, self.address, self.domain = group, index, address, domain
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.map = (0, group.map0)
        self.prepared = None  # (version, map), once the copies are complete
        self.copying = None  # (version, map, end)
        self.highest = 0
        self.armed = None  # (version, step)
        self.held = None
        self.streams = []
        self.counts = [0] * (SETS * EXPERTS)
        self.seq = 0
        self.orders = 0

    def finish_copies(self):
        if self.copying and time.monotonic() >= self.copying[2]:
            self.prepared, self.copying = self.copying[:2], None

    def report(self):
        self.finish_copies()
        return {
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
            "seq": self.orders, "queued": 0, "running": len(self.streams), "kv-used": 0,
            "kv-total": 280000, "handles": 0, "pace": 1.0,
            "group": {"name": "g", "epoch": 1, "rank": self.index, "state": "open"},
            "size": len(self.group.ranks), "step": self.group.step, "map": self.map[0],
            "prepared": self.prepared[0] if self.prepared else None,
            "armed": {"version": self.armed[0], "step": self.armed[1]} if self.armed else None,
            "held": self.held,
        }

    def order(self, o):
        """Carries out an order; returns the status."""
        self.finish_copies()
        if o.get("epoch", 1) != 1:
            return 409
        op, step, version = o["op"], o.get("step"), o.get("version")
        if op == "prepare":
            if self.prepared and self.prepared[0] == version:
                return 200
            if self.copying and self.copying[0] == version:
                return 202
            if version <= self.highest or self.armed:
                return 409
            wanted = o["map"]
            new = [len(set(s[self.index]) - set(self.map[1][k][self.index])) for k, s in enumerate(wanted)]
            if max(new) > SPARE or max(len(s[self.index]) for s in wanted) > PLACES:
                return 409
            self.highest, self.prepared = version, None
            self.copying = (version, wanted, time.monotonic() + COPY_S * sum(new))
            self.orders += 1
            return 202
        if op == "arm":
            if self.armed == (version, step):
                return 200
            if step <= self.group.step or not self.prepared or self.prepared[0] != version:
                return 409
            self.armed = (version, step)
            self.orders += 1
            return 200
        if op == "hold":
            if self.held == step:
                return 200
            if step <= self.group.step or self.held is not None:
                return 409
            self.held = step
            self.orders += 1
            return 200
        if op == "go":
            if self.held == step:
                self.held = None
                self.orders += 1
                self.group.released.set()
            return 200
        return 400


class Group:
    """The ranks, which execute each pass together. `trouble` decides what goes wrong."""

    def __init__(self, addresses, domains, service, trouble, record):
        n = len(addresses)
        self.map0 = [[[e for e in range(EXPERTS) if e % n == r] for r in range(n)] for _ in range(SETS)]
        self.step, self.switches, self.broken = 0, 0, []
        self.service, self.trouble, self.record = service, trouble, record
        self.released = asyncio.Event()
        self.ranks = [Rank(self, i, a, domains[i % len(domains)]) for i, a in enumerate(addresses)]
        self.topic, self.popularity = None, None
        self.servers, self.tasks = [], []
        self.runs = {}

    async def start(self):
        for r in self.ranks:
            handler = lambda reader, writer, r=r: self.serve(r, reader, writer)
            self.servers.append(await asyncio.start_server(handler, *r.address))
        self.tasks.append(asyncio.ensure_future(self.passes()))

    def shift(self):
        """The content of requests changes, and with it the experts that are chosen."""
        topic = int(time.monotonic() / 3.5)
        if topic != self.topic:
            self.topic = topic
            order = [random.sample(range(EXPERTS), EXPERTS) for _ in range(SETS)]
            weights = [1.0 / (k + 2) ** 1.1 for k in range(EXPERTS)]
            total = sum(weights)
            self.popularity = []
            for s in range(SETS):
                share = [0.0] * EXPERTS
                for k, e in enumerate(order[s]):
                    share[e] = weights[k] / total
                self.popularity.append(share)

    async def passes(self):
        while True:
            if not any(r.streams for r in self.ranks):
                await asyncio.sleep(0.005)
                continue
            while any(r.held == self.step + 1 for r in self.ranks):
                self.released.clear()
                await self.released.wait()
            self.step += 1
            for r in self.ranks:
                r.finish_copies()
                if r.armed and r.armed[1] <= self.step:
                    r.map, r.prepared, r.armed = r.prepared, None, None
                    if r.index == 0:
                        self.switches += 1
                        self.record("pass", self.step, "rank 0 switches to map", r.map[0])
            first = self.ranks[0].map
            differing = [r.index for r in self.ranks if r.map != first]
            if differing:
                versions = [r.map[0] for r in self.ranks]
                if not self.broken:
                    self.record("RULE BROKEN: pass", self.step, "begins with maps", versions)
                self.broken.append(self.step)
            self.shift()
            slow = 1.15 if any(r.copying for r in self.ranks) else 1.0
            await asyncio.sleep(PASS_S * slow)
            for r in self.ranks:
                for stream in list(r.streams):
                    for s in range(SETS):
                        share = self.popularity[s]
                        base = s * EXPERTS
                        for e in range(EXPERTS):
                            r.counts[base + e] += round(PICKS * share[e] * 10) / 10
                    stream.put_nowait(self.step)

    def counters(self, r):
        return [int(c) for c in r.counts]

    async def serve(self, r, reader, writer):
        """One connection. `late` is an extra answer that arrives where the next one is expected."""
        late = None
        try:
            while True:
                got = await read_head(reader)
                if got is None:
                    return
                line, headers = got
                method, path, _ = line.split()
                body = await read_body(reader, headers)
                if late is not None:
                    self.record("rank", r.index, "sends the late extra answer before the answer to", method, path)
                    writer.write(late)
                    late = None
                if path == "/order":
                    o = json.loads(body)
                    words = {k: v for k, v in o.items() if k != "map"}
                    delay = self.trouble.late_order()
                    if delay:
                        self.record("rank", r.index, "leaves unanswered, carries out after", f"{delay:.1f} s", words)
                        asyncio.get_running_loop().call_later(delay, self.carry_out, r, o, words)
                        continue
                    status = r.order(o)
                    self.record("rank", r.index, "order", words, "->", status)
                    answer = self.answer(status, b"{}")
                elif path == "/report":
                    answer = self.answer(200, json.dumps(r.report()).encode())
                elif path.startswith("/picked?lists"):
                    experts = [s[r.index] for s in r.map[1]]
                    text = {"map": {"version": r.map[0], "experts": experts}, "prepared": None}
                    answer = self.answer(200, json.dumps(text).encode())
                elif path == "/picked":
                    text = {"step": self.step, "epoch": 1, "counts": self.counters(r)}
                    answer = self.answer(200, json.dumps(text).encode())
                elif method == "POST":
                    await self.stream(r, headers, writer)
                    continue
                else:
                    answer = self.answer(200, b"{}", {"Instance-Id": r.id})
                writer.write(answer)
                await writer.drain()
                if self.trouble.extra_answer(r.index):
                    late = answer
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def carry_out(self, r, o, words):
        status = r.order(o)
        self.record("rank", r.index, "carries out late", words, "->", status)

    @staticmethod
    def answer(status, body, headers=None):
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        for name, value in (headers or {}).items():
            head += f"{name}: {value}\r\n"
        return head.encode() + b"\r\n" + body

    async def stream(self, r, headers, writer):
        rid = headers.get("request-id", "")
        refuse = None
        if headers.get("expect-instance") not in (None, r.id):
            refuse = 421
        elif len(r.streams) >= 12:
            refuse = 503
        if refuse:
            writer.write(self.answer(refuse, b"{}", {"Request-Id": rid, "Not-Executed": "1"}))
            await writer.drain()
            return
        self.runs[rid] = self.runs.get(rid, 0) + 1
        after = int(headers.get("last-event-id", 0))
        events = asyncio.Queue()
        r.streams.append(events)
        try:
            head = (f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {rid}\r\n"
                    f"Response-Signature: s.{rid}\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(head.encode())
            for n in range(after + 1, 25):
                await events.get()
                event = f"id: {n}\ndata: {n} of 24\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            r.streams.remove(events)
