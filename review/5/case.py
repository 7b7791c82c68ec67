"""A requester gives up a submission and cancels it while the store ignores a daemon."""

import asyncio
import json

from review.standin.deployment import BOUNDS, CaseError, route, run_case

JOB = "00000000000000e5"
OTHER_JOBS = [f"{number:016x}" for number in range(1, 4)]  # nobody gives these up
RUN_MS = 6_000  # then the long-running task ends, and must be restarted
OUTAGE_S = 1.5
GIVE_UP_S = 0.6
WATCHED_S = 16.0


async def case(deployment):
    """Submit at a daemon that the store ignores, give up, and cancel at another one."""
    deployment.configure(1, route())
    await deployment.add_workers(4)
    await deployment.add_daemons(4)
    await asyncio.sleep(3.0)
    others = [item for item in deployment.daemons if item is not deployment.owner()]
    first, second = others[:2]
    gate = deployment.store.gates[first.name]
    step = {"count": 1, "cpu": 1_000, "memMb": 500, "longRunning": True}
    body = {"spec": json.dumps({"ms": RUN_MS}), "steps": [step]}
    outage = None
    if deployment.trouble:
        gate.fault = lambda method, path, data: "silent"
        deployment.record("store_ignores", daemon=first.name)

        async def end_outage():
            await asyncio.sleep(OUTAGE_S)
            gate.fault = None
            deployment.record("store_answers", daemon=first.name)

        outage = asyncio.ensure_future(end_outage())
    for job_id in OTHER_JOBS:
        await deployment.submit(job_id, 500, daemon=second)
    deployment.record("sent", job=JOB, body=body)
    await deployment.request(first, "POST", JOB, body, timeout_s=GIVE_UP_S, waits_s=3.0)
    while True:
        status, _ = await deployment.request(second, "DELETE", JOB)
        if status == 410 or (status is not None and 200 <= status < 300):
            break
        if deployment.now_s() > 60:
            raise CaseError("the cancelling is not acknowledged")
        await asyncio.sleep(0.5)
    acknowledged_s = deployment.now_s()
    deployment.record("cancel_acknowledged", job=JOB, status=status)
    if outage is not None:
        await outage
    await asyncio.sleep(WATCHED_S)
    limit_s = acknowledged_s + BOUNDS["cancel_ms"] / 1000
    reasons = [
        f"UNASKED: {row['task']} run {row['run']} was started {late_s:.1f} s after its "
        "job's cancelling was acknowledged"
        for row in deployment.find("started")
        if row["task"].startswith(JOB)
        and (late_s := row["at_s"] - acknowledged_s) > limit_s - acknowledged_s
    ]
    running = [key for worker in deployment.workers for key in worker.running]
    reasons += [
        f"UNASKED: {task} run {run} is active {WATCHED_S} s after that"
        for task, run in running
    ]
    return reasons


if __name__ == "__main__":
    run_case(case, __file__)
