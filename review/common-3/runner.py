"""A stand-in for a runner of the platform: one process that serves requests and sends heartbeats.

It takes its settings as JSON in its only argument. It ends, as a crashed process does, when it begins
to answer a request that is marked to crash runners.
"""
import asyncio
import http.client
import json
import os
import random
import sys
import threading
import time

CFG = json.loads(sys.argv[1])
LOG = os.open(CFG["log"], os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
BORN = int(time.time() * 1000)
running = 0


def record(event, **fields):
    fields.update(t=round(time.monotonic(), 3), event=event, runner=CFG["id"], place=CFG["place"])
    os.write(LOG, (json.dumps(fields) + "\n").encode())


def heartbeats():
    """Sends a heartbeat at the start and then every 1.2 s; turns to the next control after a failure."""
    seq, at = 0, 0
    while True:
        seq += 1
        body = json.dumps({
            "service": CFG["service"], "address": f"{CFG['ip']}:{CFG['port']}", "zone": CFG["zone"],
            "version": "v1", "slots": CFG["slots"], "state": "ready", "cold-remaining-ms": 0,
            "seq": seq, "born": BORN})
        for _ in range(len(CFG["controls"])):
            host, port = CFG["controls"][at % len(CFG["controls"])].split(":")
            try:
                conn = http.client.HTTPConnection(host, int(port), timeout=1.0)
                conn.request("POST", f"/instances/{CFG['id']}/heartbeat", body,
                             {"Content-Type": "application/json"})
                response = conn.getresponse()
                response.read()
                conn.close()
                if response.status // 100 == 2:
                    break
            except OSError:
                pass
            at += 1
        time.sleep(1.2)


def head(status, reason, fields):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{k}: {v}" for k, v in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def crashes(path, fields):
    """Whether the request is one that crashes each runner that begins to answer it."""
    if CFG.get("crash_part"):
        parts = [p.split(":")[0] for p in fields.get("prompt-prefix", "").split(",")]
        return CFG["crash_part"] in parts[:-1]
    return bool(CFG.get("crash_path")) and path == CFG["crash_path"]


async def answer(reader, writer, path, fields):
    global running
    request = fields.get("request-id", "")
    common = {"Request-Id": request, "Keep-Alive": "timeout=10"}
    if path == "/health":
        writer.write(head(200, "OK", {"Instance-Id": CFG["id"], "Content-Length": 0}))
        return
    if fields.get("expect-instance", CFG["id"]) != CFG["id"]:
        writer.write(head(421, "Misdirected Request", {**common, "Content-Length": 0}))
        return
    if running >= CFG["slots"]:
        writer.write(head(503, "Full", {**common, "Not-Executed": 1, "Content-Length": 0}))
        return
    running += 1
    try:
        crash = crashes(path, fields)
        record("arrives", request=request, crash=crash)
        await asyncio.sleep(CFG["first_ms"] / 1000)
        if crash:
            record("crashes", request=request)
            os._exit(1)
        signed = {**common, "Response-Signature": f"{CFG['id']}.{request}"}
        if "text/event-stream" in CFG["answer"]:
            writer.write(head(200, "OK", {**signed, "Content-Type": "text/event-stream",
                                          "Transfer-Encoding": "chunked"}))
            last = int(fields.get("last-event-id", 0))
            # Memory is full: the newest request is preempted, stands still and is read again.
            still_at = last + CFG["still_after"] if CFG.get("still_ms") else 0
            for n in range(last + 1, CFG["events"] + 1):
                if n == still_at + 1 and CFG.get("still_ms"):
                    record("preempts", request=request, event_id=n)
                    await asyncio.sleep(CFG["still_ms"] / 1000)
                    if reader.at_eof() or writer.transport.is_closing():
                        record("finds its caller gone", request=request)
                        raise ConnectionResetError
                event = f"id: {n}\ndata: {request} {n}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await asyncio.sleep(CFG["gap_ms"] / 1000)
            writer.write(b"0\r\n\r\n")
        elif CFG.get("fail_share") and random.random() < CFG["fail_share"]:
            # It has run the request and fails then: this is no refusal, so it doesn't say `Not-Executed`.
            body = b"a part that this service needs does not answer\n"
            record("ran and failed", request=request, status=CFG["fail_status"])
            writer.write(head(CFG["fail_status"], "Failed", {**signed, "Content-Length": len(body)}) + body)
            await writer.drain()
            return
        else:
            body = f"answer to {request}\n".encode()
            writer.write(head(200, "OK", {**signed, "Content-Length": len(body)}) + body)
        await writer.drain()
        record("answered", request=request)
    finally:
        running -= 1


async def serve(reader, writer):
    try:
        while True:
            lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            _, path, _ = lines[0].split(" ", 2)
            fields = {}
            for line in lines[1:]:
                if ":" in line:
                    name, value = line.split(":", 1)
                    fields[name.strip().lower()] = value.strip()
            if fields.get("content-length"):
                await reader.readexactly(int(fields["content-length"]))
            await answer(reader, writer, path, fields)
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, CFG["ip"], CFG["port"], backlog=256)
    record("starts")
    threading.Thread(target=heartbeats, daemon=True).start()
    async with server:
        await server.serve_forever()


asyncio.run(main())
