"""A worker loses power while a start is under way, comes back, and is cut off."""

import asyncio

from review.standin.deployment import CaseError, route, run_case
from review.standin.judge import find_overlaps

JOB = "00000000000000b2"
TASK = f"{JOB}.0.0.0"
WORK_MS = 16_000
BUSY_JOB = "00000000000000b0"  # keeps every worker at work, so that each is polled
BUSY_TASKS = 16
BUSY_MS = 40_000
WORKERS = 8  # one of them is 12.5 %
DARK_S = 0.8
CUT_AFTER_S = 1.5  # after the worker is back
CUT_S = 5.5


async def case(deployment):
    """Submit one task; disturb the worker that first gets it."""
    deployment.configure(1, route())
    await deployment.add_workers(WORKERS)
    await deployment.add_daemons(3)
    step = {"count": BUSY_TASKS, "cpu": 24_000, "memMb": 500, "estimateMs": BUSY_MS}
    await deployment.submit(BUSY_JOB, BUSY_MS, [step])
    await deployment.wait_event("started", 10.0, count=BUSY_TASKS)
    await asyncio.sleep(3.0)
    chosen = asyncio.get_running_loop().create_future()

    async def lose_power(worker, task, run):
        if task == TASK and run == 1 and not chosen.done():
            worker.crash(dark=True)
            chosen.set_result(worker)

    if deployment.trouble:
        for worker in deployment.workers:
            worker.on_start = lose_power
    await deployment.submit(JOB, WORK_MS)
    if deployment.trouble:
        worker = await asyncio.wait_for(chosen, 10.0)
        await asyncio.sleep(DARK_S)
        await worker.start()
        await asyncio.sleep(CUT_AFTER_S)
        deployment.record("cut", worker=worker.worker_id)
        worker.cut = True
        await asyncio.sleep(CUT_S)
        worker.cut = False
        worker.server.drop_silent()
        deployment.record("cut_ended", worker=worker.worker_id)
    found = await deployment.wait_state(JOB, ("done", "failed", "410"), 60.0)
    if found is None:
        raise CaseError("no daemon tells the job's state")
    return find_overlaps(deployment.events)


if __name__ == "__main__":
    run_case(case, __file__)
