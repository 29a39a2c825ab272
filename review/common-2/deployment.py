"""Starts the project's own programs as separate processes, with the settings that the templates in
platform/ give them, and offers small HTTP stand-ins. Everything is on loopback addresses."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BIN = os.path.join(ROOT, "target", "release")


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.f = open(path, "w")
        self.started = time.monotonic()

    def __call__(self, *words):
        self.f.write(f"{time.monotonic() - self.started:9.3f} " + " ".join(map(str, words)) + "\n")
        self.f.flush()


def free_ports(ips, n):
    """Ports that are free on all of these addresses."""
    found = []
    while len(found) < n:
        port = random.randrange(20000, 32000)
        try:
            for ip in ips:
                with socket.socket() as s:
                    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    s.bind((ip, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


# Headers whose names are written as given; bodies have a length, or chunks, or end with the connection.
async def read_head(reader):
    """First line and headers (lower-case names, last value wins); None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, to_close=False):
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.read() if to_close else b""


async def call(address, method, path, body=b"", headers=None, timeout=1.0):
    """One call on a new connection; (status, headers, body), or None without a whole response."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
            for name, value in {"Content-Length": len(body), **(headers or {})}.items():
                head += f"{name}: {value}\r\n"
            writer.write(head.encode() + b"Connection: close\r\n\r\n" + body)
            await writer.drain()
            got = await read_head(reader)
            if got is None:
                return None
            line, answered = got
            return int(line.split()[1]), answered, await read_body(reader, answered, True)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None


class Deployment:
    """Control instances, gateways and rank agents, each on a loopback address of its own."""

    def __init__(self, net, controls=3, gateways=1, losses=1):
        self.net = net
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.control_ips = [f"127.{net}.1.{i + 1}" for i in range(controls)]
        self.gateway_ips = [f"127.{net}.2.{i + 1}" for i in range(gateways)]
        ips = self.control_ips + self.gateway_ips
        self.port, self.peer_port, self.admin_port, self.ready_port = free_ports(ips, 4)
        self.losses = losses
        self.domains = ["zone-a", "zone-b", "zone-c"]
        for name in ("control", "gateway", "rank"):
            if not os.access(os.path.join(BIN, f"crocustally-{name}"), os.X_OK):
                raise CannotRun(f"crocustally-{name} is not built")

    def seeds(self):
        return json.dumps([f"{ip}:{self.port}" for ip in self.control_ips[:3]])

    def write(self, name, text):
        path = os.path.join(self.folder, name + ".yaml")
        with open(path, "w") as f:
            f.write(text)
        return path

    def spawn(self, name, program, path):
        out = open(os.path.join(self.folder, name + ".log"), "a")
        args = [os.path.join(BIN, program), "--settings", path]
        self.processes[name] = subprocess.Popen(args, stdout=out, stderr=out, cwd=ROOT)

    def start_control(self, i, found=True):
        ip, domain = self.control_ips[i], self.domains[i % 3]
        data = os.path.join(self.folder, f"data-{i}")
        os.makedirs(data, exist_ok=True)
        path = self.write(f"control-{i}", f"""name: "control-{i}"
domain: "{domain}"
listen: "{ip}:{self.port}"
peer_listen: "{ip}:{self.peer_port}"
source: "{ip}"
seeds: {self.seeds()}
found: {json.dumps(found)}
losses: {self.losses}
catch_up_s: 4
data: "{data}"
memory_mb: 256
threads: 1
log: json
admin: {{ address: "{ip}:{self.admin_port}", open: true }}
""")
        self.spawn(f"control-{i}", "crocustally-control", path)

    def start_gateway(self, i, extra=""):
        ip, domain = self.gateway_ips[i], self.domains[i % 3]
        path = self.write(f"gateway-{i}", f"""name: "gateway-{i}"
domain: "{domain}"
listen: "{ip}:{self.port}"
ready_listen: "{ip}:{self.ready_port}"
source: "{ip}"
seeds: {self.seeds()}
control_port: {self.peer_port}
grace_s: 8
retry_ratio: 0.2
retry_span_s: 10
retry_slack: 88
cold_factor: 1.5
cold_slack: 5
memory_mb: 260
descriptors_max: 4200
threads: 1
log: json
admin: {{ address: "{ip}:{self.admin_port}", open: true }}
{extra}""")
        self.spawn(f"gateway-{i}", "crocustally-gateway", path)

    def start_rank(self, i, service, engine):
        path = self.write(f"rank-{i}", f"""name: "side-{i}"
service: "{service}"
engine: "{engine[0]}:{engine[1]}"
seeds: {self.seeds()}
control_port: {self.peer_port}
memory_mb: 128
threads: 1
log: json
""")
        self.spawn(f"rank-{i}", "crocustally-rank", path)

    def signal(self, name, number):
        """Sends a signal to a process that this deployment started."""
        self.processes[name].send_signal(number)

    def stop(self):
        for p in self.processes.values():
            if p.poll() is None:
                p.send_signal(signal.SIGKILL)
            p.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def controls(self):
        return [(ip, self.port) for ip in self.control_ips]

    async def to_control(self, method, path, body=b"", for_s=15.0, first=0):
        """A call of the operator or of a runner: one daemon after another, a second each."""
        until, i = time.monotonic() + for_s, first
        while time.monotonic() < until:
            got = await call(self.controls()[i % len(self.control_ips)], method, path, body)
            if got and got[0] < 500 and got[0] not in (408, 429):
                return got
            i += 1
            await asyncio.sleep(0.1)
        return None

    async def gateways_ready(self, for_s=15.0):
        until = time.monotonic() + for_s
        for ip in self.gateway_ips:
            while True:
                got = await call((ip, self.ready_port), "GET", "/ready")
                if got and got[0] == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"gateway {ip} is not ready")
                await asyncio.sleep(0.1)


def run_case(main):
    """Runs a case and exits with its result. Tasks of stand-ins that are still open end with the process."""

    async def run():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        try:
            code = await main()
        except CannotRun as e:
            print("cannot run:", e)
            code = 2
        except Exception as e:  # A fault of the case itself must not look like a broken rule.
            print("cannot run:", type(e).__name__, e)
            code = 2
        sys.stdout.flush()
        os._exit(code)

    asyncio.run(run())
