"""CONFIG: the first configuration has the version 0; it is acknowledged and lost."""

import asyncio
import json
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))

from deployment import CannotRun, Deployment, Record, call, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S = 3.0


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    d = Deployment(random.randrange(20, 200))
    try:
        for i in range(3):
            d.start_control(i)
        d.start_gateway(0)
        version = 0 if TROUBLE else 1
        route = {"name": "lookup", "host": "portal.example", "path-prefix": "/lookup/", "kind": "safe", "timeout-ms": 2000,
                 "target-latency-ms": 300, "priority": 2, "service": "portal", "attempts": 2, "public": True}
        policy = {"version": version, "routes": [route], "services": [{"name": "portal", "health-path": "/health",
                  "max-conns": 96, "protocol": "h1", "tls": False, "warmup-s": 0.0, "cold-per-s": 0.0}],
                  "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                             "idle-timeout-ms": 15000}, "tenants": []}
        got = await d.to_control("POST", "/config/put", json.dumps(policy).encode(), 30.0)
        record("POST /config/put, version", version, "->", got and got[0])
        if not got or got[0] != 200:
            raise CannotRun(f"the configuration was not acknowledged: {got and got[0]}")
        # Far beyond `config-ms` and `contact-ms`; all three daemons are asked.
        read = None
        for _ in range(8):
            await asyncio.sleep(CONTACT_S)
            for address in d.controls():
                answer = await call(address, "GET", "/config/get", timeout=4)
                record("GET /config/get at", address[0], "->", answer and answer[0])
                if answer and answer[0] == 200:
                    read = json.loads(answer[2])
            ready = await call((d.gateway_ips[0], d.ready_port), "GET", "/ready")
            record("GET /ready at the gateway ->", ready and ready[0])
            if read is not None:
                break
        if read is None:
            record("RULE BROKEN: version", version, "was acknowledged and does not come")
            print("acknowledged, never read back")
            return 1
        return 0 if read["version"] == version and read["routes"] == policy["routes"] else 1
    finally:
        d.stop()


run_case(main)
