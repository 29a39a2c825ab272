"""A small deployment of the project's own programs on loopback addresses, with stand-ins around it.

Three control processes, some gateways and some runners in three zones; an operator that sends the
configuration, and clients. What was sent, answered and run goes to `record.txt` beside the case.
"""
import asyncio
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = ROOT / "target" / "release"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["zone-a", "zone-b", "zone-c"]
# Bounds of the site asbkun-hq.
CONTACT_S = 3.0
PEER_PORT, ADMIN_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT, APP_PORT = 7340, 7341, 8229, 8227, 8220, 8463


class CannotRun(Exception):
    """The case could not be brought about."""


class Lab:
    def __init__(self, case, gateways, runners, runner_settings, same_ids=False, back_s=4.0, always=None):
        self.folder = pathlib.Path(case).resolve().parent
        self.tmp = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self.net = self._free_net()
        self.controls = [f"127.{self.net}.1.{i + 1}" for i in range(3)]
        self.fronts = [f"127.{self.net}.2.{i + 1}" for i in range(gateways)]
        self.runner_count = runners
        self.runner_settings = runner_settings
        # Settings of the runners that hold without the disruption too.
        self.always = always or {}
        self.same_ids, self.back_s = same_ids, back_s
        self.log = self.tmp / "runners.log"
        self.log.touch()
        self.processes = {}
        self.runners = {}
        self.incarnations = 0
        self.lines = []
        self.started_at = time.monotonic()
        self.tasks = []

    @staticmethod
    def _free_net():
        for _ in range(50):
            net = random.randrange(16, 250)
            try:
                for ip in (f"127.{net}.1.1", f"127.{net}.2.1", f"127.{net}.3.1"):
                    for port in (PEER_PORT, ADMIN_PORT, CONTROL_PORT, FRONT_PORT, APP_PORT):
                        with socket.socket() as s:
                            s.bind((ip, port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def note(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.lines.append((at, text))

    # The project's own programs, with the settings that the templates in `platform/` give.

    def start_control(self, i, found):
        ip = self.controls[i]
        seeds = ", ".join(f'"{c}:{CONTROL_PORT}"' for c in self.controls)
        self._start(f"control-{i}", "crocustally-control", f"""name: "core-{i}"
domain: "{ZONES[i % 3]}"
listen: "{ip}:{CONTROL_PORT}"
peer_listen: "{ip}:{PEER_PORT}"
seeds: [{seeds}]
found: {str(found).lower()}
losses: 1
catch_up_s: 4
data: "{self.tmp}/data-{i}"
memory_mb: 256
threads: 1
log: json
admin: {{ address: "{ip}:{ADMIN_PORT}", open: true }}
""")

    def start_gateway(self, i):
        ip = self.fronts[i]
        seeds = ", ".join(f'"{c}:{CONTROL_PORT}"' for c in self.controls)
        self._start(f"gateway-{i}", "crocustally-gateway", f"""name: "front-{i}"
domain: "{ZONES[i % 3]}"
listen: "{ip}:{FRONT_PORT}"
ready_listen: "{ip}:{READY_PORT}"
seeds: [{seeds}]
control_port: {PEER_PORT}
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
admin: {{ address: "{ip}:{ADMIN_PORT}", open: true }}
""")

    def _start(self, name, program, settings):
        path = self.tmp / f"{name}.yaml"
        path.write_text(settings)
        out = open(self.tmp / f"{name}.log", "ab")
        command = [str(BIN / program), "--settings", str(path)]
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, stdout=out, stderr=out)
        out.close()

    def terminate(self, name):
        """SIGTERM, as for planned work."""
        self.processes[name].send_signal(signal.SIGTERM)
        self.note(f"SIGTERM: {name}")

    def kill(self, names):
        """SIGKILL to processes that this case started, all at the same moment."""
        for name in names:
            self.processes[name].send_signal(signal.SIGKILL)
        for name in names:
            self.processes[name].wait()
        self.note(f"killed: {', '.join(names)}")

    # Runners. One that has ended comes back after some seconds.

    def start_runner(self, place):
        self.incarnations += 1
        number = place if self.same_ids else self.incarnations
        cfg = {
            "id": f"i-{number:08x}", "place": place, "ip": f"127.{self.net}.3.{place + 1}",
            "port": APP_PORT, "zone": ZONES[place % 3], "log": str(self.log),
            "controls": [f"{c}:{CONTROL_PORT}" for c in self.controls[place % 3:] + self.controls[:place % 3]],
            **self.runner_settings}
        if not TROUBLE:
            cfg.pop("crash_part", None)
            cfg.pop("crash_path", None)
            cfg.pop("fail_share", None)
        elif place not in cfg.pop("fail_places", [place]):
            cfg.pop("fail_share", None)
        cfg.update(self.always)
        program = pathlib.Path(__file__).with_name("runner.py")
        self.runners[place] = subprocess.Popen([sys.executable, str(program), json.dumps(cfg)])

    async def supervise(self):
        ended = {}
        while True:
            for place, process in list(self.runners.items()):
                if process.poll() is not None:
                    at = ended.setdefault(place, time.monotonic())
                    if time.monotonic() - at >= self.back_s:
                        del ended[place]
                        self.start_runner(place)
            await asyncio.sleep(0.02)

    # The operator.

    def call(self, method, path, body=None):
        for control in self.controls:
            try:
                conn = http.client.HTTPConnection(control, CONTROL_PORT, timeout=3)
                conn.request(method, path, body, {"Content-Type": "application/json"})
                response = conn.getresponse()
                text = response.read()
                conn.close()
                if response.status // 100 == 2:
                    return response.status, text
            except OSError:
                pass
        return 0, b""

    async def begin(self, config):
        """Starts everything and waits until each gateway takes requests."""
        if not all((BIN / p).exists() for p in ("crocustally-control", "crocustally-gateway")):
            raise CannotRun("the build of the deploy file is missing")
        for i in range(3):
            self.start_control(i, True)
        for i in range(len(self.fronts)):
            self.start_gateway(i)
        end = time.monotonic() + 20
        while self.call("POST", "/config/put", json.dumps(config))[0] != 200:
            if time.monotonic() > end:
                raise CannotRun("the configuration was not acknowledged")
            await asyncio.sleep(0.2)
        self.note("configuration acknowledged")
        for place in range(self.runner_count):
            self.start_runner(place)
        self.tasks.append(asyncio.create_task(self.supervise()))
        await self.ready(20)
        await asyncio.sleep(CONTACT_S)

    async def ready(self, time_limit):
        end = time.monotonic() + time_limit
        for ip in self.fronts:
            while True:
                try:
                    conn = http.client.HTTPConnection(ip, READY_PORT, timeout=1)
                    conn.request("GET", "/ready")
                    if conn.getresponse().status == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > end:
                    raise CannotRun("a gateway does not get ready")
                await asyncio.sleep(0.1)

    # A client's attempt on a new connection.

    async def send(self, front, request, method, path, fields, body=b"", deadline_s=8.0):
        """Returns the status, or 0 without one, and whether the answer came whole."""
        sent_at = time.monotonic()
        status, whole = 0, False

        async def attempt():
            nonlocal status, whole
            reader, writer = await asyncio.open_connection(self.fronts[front], FRONT_PORT)
            try:
                head = [f"{method} {path} HTTP/1.1", "Host: app.example", f"Request-Id: {request}",
                        f"Deadline-Ms: {int(deadline_s * 1000)}", "Authorization: Bearer key-one",
                        f"Content-Length: {len(body)}"] + [f"{k}: {v}" for k, v in fields.items()]
                writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
                await writer.drain()
                lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                status = int(lines[0].split(" ")[1])
                got = {l.split(":", 1)[0].lower(): l.split(":", 1)[1].strip() for l in lines[1:] if ":" in l}
                if got.get("transfer-encoding") == "chunked":
                    while True:
                        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                        await reader.readexactly(size + 2)
                        if size == 0:
                            break
                else:
                    await reader.readexactly(int(got.get("content-length", 0)))
                whole = True
            finally:
                writer.close()

        try:
            await asyncio.wait_for(attempt(), deadline_s)
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, OSError, ValueError):
            pass
        self.note(f"request {request} by front-{front}: status {status}, {'whole' if whole else 'not whole'},"
                  f" {time.monotonic() - sent_at:.2f} s", sent_at)
        return status, whole, sent_at

    def seen(self):
        """What the runners have seen, in order."""
        out = []
        for line in self.log.read_text().splitlines():
            try:
                out.append(json.loads(line))
            except ValueError:
                pass
        return sorted(out, key=lambda e: e["t"])

    def lost(self, sent):
        """Sound requests that a runner was at work on when it crashed, and that ended without a whole answer."""
        seen = self.seen()
        crashed = {e["runner"] for e in seen if e["event"] == "crashes"}
        answered = {(e["request"], e["runner"]) for e in seen if e["event"] == "answered"}
        begun = {(e["request"], e["runner"]) for e in seen if e["event"] == "arrives"}
        cut = {request for request, runner in begun - answered if runner in crashed}
        return sum(1 for request, (crashing, status, whole, *_) in sent.items() if not crashing
                   and request in cut and status not in (408, 429, 503) and not (status == 200 and whole))

    def finish(self, verdict):
        for task in self.tasks:
            task.cancel()
        for process in list(self.processes.values()) + list(self.runners.values()):
            if process.poll() is None:
                process.kill()
        for process in list(self.processes.values()) + list(self.runners.values()):
            process.wait()
        for e in self.seen():
            text = {k: v for k, v in e.items() if k not in ("t", "event", "runner", "place")}
            self.lines.append((e["t"], f"runner {e['runner']} at place {e['place']} {e['event']} {text or ''}"))
        with open(self.folder / "record.txt", "w") as f:
            for at, text in sorted(self.lines, key=lambda l: l[0]):
                f.write(f"{at - self.started_at:8.3f} {text}\n")
            f.write(f"trouble: {TROUBLE}\n{verdict}\n")
        print(verdict)
        if os.environ.get("KEEP"):
            print(self.tmp)
        else:
            shutil.rmtree(self.tmp, ignore_errors=True)


def config(routes, services):
    return {
        "version": 7, "routes": routes, "services": services,
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "tenants": [{"name": "tenant-one", "api-keys": ["key-one"], "priority": 1}]}


def stream_route(service, aim_ms=500, gap_ms=120):
    return {"name": "r-stream", "host": "app.example", "path-prefix": "/chat/", "kind": "stream",
            "timeout-ms": 8000, "target-latency-ms": aim_ms, "priority": 1, "service": service, "attempts": 2,
            "public": False, "sticky": True, "resumable": True, "target-gap-ms": gap_ms}


def safe_route(service):
    return {"name": "r-safe", "host": "app.example", "path-prefix": "/lookup/", "kind": "safe",
            "timeout-ms": 2000, "target-latency-ms": 300, "priority": 2, "service": service, "attempts": 2,
            "public": False}


def unsafe_route(service):
    return {**safe_route(service), "name": "r-unsafe", "path-prefix": "/order/", "kind": "unsafe", "attempts": 1}


def service(name, conns):
    return {"name": name, "health-path": "/health", "max-conns": conns, "protocol": "h1", "tls": False,
            "warmup-s": 0.0, "cold-per-s": 0.0}


def run(case, lab, body):
    """Runs `body`, which returns whether the rule held and a line on what was seen."""
    code = 2
    verdict = "could not run"
    try:
        held, verdict = asyncio.run(body(lab))
        code = 0 if held else 1
        verdict = f"{'held' if held else 'BROKEN'}: {verdict}"
    except CannotRun as e:
        verdict = f"could not run: {e}"
    except Exception as e:  # The processes have to be ended in any case.
        verdict = f"could not run: {type(e).__name__}: {e}"
    finally:
        lab.finish(verdict)
    sys.exit(code)
