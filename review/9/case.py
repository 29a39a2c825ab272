"""DRAIN: a runner that has started again under its id leaves; the daemon that it tells knows only its earlier start."""

import asyncio
import json
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))

from deployment import CannotRun, Deployment, Record, call, free_ports, read_body, read_head, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0
DOWN_S = 3.0
LINGER_S = 8.0  # "a little longer (at times many seconds)"


class Runner:
    def __init__(self, i, address, zone, record):
        self.id, self.i, self.address, self.zone = f"i-{random.getrandbits(40):010x}", i, address, zone
        self.record, self.server, self.left, self.late, self.runs = record, None, None, [], 0
        self.control, self.beating, self.writers = 0, None, set()

    async def start(self):
        self.born, self.seq = int(time.time() * 1000), 0
        self.server = await asyncio.start_server(self.serve, *self.address)

    def beat_to(self, d, control):
        self.control = control
        if self.beating is None:
            self.beating = asyncio.ensure_future(self.beat(d))

    async def crash(self):
        """Ends; what it still runs is cut off."""
        if self.beating:
            self.beating.cancel()
        self.beating = None
        self.server.close()
        for w in list(self.writers):
            w.transport.abort()

    async def beat(self, d):
        while True:
            self.seq += 1
            text = {"service": "portal", "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1", "slots": 6,
                    "state": "ready", "cold-remaining-ms": 0, "seq": self.seq, "born": self.born}
            path = f"/instances/{self.id}/heartbeat"
            got = await call(d.controls()[self.control], "POST", path, json.dumps(text).encode())
            self.record("runner", self.i, "heartbeat", self.seq, "to control", self.control, "->", got and got[0])
            await asyncio.sleep(1.2)

    async def leave(self, d, control):
        self.beating.cancel()
        text = json.dumps({"born": self.born}).encode()
        got = await call(d.controls()[control], "POST", f"/instances/{self.id}/leave", text)
        self.record("runner", self.i, "leave to control", control, "->", got and got[0])
        if not got or got[0] != 200:
            raise CannotRun("the leave was not acknowledged")
        self.left = time.monotonic()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                got = await read_head(reader)
                if got is None:
                    return
                _, headers = got
                await read_body(reader, headers)
                rid = headers.get("request-id", "")
                if headers.get("expect-instance") != self.id:
                    writer.write(f"HTTP/1.1 421 X\r\nRequest-Id: {rid}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                self.runs += 1
                if self.left and time.monotonic() - self.left > DRAIN_S:
                    self.late.append(time.monotonic() - self.left)
                    self.record("RULE BROKEN: request", rid, "reaches runner", self.i, f"{self.late[-1]:.3f} s after the acknowledgement")
                self.record("runner", self.i, "runs", rid)
                await asyncio.sleep(random.uniform(0.03, 0.09))
                writer.write(f"HTTP/1.1 200 OK\r\nRequest-Id: {rid}\r\nResponse-Signature: s.{rid}\r\n"
                             "Content-Length: 800\r\n\r\n".encode() + b"x" * 800)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def request(d, record, stats):
    rid = f"{random.getrandbits(64):016x}"
    ip = random.choice(d.gateway_ips)
    headers = {"Request-Id": rid, "Deadline-Ms": 4000}
    got = await call((ip, d.port), "POST", "/certificates/1", b"b" * 600, headers, 4.5)
    status = got[0] if got else "none"
    stats[status] = stats.get(status, 0) + 1
    record("request", rid, "to", ip, "->", status)


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    net = random.randrange(20, 200)
    d = Deployment(net, gateways=2)
    try:
        ips = [f"127.{net}.3.{i + 1}" for i in range(6)]
        port = free_ports(ips, 1)[0]
        runners = [Runner(i, (ip, port), d.domains[i % 3], record) for i, ip in enumerate(ips)]
        for i in range(3):
            d.start_control(i)
        for i in range(2):
            d.start_gateway(i)
        routes = [{"name": f"cert-{i}", "host": ip, "path-prefix": "/certificates/", "kind": "unsafe", "timeout-ms": 2000,
                   "target-latency-ms": 300, "priority": 2, "service": "portal", "attempts": 1, "public": True}
                  for i, ip in enumerate(d.gateway_ips)]
        policy = {"version": 3, "routes": routes, "services": [{"name": "portal", "health-path": "/health", "max-conns": 96,
                  "protocol": "h1", "tls": False, "warmup-s": 0.0, "cold-per-s": 0.0}],
                  "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                             "idle-timeout-ms": 15000}, "tenants": []}
        got = await d.to_control("POST", "/config/put", json.dumps(policy).encode())
        if not got or got[0] != 200:
            raise CannotRun("the configuration was not acknowledged")
        await d.gateways_ready()
        stats, tasks = {}, []
        for r in runners:
            await r.start()
            r.beat_to(d, 0)
        await asyncio.sleep(4)

        async def traffic():
            while True:
                tasks.append(asyncio.ensure_future(request(d, record, stats)))
                await asyncio.sleep(random.expovariate(20))

        tasks.append(asyncio.ensure_future(traffic()))
        leaver = runners[0]
        await asyncio.sleep(3)
        if TROUBLE:
            record("runner 0 crashes")
            await leaver.crash()
            await asyncio.sleep(DOWN_S)
            record("runner 0 starts again under its id")
            await leaver.start()
        # From now on it reports to another daemon.
        leaver.beat_to(d, 1)
        await asyncio.sleep(5)
        await leaver.leave(d, 0)
        await asyncio.sleep(LINGER_S)
        record("runner 0 exits")
        await leaver.crash()
        await asyncio.sleep(2)
        record("answers", stats, "runs", [r.runs for r in runners], "late", len(leaver.late))
        print("answers", stats, "runs", [r.runs for r in runners], "reached the runner that had left:", len(leaver.late))
        if leaver.runs == 0 or not stats.get(200):
            raise CannotRun("no request was served")
        return 1 if leaver.late else 0
    finally:
        d.stop()


run_case(main)
