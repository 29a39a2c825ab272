"""Stand-ins for the platform, the operator, runners and clients of a small deployment.

Every machine has a loopback address of its own; ports are the same on all machines. Processes are
started with the commands of deploy/system.toml and the templates in platform/, filled in as DEPLOY.md
describes.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FRONT, READY, CONTROL, APP, INTERNAL = 8227, 8220, 8229, 8122, (7340, 7355)
ZONES = ["zone-a", "zone-b", "zone-c"]


class Record:
    """Writes record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:9.3f} {text}\n")
            self.file.flush()


def render(template, fields):
    """Fills in the placeholders and sections that the templates in platform/ use."""

    def value(name):
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(m):
        found = value(m[2])
        if m[1] == "^":
            return m[3] if not found else ""
        if isinstance(found, list):
            last = len(found) - 1
            return "".join(
                m[3].replace("{{.}}", str(v)).replace("{{,}}", "," if i < last else "")
                for i, v in enumerate(found)
            )
        return m[3] if found else ""

    text = re.sub(r"{{([#^])([\w.-]+)}}(.*?){{/\2}}", section, template, flags=re.S)
    plain = lambda v: "" if v is None else str(v)
    return re.sub(r"{{([\w.-]+)}}", lambda m: plain(value(m[1])), text)


class Deployment:
    """The platform: machines with one process each."""

    ROLES = {"control": "crocustally-control", "gateway": "crocustally-gateway", "rank": "crocustally-rank"}

    def __init__(self, record):
        self.record = record
        self.temp = tempfile.mkdtemp(prefix="crocustally-review-")
        while True:
            self.net = f"127.{random.randint(64, 220)}"
            try:
                with socket.socket() as s:
                    s.bind((f"{self.net}.1.1", CONTROL))
                break
            except OSError:
                continue
        self.seeds = []
        self.procs = {}
        self.fields = {}
        self.lock = threading.Lock()
        # A script that is stopped still ends its processes.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    def ip(self, role, i):
        return f"{self.net}.{ {'control': 1, 'gateway': 2, 'rank': 3, 'runner': 4}[role] }.{i}"

    def machine(self, role, i, memory_mb, bootstrap=True, seeds=None, **more):
        """Describes the machine and starts its process."""
        name, ip = f"{role}-{i}", self.ip(role, i)
        data = os.path.join(self.temp, name, "data")
        os.makedirs(data, exist_ok=True)
        self.fields[name] = {
            "node": name, "ip": ip, "zone": ZONES[(i - 1) % 3], "bootstrap": bootstrap,
            "seeds": seeds or self.seeds, "internal-port-range": list(INTERNAL), "data-dir": data,
            "listen": {"front": f"{ip}:{FRONT}", "ready": f"{ip}:{READY}", "control": f"{ip}:{CONTROL}"},
            "fault-tolerance": {"machines": 1}, "limits": {"memory-mb": memory_mb},
            "bounds": {"grace-s": 8, "retry-budget-ratio": 0.2, "budget-window-s": 10,
                       "budget-slack": 88, "cold-multiplier": 1.5, "cold-slack": 5},
            **more,
        }
        self.start(name)
        return name

    def write_settings(self, name):
        with open(os.path.join(ROOT, "platform", f"{name.split('-')[0]}.yaml")) as f:
            text = render(f.read(), self.fields[name])
        path = os.path.join(self.temp, name, "boot.conf")
        with open(path + ".new", "w") as f:
            f.write(text)
        os.rename(path + ".new", path)
        return path

    def start(self, name):
        role = name.split("-")[0]
        folder = os.path.join(self.temp, name)
        path = self.write_settings(name)
        log = open(os.path.join(folder, "log"), "a")
        program = os.path.join(ROOT, "target/release", self.ROLES[role])
        proc = subprocess.Popen([program, "--settings", path], stdout=log, stderr=log, cwd=ROOT,
                                env={"PATH": os.environ.get("PATH", ""), "HOME": folder})
        log.close()
        with self.lock:
            self.procs[name] = proc
        self.record(f"{name}: process {proc.pid} started")

    def settings(self, name, seeds):
        """Changes the seeds in the settings file of a running process, which reads it again."""
        self.fields[name]["seeds"] = seeds
        self.write_settings(name)
        self.signal(name, signal.SIGHUP)

    def signal(self, name, sig):
        self.record(f"{name}: {signal.Signals(sig).name}")
        self.procs[name].send_signal(sig)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.procs[name].wait()

    def restart(self, name, bootstrap=False):
        self.fields[name]["bootstrap"] = bootstrap
        self.start(name)

    def wipe(self, name):
        """The machine has lost its disk."""
        self.record(f"{name}: disk lost")
        shutil.rmtree(self.fields[name]["data-dir"])
        os.makedirs(self.fields[name]["data-dir"])

    def core(self, count):
        self.seeds = [f"{self.ip('control', i)}:{CONTROL}" for i in range(1, count + 1)]
        for i in range(1, count + 1):
            self.machine("control", i, 256)

    def controls(self):
        return [(f["ip"], CONTROL) for n, f in self.fields.items() if n.startswith("control")]

    def stop(self):
        for proc in list(self.procs.values()):
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
        for proc in list(self.procs.values()):
            proc.wait()
        shutil.rmtree(self.temp, ignore_errors=True)


def call(address, method, path, body=b"", timeout=1.0):
    """One call with a connection of its own; returns status and body, or None without an answer."""
    conn = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        conn.request(method, path, body, {"Content-Type": "application/json"})
        response = conn.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        conn.close()


class Operator:
    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record

    def send(self, method, path, body=b"", limit=4.0, label=""):
        """Sends a call, again to another machine where one fails; returns the answer to the last one."""
        end, pause, last = time.monotonic() + limit, 0.1, None
        controls = self.deployment.controls()
        random.shuffle(controls)
        while True:
            for address in controls:
                last = call(address, method, path, body)
                status = last[0] if last else None
                self.record(f"operator: {method} {path} {label} at {address[0]}: {status}")
                if last and (status == 200 or status in (400, 409, 412, 413, 422)):
                    return last
                if time.monotonic() > end:
                    return last
                time.sleep(pause)
                pause = min(pause * 1.5, 1.0)

    def put(self, cfg, limit=4.0):
        return self.send("POST", "/config/put", json.dumps(cfg).encode(), limit, f"version {cfg['version']}")


class Heart:
    """Sends a runner's heartbeats, each to a control machine picked at random."""

    def __init__(self, deployment, record, ident, service, address, zone, slots=12):
        self.deployment, self.record = deployment, record
        self.ident, self.service, self.address, self.zone, self.slots = ident, service, address, zone, slots
        self.born, self.seq, self.state = int(time.time() * 1000), 0, "ready"
        self.running, self.acked = True, 0
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def beat(self):
        self.seq += 1
        body = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "cold-remaining-ms": 0, "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}], "seq": self.seq, "born": self.born}
        return self.send("heartbeat", body)

    def send(self, what, body):
        controls = self.deployment.controls()
        random.shuffle(controls)
        for address in controls:
            answer = call(address, "POST", f"/instances/{self.ident}/{what}", json.dumps(body).encode())
            if answer and answer[0] == 200:
                self.acked += 1
                return address
        return None

    def run(self):
        while self.running:
            self.beat()
            time.sleep(1.2)


class PlainRunner:
    """A sound runner of a plain service."""

    def __init__(self, deployment, record, i, service, slots=6, ident=None):
        self.record, self.ident, self.ran, self.conns = record, ident or f"i-{i}", [], set()
        ip = deployment.ip("runner", i)
        self.listener = socket.create_server((ip, APP), backlog=256)
        threading.Thread(target=self.accept, daemon=True).start()
        self.heart = Heart(deployment, record, self.ident, service, f"{ip}:{APP}", ZONES[(i - 1) % 3], slots)

    def stop(self):
        """The runner crashes: its connections end, and it sends no more heartbeats."""
        self.record(f"runner {self.ident}: crashes")
        self.heart.running = False
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for conn in list(self.conns):
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.heart.thread.join()

    def accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            self.conns.add(conn)
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        f = conn.makefile("rb")
        try:
            while True:
                line = f.readline()
                if not line:
                    return
                headers = {}
                while True:
                    text = f.readline().strip()
                    if not text:
                        break
                    name, value = text.decode().split(":", 1)
                    headers[name.lower()] = value.strip()
                f.read(int(headers.get("content-length", "0")))
                self.answer(conn, headers)
        except OSError:
            pass
        finally:
            self.conns.discard(conn)
            conn.close()

    def answer(self, conn, headers):
        ident = headers.get("request-id", "")
        if headers.get("expect-instance", self.ident) != self.ident:
            head = f"HTTP/1.1 421 Misdirected\r\nRequest-Id: {ident}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            conn.sendall(head.encode())
            return
        self.ran.append(ident)
        self.record(f"runner {self.ident}: runs {ident}")
        time.sleep(0.06)
        body = b"x" * 800
        conn.sendall(f"{self.head(ident, len(body))}\r\n".encode() + body)

    def head(self, ident, length):
        return (f"HTTP/1.1 200 OK\r\nRequest-Id: {ident}\r\nResponse-Signature: {self.ident}.{ident}\r\n"
                f"Instance-Id: {self.ident}\r\nContent-Length: {length}\r\n")


def request(address, host, path, deadline_ms, method="GET"):
    """One request of a client with a connection of its own; returns its id and the status, or None."""
    ident = f"{random.getrandbits(64):016x}"
    conn = http.client.HTTPConnection(*address, timeout=deadline_ms / 1000 + 1)
    try:
        conn.request(method, path, None, {"Host": host, "Request-Id": ident, "Deadline-Ms": str(deadline_ms)})
        response = conn.getresponse()
        response.read()
        return ident, response.status
    except (OSError, http.client.HTTPException):
        return ident, None
    finally:
        conn.close()


def plain_config(version):
    """A configuration with one route to one plain service."""
    return {"version": version,
            "routes": [{"name": "r1", "host": "a.example", "path-prefix": "/a/", "kind": "safe",
                        "timeout-ms": 2000, "target-latency-ms": 300, "priority": 1, "service": "portal",
                        "attempts": 2, "public": True}],
            "services": [{"name": "portal", "health-path": "/health", "max-conns": 96, "protocol": "h1",
                          "tls": False, "warmup-s": 0.0, "cold-per-s": 0.0}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}}
