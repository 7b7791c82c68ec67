"""Calls to workers, whose answers are decoded into events."""

from typing import Any

import attrs
import orjson
from attrs import define

from poplarlb.coordination.jobs.events import (
    CallOutcome,
    PollAnswered,
    PollFailed,
    PollWorker,
    StartAnswered,
    StartRun,
    StopAnswered,
    StopRun,
    ThrottleAnswered,
    ThrottleRun,
)
from poplarlb.exceptions import (
    CallNotSentError,
    CallUnansweredError,
    OldEpochError,
)
from poplarlb.platform.wire import decode_answer, decode_clock, decode_reason
from poplarlb.transport.http_client import HttpClient

CALL_TIMEOUT_S = 1.0  # workers answer at once; the call is retried after this
POLL_GRACE_S = 0.8  # added to the time that a poll may wait
INSTANCE_HEADER = "X-Poplarlb-Expect-Instance"  # names the worker that is meant
REFUSAL_OUTCOMES = {  # by the reason that a worker gives with status 409
    "fence": CallOutcome.OLD_EPOCH,
    "old": CallOutcome.OLD_RUN,
    "late": CallOutcome.LEASE_OVER,
    "room": CallOutcome.NO_ROOM,
    "ticket": CallOutcome.NO_TICKET,
}


@define
class PlatformWorkers:
    """Sends commands to workers and returns their answers as events."""

    client: HttpClient

    async def start_run(self, command: StartRun, sent_ms: int) -> StartAnswered:
        """Ask a worker to start a run."""
        body = {
            "task": command.task,
            "run": command.run,
            "spec": command.payload,
            "untilMs": command.lease_end_ms,
            "fence": command.epoch,
        }
        if command.checkpoint:
            body["saved"] = command.checkpoint
        if command.ticket:
            body["ticket"] = command.ticket
        outcome, answer = await self._send(command, "/v1/run-start", body)
        return StartAnswered(
            command.worker_id,
            command.task,
            command.run,
            sent_ms,
            outcome,
            decode_clock(answer),
        )

    async def stop_run(self, command: StopRun, sent_ms: int) -> StopAnswered:
        """Ask a worker to stop a run."""
        body = {"task": command.task, "run": command.run, "fence": command.epoch}
        outcome, _ = await self._send(command, "/v1/run-stop", body)
        return StopAnswered(
            command.worker_id, command.task, command.run, sent_ms, outcome
        )

    async def throttle_run(self, command: ThrottleRun) -> ThrottleAnswered:
        """Ask a worker to throttle a run."""
        body = {
            "task": command.task,
            "run": command.run,
            "percent": command.percent,
            "fence": command.epoch,
        }
        outcome, _ = await self._send(command, "/v1/pace", body)
        return ThrottleAnswered(
            command.worker_id, command.task, command.run, command.percent, outcome
        )

    async def poll(
        self, command: PollWorker, sent_ms: int
    ) -> PollAnswered | PollFailed:
        """Poll a worker for its active and ended runs.

        A new connection may reach a later incarnation of the worker, for which an
        acknowledgement or a lease of the earlier one would be wrong. A connection gets
        neither, whichever call opened it, until an answer on it could be read; the
        worker answers such polls at once.

        :raises OldEpochError: the worker has seen a higher epoch.
        :raises BadAnswerError: the answer is malformed.
        """
        connection = self.client.find_idle(command.address)
        if connection is None or not connection.verified:
            command = attrs.evolve(
                command, acknowledged_end=None, lease_end_ms=None, wait_ms=0
            )
        failed = PollFailed(
            command.worker_id, sent_ms, renewed=command.lease_end_ms is not None
        )
        body: dict[str, Any] = {"fence": command.epoch}
        if command.acknowledged_end is not None:
            body["lastSeen"] = command.acknowledged_end
        if command.lease_end_ms is not None:
            body["untilMs"] = command.lease_end_ms
        if command.wait_ms:
            body["waitMs"] = command.wait_ms
        try:
            response = await self.client.call(
                command.address,
                "POST",
                "/v1/hold",
                orjson.dumps(body),
                timeout_s=command.wait_ms / 1000 + POLL_GRACE_S,
                headers=(f"{INSTANCE_HEADER}: {command.worker_id}",),
            )
        except CallNotSentError:
            return attrs.evolve(failed, renewed=False)
        except CallUnansweredError:
            return failed
        if response.status == 409:
            raise OldEpochError(command.worker_id)
        if response.status != 200:
            return failed
        answer = decode_answer(command.worker_id, sent_ms, response.body)
        response.connection.verified = True
        return answer

    async def _send(
        self, command: StartRun | StopRun | ThrottleRun, path: str, body: dict
    ) -> tuple[CallOutcome, bytes]:
        """Send a call; return its outcome and the answer's body, empty without one."""
        try:
            response = await self.client.call(
                command.address,
                "POST",
                path,
                orjson.dumps(body),
                timeout_s=CALL_TIMEOUT_S,
                headers=(f"{INSTANCE_HEADER}: {command.worker_id}",),
            )
        except CallNotSentError:
            return CallOutcome.NOT_SENT, b""
        except CallUnansweredError:
            return CallOutcome.UNANSWERED, b""
        outcome = CallOutcome.UNANSWERED
        if response.status == 200:
            outcome = CallOutcome.DONE
        elif response.status == 409:
            reason = decode_reason(response.body)
            outcome = REFUSAL_OUTCOMES.get(reason, CallOutcome.REFUSED)
        elif response.status in (400, 421, 429, 503):
            outcome = CallOutcome.REFUSED
        return outcome, response.body
