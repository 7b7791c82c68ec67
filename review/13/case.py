"""Shows how long tasks that last wait if a takeover follows the crash of their worker.

Three of 24 workers lose power for a second; half a second later the daemon that owns
the jobs is killed, and started again after another half. The workers come back under
other ids.
"""

import asyncio
import os
import pathlib
import signal
import sys

from bed3.deployment import Deployment, Record
from bed3.lasting import find_late_tasks

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 24
CRASHED = 3  # a share of 0.125
DOWN_S = 1.0
KILL_AFTER_S = 0.5
BACK_AFTER_S = 0.5  # a killed process is started again
JOBS = 8
WIDTH = 6
CPU = 16_000
LABELS = ("a", "r1-1")
WATCHED_S = 25.0


async def disturb(deployment: Deployment) -> float:
    """Crash workers and kill the owner; return the end of the disturbance."""
    record = deployment.record
    busy = [worker for worker in deployment.workers if worker.runs]
    crashed = busy[:CRASHED]
    for worker in crashed:
        worker.crash(dark=True)
    await asyncio.sleep(KILL_AFTER_S)
    owner = deployment.find_owner()
    owner.process.send_signal(signal.SIGKILL)
    record.note("kill", daemon=owner.name)
    await owner.process.wait()
    await asyncio.sleep(BACK_AFTER_S)
    await owner.start()
    record.note("daemon_started", daemon=owner.name)
    await asyncio.sleep(max(DOWN_S - KILL_AFTER_S - BACK_AFTER_S, 0))
    for worker in crashed:
        await deployment.replace(worker, LABELS)
    return record.now_s()


async def judge(deployment: Deployment) -> int:
    """Hand the jobs in, disturb, and return the exit status."""
    record = deployment.record
    await deployment.start(
        [{"labels": LABELS, "cpu": CPU} for _ in range(WORKERS)], lambda task: None
    )
    step = {"count": WIDTH, "cpu": 3_200, "memMb": 6_400, "estimateMs": 320}
    tasks = []
    for number in range(JOBS):
        job = f"{number + 0x5C0E7A21D94B3600:016x}"
        body = {"spec": "review 13", "steps": [{**step, "longRunning": True}]}
        if await deployment.submit(job, body) != 200:
            return 2
        tasks += [f"{job}.0.0.{index}" for index in range(WIDTH)]
    async with asyncio.timeout(15):
        while {row["task"] for _, row in record.find("begin")} != set(tasks):
            await asyncio.sleep(0.1)
    await asyncio.sleep(3.0)
    ended_s = record.now_s()
    if TROUBLE:
        ended_s = await disturb(deployment)
        if not record.find("lost"):
            return 2
    await asyncio.sleep(WATCHED_S)
    late = find_late_tasks(record, tasks, ended_s, record.now_s())
    for task, (lost_s, again_s) in late.items():
        record.note("late", task=task, lost=f"{lost_s:.3f}", again=f"{again_s:.3f}")
    record.note("verdict", lost=len(record.find("lost")), late=len(late))
    return 1 if late else 0


async def main() -> int:
    """Run the case and end all processes."""
    path = pathlib.Path(__file__).with_name("record.txt")
    deployment = Deployment(Record(path))
    try:
        async with asyncio.timeout(115):
            return await judge(deployment)
    except TimeoutError:
        deployment.record.note("verdict", text="the case took too long")
        return 2
    finally:
        await deployment.end()


sys.exit(asyncio.run(main()))
