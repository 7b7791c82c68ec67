"""Calls to workers, decoded into the product's events."""

from typing import Any

import attrs
import orjson
from attrs import define

from poplarlb.coordination.jobs.events import (
    CallOutcome,
    Look,
    LookAnswered,
    LookFailed,
    PaceAnswered,
    PaceRun,
    StartAnswered,
    StartRun,
    StopAnswered,
    StopRun,
)
from poplarlb.exceptions import (
    BadAnswerError,
    CallNotSentError,
    CallUnansweredError,
    OldEpochError,
)
from poplarlb.platform.wire import decode_ended, decode_running
from poplarlb.transport.http_client import HttpClient

CALL_TIMEOUT_S = 1.0  # a worker answers at once; it is asked again after this
LOOK_GRACE_S = 0.8  # beyond the time that a look may wait
INSTANCE_HEADER = "X-Poplarlb-Expect-Instance"
REASONS = {
    "fence": CallOutcome.OLD_EPOCH,
    "old": CallOutcome.OLD_RUN,
    "late": CallOutcome.LEASE_OVER,
    "room": CallOutcome.NO_ROOM,
    "ticket": CallOutcome.NO_TICKET,
}


@define
class PlatformWorkers:
    """Sends typed commands to workers and returns typed events."""

    client: HttpClient

    async def start(self, command: StartRun, sent_ms: int) -> StartAnswered:
        """Send a start."""
        body = {
            "task": command.task,
            "run": command.run,
            "spec": command.payload,
            "untilMs": command.lease_end_ms,
            "fence": command.epoch,
        }
        if command.saved:
            body["saved"] = command.saved
        if command.ticket:
            body["ticket"] = command.ticket
        outcome = await self._order(command, "/v1/run-start", body)
        return StartAnswered(
            command.worker_id, command.task, command.run, sent_ms, outcome
        )

    async def stop(self, command: StopRun, sent_ms: int) -> StopAnswered:
        """Send a stop."""
        body = {"task": command.task, "run": command.run, "fence": command.epoch}
        outcome = await self._order(command, "/v1/run-stop", body)
        return StopAnswered(
            command.worker_id, command.task, command.run, sent_ms, outcome
        )

    async def pace(self, command: PaceRun) -> PaceAnswered:
        """Send a pace."""
        body = {
            "task": command.task,
            "run": command.run,
            "percent": command.percent,
            "fence": command.epoch,
        }
        outcome = await self._order(command, "/v1/pace", body)
        return PaceAnswered(
            command.worker_id, command.task, command.run, command.percent, outcome
        )

    async def look(self, command: Look, sent_ms: int) -> LookAnswered | LookFailed:
        """Ask for a worker's lists.

        A new connection may reach a later life of the worker, where an acknowledgement
        or a lease of the earlier one would be wrong; it begins with a plain look.

        :raises OldEpochError: the worker has seen a higher epoch.
        """
        if not self.client.has_connection(command.address):
            command = attrs.evolve(command, seen=None, lease_end_ms=None, wait_ms=0)
        body: dict[str, Any] = {"fence": command.epoch}
        if command.seen is not None:
            body["lastSeen"] = command.seen
        if command.lease_end_ms is not None:
            body["untilMs"] = command.lease_end_ms
        if command.wait_ms:
            body["waitMs"] = command.wait_ms
        try:
            answer = await self.client.call(
                command.address,
                "POST",
                "/v1/hold",
                orjson.dumps(body),
                timeout_s=command.wait_ms / 1000 + LOOK_GRACE_S,
                headers=(f"{INSTANCE_HEADER}: {command.worker_id}",),
            )
            if answer.status == 409:
                raise OldEpochError(command.worker_id)
            if answer.status != 200:
                return LookFailed(command.worker_id, sent_ms)
            row = orjson.loads(answer.body)
            return LookAnswered(
                command.worker_id,
                sent_ms,
                int(row.get("born") or 0),
                int(row["clockMs"]),
                decode_running(row.get("running")),
                decode_ended(row.get("ended")),
            )
        except (CallNotSentError, CallUnansweredError):
            return LookFailed(command.worker_id, sent_ms)
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
            raise BadAnswerError(f"{command.worker_id}: {error}") from error

    async def _order(
        self, command: StartRun | StopRun | PaceRun, path: str, body: dict
    ) -> CallOutcome:
        try:
            answer = await self.client.call(
                command.address,
                "POST",
                path,
                orjson.dumps(body),
                timeout_s=CALL_TIMEOUT_S,
                headers=(f"{INSTANCE_HEADER}: {command.worker_id}",),
            )
        except CallNotSentError:
            return CallOutcome.NOT_SENT
        except CallUnansweredError:
            return CallOutcome.UNANSWERED
        if answer.status == 200:
            return CallOutcome.DONE
        if answer.status == 409:
            return REASONS.get(read_reason(answer.body), CallOutcome.REFUSED)
        if answer.status in (400, 421, 429, 503):
            return CallOutcome.REFUSED
        return CallOutcome.UNANSWERED


def read_reason(body: bytes) -> str:
    """Return why a worker refused; empty if it didn't say."""
    try:
        return str(orjson.loads(body).get("reason", ""))
    except (orjson.JSONDecodeError, AttributeError):
        return ""
