"""A burst on a queue with advice, and whether all accepted jobs get started."""

import asyncio

from bed.advice import Advice
from bed.bench import FINISH_S, Bed, play, watch_idle

WORKERS = 24
RACK = 6
DECIDE_MS, EACH_MS, VALID_MS = 100, 60, 3_000
JOBS_PER_S = 1.0
BURST = 2.6  # times the traffic
BURST_S = 4.0
BEFORE_S, AFTER_S = 6.0, 6.0
WATCH_S = 20.0
STEP = {"count": 4, "cpu": 1000, "memMb": 1000, "estimateMs": 800}


async def case(bed: Bed, trouble: bool) -> str:
    """Send traffic with a burst in the middle; judge once it is over."""
    advice = Advice(bed.fleet, DECIDE_MS, EACH_MS, VALID_MS)
    await advice.server.start()
    bed.advice_address = advice.address
    bed.fleet.needs_ticket = True
    for number in range(WORKERS):
        await bed.fleet.add(f"i-{number:08x}", ["a", f"r1-{number // RACK}"])
    limits = {"decideMs": DECIDE_MS, "eachMs": EACH_MS, "validMs": VALID_MS}
    bed.configure(advice=limits)
    await bed.start_daemons()
    await asyncio.sleep(3.0)

    accepted: list[str] = []

    async def submit(job: str) -> None:
        if await bed.submit(job, [STEP], 0.8):
            accepted.append(job)

    loop = asyncio.get_running_loop()
    began_s = loop.time()
    sent = []
    length_s = BEFORE_S + BURST_S + AFTER_S
    while (at_s := loop.time() - began_s) < length_s:
        in_burst = trouble and BEFORE_S <= at_s < BEFORE_S + BURST_S
        job = f"{0x5C0E000000000000 + len(sent):016x}"
        sent.append(asyncio.ensure_future(submit(job)))
        await asyncio.sleep(1 / (JOBS_PER_S * (BURST if in_burst else 1)))
    await asyncio.gather(*sent)
    bed.note("traffic_over", accepted=len(accepted))
    await asyncio.sleep(FINISH_S)
    needed = STEP["count"] * STEP["cpu"]
    broken = await watch_idle(bed, accepted, needed, WATCH_S)
    states = [await bed.state(job) for job in accepted]
    started = {task.split(".")[0] for _, _, task, _, _ in bed.fleet.starts}
    bed.note("states", **{name: states.count(name) for name in set(states)})
    advice.server.stop()
    if not broken:
        return ""
    return (
        f"{len(broken)} of {len(accepted)} accepted jobs had nothing running for 3 s, "
        f"with room, {FINISH_S:.0f} s after the traffic; {len(started)} ever started"
    )


play(case, {"cpu": 16_000, "memMb": 64_000, "gpu": 0})
