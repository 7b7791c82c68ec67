"""Two workers crash, one after the other, soon after they began the same task."""

import asyncio

from review.standin.deployment import route, run_case

JOB = "00000000000000d4"
TASK = f"{JOB}.0.0.0"
RUN_MS = 90_000  # longer than the case, so that no run ends by itself
WORKERS = 8  # one of them is 12.5 %
CRASH_AFTER_S = 0.25
DOWN_S = 2.0
WATCHED_S = 15.0


async def case(deployment):
    """Submit a job of one task that lasts; crash the workers of its first two runs."""
    deployment.configure(1, route())
    await deployment.add_workers(WORKERS)
    await deployment.add_daemons(3)
    await asyncio.sleep(2.0)
    step = {"count": 1, "cpu": 3_000, "memMb": 6_000, "longRunning": True}
    await deployment.submit(JOB, RUN_MS, [step])
    await deployment.wait_event("started", 10.0, task=TASK, run=1)
    for run in (1, 2) if deployment.trouble else ():
        rows = await deployment.wait_event("started", 20.0, task=TASK, run=run)
        worker = next(
            item for item in deployment.workers if item.worker_id == rows[0]["worker"]
        )
        await asyncio.sleep(CRASH_AFTER_S)
        worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.start()
    found = await deployment.wait_state(JOB, ("done", "failed", "410"), WATCHED_S)
    if found == "active":
        return []
    ends = len(deployment.find("ended", how="failed"))
    return [
        f"LOST: {JOB}, accepted and not cancelled, with a task that lasts, is shown as "
        f"{found} after {ends} runs that ended failed"
    ]


if __name__ == "__main__":
    run_case(case, __file__)
