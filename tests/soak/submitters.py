"""Submitters that hand jobs in, ask for their state and cancel some."""

import asyncio
import itertools
import json
import random

from attrs import Factory, define

from poplarlb.exceptions import CallNotSentError, CallUnansweredError
from poplarlb.transport.http_client import HttpClient
from tests.soak.daemons import DaemonProcess
from tests.soak.promises import Promises, SubmittedJob

NO_ANSWER = 0
CALL_TIMEOUT_S = 3.0
ATTEMPTS = 5
RETRY_S = 0.2
CANCEL_SHARE = 0.1
ASK_S = 0.25
HOST = ("Host: orders.example",)


@define(eq=False)
class Submitters:
    """Calls any daemon over connections that stay open until it is gone."""

    daemons: list[DaemonProcess]
    promises: Promises
    dice: random.Random
    client: HttpClient = Factory(HttpClient)
    numbers: itertools.count = Factory(lambda: itertools.count(1))

    async def call(self, daemon: DaemonProcess, method: str, path: str, body=b""):
        """Return the status and the body; status 0 for no answer."""
        try:
            answer = await self.client.call(
                daemon.front,
                method,
                path,
                body,
                timeout_s=CALL_TIMEOUT_S,
                headers=HOST,
            )
        except (CallNotSentError, CallUnansweredError):
            return NO_ANSWER, b""
        return answer.status, answer.body

    async def submit_one(self) -> None:
        """Hand one job in, again and again until its fate is known; cancel some."""
        dice = self.dice
        steps = [
            {
                "count": dice.randint(1, 4),
                "cpu": dice.choice((500, 2_000, 6_000)),
                "memMb": 256,
                "estimateMs": 500,
                **({"after": [number - 1]} if number else {}),
            }
            for number in range(dice.randint(1, 2))
        ]
        job = SubmittedJob(f"{next(self.numbers):016x}", steps)
        self.promises.jobs[job.job_id] = job
        cancels = dice.random() < CANCEL_SHARE
        body = json.dumps({"spec": "text", "steps": steps}).encode()
        path = f"/o/{job.job_id}"
        for _ in range(ATTEMPTS):
            job.answers.append(NO_ANSWER)  # also if this submitter is ended meanwhile
            status, _ = await self.call(dice.choice(self.daemons), "POST", path, body)
            job.answers[-1] = status
            if status == 200:
                break
            await asyncio.sleep(RETRY_S)
        if cancels and job.accepted:
            await asyncio.sleep(dice.uniform(0, 1))
            job.cancelled = True
            await self.call(dice.choice(self.daemons), "DELETE", path)

    async def ask_one(self, job: SubmittedJob, daemon: DaemonProcess) -> None:
        """Ask for a job's state and check what is told."""
        status, body = await self.call(daemon, "GET", f"/o/{job.job_id}")
        now_s = asyncio.get_running_loop().time()
        if status == 200:
            self.promises.check_told(job, json.loads(body)["state"], now_s)
        elif status == 410:
            self.promises.check_told(job, "410", now_s)

    async def ask_open(self) -> bool:
        """Ask once for every accepted job that is not done; tell whether all are."""
        waiting = [
            job
            for job in self.promises.jobs.values()
            if job.accepted and job.seen not in ("done", "cancelled")
        ]
        for job in waiting:
            await self.ask_one(job, self.dice.choice(self.daemons))
        return not waiting

    async def run(self, period_s: float) -> None:
        """Hand jobs in and ask for them until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._ask())
            while True:
                group.create_task(self.submit_one())
                await asyncio.sleep(self.dice.expovariate(1 / period_s))

    async def _ask(self) -> None:
        while True:
            await self.ask_open()
            await asyncio.sleep(ASK_S)
