"""A much used part of prompts crashes each runner that begins to answer it."""
import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import lab as l

SYSTEM, CRASHING = "5c1e07a2", "bad00bad"
DOCUMENTS = ["91bd3f06", "91bd3f07", "91bd3f08"]
CRASHING_PER_S, SOUND_PER_S = 20.0, 8.0
CALM_S, TROUBLE_S = 5.0, 40.0


async def body(lab):
    await lab.begin(l.config([l.stream_route("chat")], [l.service("chat", 278)]))
    sent, tasks, number = {}, [], 0

    async def one(crashing, number):
        document = CRASHING if crashing else random.choice(DOCUMENTS)
        own = f"{random.getrandbits(32):08x}"
        request = f"{'c' if crashing else 's'}{number:06d}"
        fields = {"Model": "m", "Token-Counts": "900,80", "Prompt-Prefix": f"{SYSTEM}:40,{document}:610,{own}:250"}
        result = await lab.send(random.randrange(len(lab.fronts)), request, "POST", f"/chat/{request}", fields,
                                own.encode())
        sent[request] = (crashing, *result)

    async def traffic(seconds, crashing_per_s):
        nonlocal number
        rate = crashing_per_s + SOUND_PER_S
        until = time.monotonic() + seconds
        due = time.monotonic()
        while time.monotonic() < until:
            number += 1
            tasks.append(asyncio.create_task(one(random.random() < crashing_per_s / rate, number)))
            due += random.expovariate(rate)
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
            f"fifth crash (3 are allowed); {len(crashes)} crashes in all, at "
            f"{[round(c['t'] - crashes[0]['t'], 1) for c in crashes]} s; {lost} sound requests of {sound} were "
            f"cut at a runner and got no whole answer")
    return len(late) <= 3, line


l.run(__file__, l.Lab(__file__, gateways=4, runners=6, back_s=4.0, runner_settings={
    "service": "chat", "slots": 12, "answer": "text/event-stream", "first_ms": 350, "events": 24, "gap_ms": 40,
    "crash_part": CRASHING}), body)
