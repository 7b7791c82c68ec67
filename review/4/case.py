"""A route is removed and added again while one of its jobs runs, and a run fails."""

import asyncio

from review.standin.deployment import route, run_case

JOB = "00000000000000c3"
WORK_MS = 4_000
ATTEMPTS = 3


async def case(deployment):
    """Change the configuration while the first run is active; it ends ``failed``."""
    q1, q2 = route(maxAttempts=ATTEMPTS), route("q2", "/q2/", maxAttempts=ATTEMPTS)
    deployment.configure(5, q1, q2)
    await deployment.add_workers(4)
    await deployment.add_daemons(3)
    await asyncio.sleep(2.0)
    await deployment.submit(JOB, WORK_MS, fail=[1])
    await deployment.wait_event("started", 10.0, task=f"{JOB}.0.0.0", run=1)
    await asyncio.sleep(1.0)
    deployment.configure(8, *((q2,) if deployment.trouble else (q1, q2)))
    await deployment.wait_event("ended", 10.0, task=f"{JOB}.0.0.0", run=1)
    await asyncio.sleep(2.0)
    deployment.configure(12, q1, q2)
    await asyncio.sleep(3.0)  # configMs, and one second more
    found = await deployment.wait_state(JOB, ("done", "failed", "410"), 20.0)
    failed_runs = deployment.find("ended", how="failed")
    if found == "failed" and len(failed_runs) < ATTEMPTS:
        return [
            f"LOST: {JOB}, accepted and not cancelled, is shown as failed after "
            f"{len(failed_runs)} run that ended failed, with maxAttempts {ATTEMPTS}"
        ]
    return [] if found == "done" else [f"LOST: {JOB} is shown as {found}"]


if __name__ == "__main__":
    run_case(case, __file__)
