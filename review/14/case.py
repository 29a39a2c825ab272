"""A part in the middle of a long prompt crashes each runner that begins to answer it."""
import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
import lab as l

# A conversation of ten turns: 22 shared parts, and one of the request's own.
SHARED = [f"a{n:07x}" for n in range(22)]
CRASHING = "bad00bad"
POSITION = 18
CRASHING_PER_S, SOUND_PER_S = 1.0, 12.0
CALM_S, TROUBLE_S = 5.0, 60.0


async def body(lab):
    await lab.begin(l.config([l.stream_route("chat")], [l.service("chat", 278)]))
    sent, tasks, n = {}, [], 0

    async def one(crashing, number):
        parts = list(SHARED)
        if crashing:
            parts[POSITION] = CRASHING
        own = f"{random.getrandbits(32):08x}"
        prefix = ",".join(f"{p}:40" for p in parts + [own])
        request = f"{'c' if crashing else 's'}{number:06d}"
        fields = {"Model": "m", "Token-Counts": "920,80", "Prompt-Prefix": prefix}
        result = await lab.send(number % len(lab.fronts), request, "POST", f"/chat/{request}", fields, own.encode())
        sent[request] = (crashing, *result)

    async def traffic(seconds, crashing_per_s):
        nonlocal n
        until = time.monotonic() + seconds
        due = time.monotonic()
        crashing_due = due
        while time.monotonic() < until:
            n += 1
            tasks.append(asyncio.create_task(one(False, n)))
            if crashing_per_s and time.monotonic() >= crashing_due:
                n += 1
                tasks.append(asyncio.create_task(one(True, n)))
                crashing_due += 1 / crashing_per_s
            due += 1 / SOUND_PER_S
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    await traffic(CALM_S, 0)
    await traffic(TROUBLE_S, CRASHING_PER_S)
    await asyncio.gather(*tasks)
    return judge(lab, sent)


def judge(lab, sent):
    seen = lab.seen()
    crashes = [e for e in seen if e["event"] == "crashes"]
    lost, sound = lab.lost(sent), sum(1 for s in sent.values() if not s[0])
    if not l.TROUBLE:
        return not crashes, f"no runner crashed: {not crashes}; {lost} sound requests lost of {sound}"
    if len(crashes) < 5:
        raise l.CannotRun(f"only {len(crashes)} crashes")
    known_from = crashes[4]["t"] + l.CONTACT_S
    late = [e for e in seen if e["event"] == "arrives" and e["crash"]
            and e["t"] > known_from and sent[e["request"]][3] > known_from]
    line = (f"{len(late)} requests with the part reached runners that were sent later than contact-ms after the "
            f"fifth crash (3 are allowed); {len(crashes)} crashes in all; {lost} sound requests of {sound} were "
            f"cut at a runner and got no whole answer")
    return len(late) <= 3, line


l.run(__file__, l.Lab(__file__, gateways=4, runners=6, back_s=3.0, runner_settings={
    "service": "chat", "slots": 12, "answer": "text/event-stream", "first_ms": 150, "events": 24, "gap_ms": 40,
    "crash_part": CRASHING}), body)
