"""A request crashes each runner that runs it; runners start again under the id that they had."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
import lab as l

CRASHING_PATH, CRASHING_BODY = "/lookup/order-4711", b""
SOUND_PER_S, COMES_EVERY_S = 20.0, 2.5
CALM_S, TROUBLE_S = 4.0, 70.0


async def body(lab):
    await lab.begin(l.config([l.safe_route("desk"), l.unsafe_route("desk")], [l.service("desk", 96)]))
    sent, tasks = {}, []

    async def one(crashing, number):
        request = f"{'c' if crashing else 's'}{number:06d}"
        method, path = ("GET", CRASHING_PATH) if crashing else ("POST", f"/order/{number}")
        result = await lab.send(number % len(lab.fronts), request, method, path, {}, deadline_s=2.0)
        sent[request] = (crashing, *result)

    async def sound(seconds):
        until, number = time.monotonic() + seconds, 0
        while time.monotonic() < until:
            number += 1
            tasks.append(asyncio.create_task(one(False, number)))
            await asyncio.sleep(1 / SOUND_PER_S)

    async def crashing(seconds):
        until, number = time.monotonic() + seconds, 0
        while time.monotonic() < until:
            number += 1
            tasks.append(asyncio.create_task(one(True, number)))
            await asyncio.sleep(COMES_EVERY_S)

    background = asyncio.create_task(sound(CALM_S + TROUBLE_S))
    await asyncio.sleep(CALM_S)
    await crashing(TROUBLE_S)
    await background
    await asyncio.gather(*tasks)
    return judge(lab, sent)


def judge(lab, sent):
    seen = lab.seen()
    crashes = [e for e in seen if e["event"] == "crashes"]
    lost, sound = lab.lost(sent), sum(1 for s in sent.values() if not s[0])
    if not l.TROUBLE:
        return not crashes, f"no runner crashed: {not crashes}; {lost} sound requests lost of {sound}"
    if len(crashes) < 3:
        raise l.CannotRun(f"only {len(crashes)} crashes")
    known_from = crashes[2]["t"] + l.CONTACT_S
    late = [e for e in seen if e["event"] == "arrives" and e["crash"]
            and e["t"] > known_from and sent[e["request"]][3] > known_from]
    line = (f"the request reached runners {len(late)} times more, sent later than contact-ms after it had crashed "
            f"the third (3 are allowed); {len(crashes)} crashes in all, of places "
            f"{[c['place'] for c in crashes]}; {lost} other requests of {sound} were cut at a "
            f"runner and got no whole answer")
    return len(late) <= 3, line


l.run(__file__, l.Lab(__file__, gateways=4, runners=2, same_ids=True, back_s=2.0, runner_settings={
    "service": "desk", "slots": 6, "answer": "text/plain", "first_ms": 60, "crash_path": CRASHING_PATH}), body)
