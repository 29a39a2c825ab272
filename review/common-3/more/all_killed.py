"""A request crashes each runner that runs it, and all processes of the system are killed at the same moment."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import lab as l

CRASHING_PATH = "/lookup/order-4711"
SOUND_PER_S, COMES_EVERY_S = 20.0, 2.5
CALM_S, FIRST_S, AFTER_KILL_S = 4.0, 18.0, 16.0
KILLS, DOWN_S = 2, 0.7


async def body(lab):
    await lab.begin(l.config([l.safe_route("desk"), l.unsafe_route("desk")], [l.service("desk", 96)]))
    sent, tasks = {}, []
    numbers = iter(range(1, 1_000_000))
    in_touch_from = time.monotonic()

    async def one(crashing):
        number = next(numbers)
        request = f"{'c' if crashing else 's'}{number:06d}"
        method, path = ("GET", CRASHING_PATH) if crashing else ("POST", f"/order/{number}")
        in_touch = time.monotonic() > in_touch_from
        result = await lab.send(number % len(lab.fronts), request, method, path, {}, deadline_s=2.0)
        sent[request] = (crashing, *result, in_touch)

    async def sound():
        while True:
            tasks.append(asyncio.create_task(one(False)))
            await asyncio.sleep(1 / SOUND_PER_S)

    async def crashing(seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(one(True)))
            await asyncio.sleep(COMES_EVERY_S)

    background = asyncio.create_task(sound())
    await asyncio.sleep(CALM_S)
    await crashing(FIRST_S)
    for _ in range(KILLS):
        if l.TROUBLE:
            lab.kill([f"control-{i}" for i in range(3)] + [f"gateway-{i}" for i in range(len(lab.fronts))])
        await asyncio.sleep(DOWN_S)
        if l.TROUBLE:
            for i in range(3):
                lab.start_control(i, False)
            for i in range(len(lab.fronts)):
                lab.start_gateway(i)
            lab.note("all started again")
        await lab.ready(20)
        in_touch_from = time.monotonic() + l.CONTACT_S
        await asyncio.sleep(l.CONTACT_S + 1.0)
        await crashing(AFTER_KILL_S)
    background.cancel()
    await asyncio.gather(*tasks)
    return judge(lab, sent)


def judge(lab, sent):
    seen = lab.seen()
    crashes = [e for e in seen if e["event"] == "crashes"]
    if len(crashes) < 3:
        raise l.CannotRun(f"only {len(crashes)} crashes")
    known_from = crashes[2]["t"] + l.CONTACT_S
    late = [e for e in seen if e["event"] == "arrives" and e["crash"] and sent[e["request"]][4]
            and e["t"] > known_from and sent[e["request"]][3] > known_from]
    line = (f"the request reached runners {len(late)} times more, sent by machines in touch later than contact-ms "
            f"after it had crashed the third (3 are allowed); {len(crashes)} crashes in all, at "
            f"{[round(c['t'] - crashes[0]['t'], 1) for c in crashes]} s; {lab.lost(sent)} other requests were cut at a "
            f"runner and got no whole answer")
    return len(late) <= 3, line


# The disruption is the kill: the request crashes its runners without it as well.
crash_path = CRASHING_PATH
lab = l.Lab(__file__, gateways=4, runners=3, back_s=2.0, runner_settings={
    "service": "desk", "slots": 6, "answer": "text/plain", "first_ms": 60}, always={"crash_path": crash_path})
l.run(__file__, lab, body)
