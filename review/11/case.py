"""A runner fails a part of the orders that it has run, with a status that a gateway must not pass on as a refusal."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
import lab as l

ORDERS_PER_S, SECONDS = 20.0, 40.0
DEADLINE_S = 4.0
# "Status codes 429 and 503 are a promise, and so are 408 and 421."
PROMISES = (408, 421, 429, 503)


async def body(lab):
    await lab.begin(l.config([l.unsafe_route("desk")], [l.service("desk", 530)]))
    answers, tasks = {}, []

    async def order(number):
        # A client retries an `unsafe` request once, and only after a promise that it has not run.
        due = time.monotonic() + DEADLINE_S
        for attempt in range(2):
            request = f"o{number:05d}-{attempt}"
            left = due - time.monotonic()
            status, whole, _ = await lab.send(number % len(lab.fronts), request, "POST", f"/order/{number:05d}", {},
                                              f"order {number}\n".encode(), deadline_s=left)
            answers[request] = status
            if status not in PROMISES:
                return
            await asyncio.sleep(0.2)

    for number in range(1, int(ORDERS_PER_S * SECONDS) + 1):
        tasks.append(asyncio.create_task(order(number)))
        await asyncio.sleep(1 / ORDERS_PER_S)
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.5)
    return judge(lab, answers)


def judge(lab, answers):
    ran = [e["request"] for e in lab.seen() if e["event"] in ("answered", "ran and failed")]
    if len(ran) < ORDERS_PER_S * SECONDS / 2:
        raise l.CannotRun(f"only {len(ran)} requests have run")
    refused = sorted(r for r in set(ran) if answers.get(r) in PROMISES)
    runs = {}
    for request in ran:
        runs.setdefault(request.split("-")[0], []).append(request)
    twice = sum(1 for requests in runs.values() if len(requests) > 1)
    line = (f"{len(refused)} of {len(ran)} requests that have run were answered with "
            f"{sorted({answers[r] for r in refused})}; {twice} orders ran a second time, as their clients were told "
            f"that they had not run")
    return not refused, line


l.run(__file__, l.Lab(__file__, gateways=4, runners=7, runner_settings={
    "service": "desk", "slots": 6, "answer": "text/plain", "first_ms": 60, "fail_share": 0.4, "fail_status": 503,
    "fail_places": [0]}), body)
