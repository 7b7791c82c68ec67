"""A best-effort step without ``cpu``: several of its tasks share a worker."""

import asyncio

from review.standin.deployment import route, run_case
from review.standin.judge import list_runs

FILLING_JOB = "00000000000000f1"
ORDINARY_JOBS = [f"{number:016x}" for number in range(1, 9)]
TASKS = 36  # 12 at each worker
FINISH_S = 14.0
IDLE_S = 3.0  # for so long nothing of a job may run though there is room


async def case(deployment):
    """Hand in one filling job and, a moment later, eight ordinary ones."""
    deployment.configure(1, route())
    await deployment.add_workers(3)
    await deployment.add_daemons(3)
    await asyncio.sleep(2.0)
    step = {"count": TASKS, "memMb": 500, "estimateMs": 500, "fills": True}
    step["image"] = "i1"
    if not deployment.trouble:
        step["cpu"] = 100
    await deployment.submit(FILLING_JOB, 500, [step])
    await asyncio.sleep(1.0)
    for number, job_id in enumerate(ORDINARY_JOBS):
        await deployment.submit(job_id, 500, daemon=deployment.daemons[number % 3])
        await asyncio.sleep(0.5)
    deployment.record("traffic_ended")
    await asyncio.sleep(FINISH_S)
    until_s = deployment.now_s()
    active = [
        run
        for run in list_runs(deployment.events)
        if run[4] is None or run[4] > until_s - IDLE_S
    ]
    deployment.record("active_in_last_3_s", runs=[run[1] for run in active])
    reasons = []
    for job_id in [FILLING_JOB, *ORDINARY_JOBS]:
        found = await deployment.state(job_id)
        # The few runs that may be active use far less than half of the capacity.
        if found != "done" and not any(run[1].startswith(job_id) for run in active):
            reasons.append(
                f"LOST: {job_id}, accepted, is {found} {FINISH_S} s after the traffic, "
                f"and for {IDLE_S} s nothing of it runs though there is room"
            )
    for line in deployment.log_lines("ownership_failed")[:20]:
        deployment.record("daemon_log", line=line)
    lines = deployment.log_lines("ownership_failed", "ownership_claimed")
    deployment.record("takeovers", count=len(lines))
    return reasons


if __name__ == "__main__":
    run_case(case, __file__)
