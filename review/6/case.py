"""LOST: gateways are stopped and started in turn while callers use a new connection for each request."""

import asyncio
import json
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))

from deployment import CannotRun, Deployment, Record, call, free_ports, read_body, read_head, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LENGTH_S = 85
GATEWAYS = 4
RUNNERS = 3
REQUESTS_PER_S = 60.0  # of all callers; the sheet has 63.8
GRACE_S = 8.0


class Runner:
    """A sound runner of the portal: 6 slots, about 60 ms of work."""

    def __init__(self, i, address, zone, record, ran):
        self.id = f"i-{random.getrandbits(40):010x}"
        self.i, self.address, self.zone, self.record, self.ran = i, address, zone, record, ran
        self.born, self.seq, self.running = int(time.time() * 1000), 0, 0

    async def serve(self, reader, writer):
        try:
            while True:
                got = await read_head(reader)
                if got is None:
                    return
                _, headers = got
                await read_body(reader, headers)
                rid = headers.get("request-id", "")
                refuse = 421 if headers.get("expect-instance") != self.id else 503 if self.running >= 6 else None
                if refuse:
                    writer.write(f"HTTP/1.1 {refuse} X\r\nRequest-Id: {rid}\r\nNot-Executed: 1\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                    continue
                self.ran.setdefault(rid, []).append(self.i)
                self.record("runner", self.i, "runs", rid)
                self.running += 1
                await asyncio.sleep(random.uniform(0.03, 0.09))
                self.running -= 1
                self.record("runner", self.i, "answers", rid)
                writer.write(f"HTTP/1.1 200 OK\r\nRequest-Id: {rid}\r\nResponse-Signature: s.{rid}\r\n"
                             "Content-Length: 800\r\n\r\n".encode() + b"x" * 800)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            self.record("runner", self.i, "sees its connection close")
        finally:
            writer.close()

    async def beat(self, d):
        while True:
            self.seq += 1
            text = {"service": "portal", "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1",
                    "slots": 6, "state": "ready", "cold-remaining-ms": 0, "seq": self.seq, "born": self.born}
            await d.to_control("POST", f"/instances/{self.id}/heartbeat", json.dumps(text).encode(), 1.0, self.i)
            await asyncio.sleep(1.2)


class Platform:
    """Asks each gateway once a second whether it is ready; after two misses it gets no new connection."""

    def __init__(self, d):
        self.d, self.misses = d, [0] * GATEWAYS

    async def watch(self, i):
        while True:
            got = await call((self.d.gateway_ips[i], self.d.ready_port), "GET", "/ready", timeout=1.0)
            self.misses[i] = 0 if got and got[0] == 200 else self.misses[i] + 1
            await asyncio.sleep(1.0)

    def choose(self):
        rotation = [i for i in range(GATEWAYS) if self.misses[i] < 2] or list(range(GATEWAYS))
        return random.choice(rotation)


async def request(d, platform, record, stats, stopped, ran):
    """One attempt of a caller, on a new connection. It is not repeated."""
    rid, g = f"{random.getrandbits(64):016x}", platform.choose()
    stats["sent"] += 1
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(d.gateway_ips[g], d.port), 1)
    except (OSError, asyncio.TimeoutError):
        stats["not connected"] += 1
        return
    sent = time.monotonic()
    try:
        writer.write((f"POST /certificates/1 HTTP/1.1\r\nHost: portal.example\r\nRequest-Id: {rid}\r\n"
                      "Deadline-Ms: 4000\r\nContent-Length: 600\r\n\r\n").encode() + b"b" * 600)
        record("request", rid, "sent to gateway", g)
        try:
            got = await asyncio.wait_for(read_head(reader), 5)
            body = await asyncio.wait_for(read_body(reader, got[1]), 5) if got else None
        except (ConnectionError, asyncio.IncompleteReadError):
            got = None
        if got:
            status = got[0].split()[1]
            stats[status] = stats.get(status, 0) + 1
            record("request", rid, "answered", status, len(body), "bytes")
            return
        after = f"{sent - stopped[g]:.3f} s after SIGTERM" if stopped[g] else "in calm"
        record("request", rid, "connection ended without an answer; sent", after,
               "and passed on to a runner" if rid in ran else "and not passed on")
        if rid in ran and (stopped[g] is None or time.monotonic() - stopped[g] <= GRACE_S + 1):
            stats["lost"] += 1
            record("RULE BROKEN: request", rid, "was passed on, and its connection ended without an answer")
        else:
            stats["closed unread"] += 1
    except asyncio.TimeoutError:
        stats["no answer in time"] = stats.get("no answer in time", 0) + 1
        record("request", rid, "has no answer in time")
    finally:
        writer.close()


async def roll(d, record, stopped):
    """Stops and starts the gateways, one at a time."""
    count = 0
    while True:
        g = count % GATEWAYS
        name, count = f"gateway-{g}", count + 1
        stopped[g] = time.monotonic()
        record("SIGTERM to", name)
        d.signal(name, signal.SIGTERM)
        while d.processes[name].poll() is None:
            if time.monotonic() - stopped[g] > GRACE_S:
                d.signal(name, signal.SIGKILL)
            await asyncio.sleep(0.01)
        record(name, "ended", f"{time.monotonic() - stopped[g]:.3f} s after SIGTERM")
        await asyncio.sleep(0.3)
        d.start_gateway(g)
        await d.gateways_ready()
        await asyncio.sleep(1.2)


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    net = random.randrange(20, 200)
    d = Deployment(net, gateways=GATEWAYS)
    try:
        ran, stopped = {}, [None] * GATEWAYS
        ips = [f"127.{net}.3.{i + 1}" for i in range(RUNNERS)]
        port = free_ports(ips, 1)[0]
        runners = [Runner(i, (ip, port), d.domains[i], record, ran) for i, ip in enumerate(ips)]
        for r in runners:
            await asyncio.start_server(r.serve, *r.address)
        for i in range(3):
            d.start_control(i)
        for i in range(GATEWAYS):
            d.start_gateway(i)
        route = {"name": "cert-issue", "host": "portal.example", "path-prefix": "/certificates/", "kind": "unsafe",
                 "timeout-ms": 2000, "target-latency-ms": 300, "priority": 2, "service": "portal", "attempts": 1,
                 "public": True}
        policy = {"version": 3, "routes": [route], "services": [{"name": "portal", "health-path": "/health",
                  "max-conns": 96, "protocol": "h1", "tls": False, "warmup-s": 0.0, "cold-per-s": 0.0}],
                  "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                             "idle-timeout-ms": 15000}, "tenants": []}
        got = await d.to_control("POST", "/config/put", json.dumps(policy).encode())
        if not got or got[0] != 200:
            raise CannotRun("the configuration was not acknowledged")
        platform = Platform(d)
        tasks = [asyncio.ensure_future(r.beat(d)) for r in runners]
        await d.gateways_ready()
        tasks += [asyncio.ensure_future(platform.watch(i)) for i in range(GATEWAYS)]
        await asyncio.sleep(3)
        stats = {"sent": 0, "lost": 0, "not connected": 0, "closed unread": 0}
        until = time.monotonic() + LENGTH_S
        if TROUBLE:
            asyncio.get_running_loop().call_later(3, lambda: tasks.append(asyncio.ensure_future(roll(d, record, stopped))))
        while time.monotonic() < until:
            asyncio.ensure_future(request(d, platform, record, stats, stopped, ran))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
        await asyncio.sleep(5)
        record("answers", stats)
        print(stats)
        if stats.get("200", 0) < stats["sent"] / 2:
            raise CannotRun("less than half of the requests were served")
        return 1 if stats["lost"] else 0
    finally:
        d.stop()


run_case(main)
