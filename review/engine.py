"""A stand-in for a runner that is a rank of an idle group: its reports, its counters and its experts."""

import json
import socket
import threading

from standin import APP


class Engine:
    """Serves the calls of the process beside it; subclasses overwrite `answer` to be in trouble."""

    def __init__(self, record, ip, rank, ranks, sets, experts):
        self.record, self.rank, self.ranks, self.sets, self.experts = record, rank, ranks, sets, experts
        self.answers = 0
        self.listener = socket.create_server((ip, APP), backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            conn, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        with conn:
            try:
                buf = b""
                while True:
                    while b"\r\n\r\n" not in buf:
                        got = conn.recv(65536)
                        if not got:
                            return
                        buf += got
                    head, buf = buf.split(b"\r\n\r\n", 1)
                    self.answers += 1
                    self.answer(conn, head.split(b" ")[1].decode())
            except OSError:
                pass

    def body(self, path):
        if path == "/report":
            out = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                   "seq": 0, "queued": 0, "running": 0, "kv-used": 0, "kv-total": 280000, "handles": 0,
                   "group": {"name": "g0", "epoch": 1, "rank": self.rank, "state": "open"},
                   "size": self.ranks, "step": 1, "map": 0, "pace": 1.0}
        elif path.startswith("/picked?lists"):
            held = [e for e in range(self.experts) if e % self.ranks == self.rank]
            out = {"map": {"version": 0, "experts": [held] * self.sets}, "prepared": None}
        else:
            out = {"step": 1, "epoch": 1, "counts": [0] * (self.sets * self.experts)}
        return json.dumps(out, separators=(",", ":")).encode()

    def answer(self, conn, path):
        self.send(conn, self.body(path))

    def send(self, conn, body):
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        conn.sendall(head.encode() + body)


def config(version, sets, experts, places):
    """A configuration with one service of model runners."""
    engine = {"slots": 12, "kv-capacity": 280000, "stride": 4, "models": [{"name": "m"}], "step_ms": 4.55,
              "per_seq_ms": 0.905, "read_per_s": 61400.0, "chunk": 512, "report_lag_ms": 200.0,
              "link-mbps": 44000.0, "usual": {"prompt": 835, "answer": 97}, "sets": sets,
              "experts": experts, "places": places, "spare": 4, "expert-mb": 2200.0, "expert-share": 0.85,
              "form_ms": 600.0}
    return {"version": version,
            "routes": [{"name": "r1", "host": "a.example", "path-prefix": "/a/", "kind": "stream",
                        "timeout-ms": 8000, "target-latency-ms": 500, "priority": 1, "service": "assistant",
                        "attempts": 2, "public": True, "resumable": True, "target-gap-ms": 120}],
            "services": [{"name": "assistant", "health-path": "/health", "max-conns": 278, "protocol": "h1",
                          "tls": False, "warmup-s": 3.0, "cold-per-s": 36.0, "engine": engine}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}}
