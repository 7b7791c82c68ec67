"""Recent refusals of requests, kept to explain them on demand."""

import collections

from attrs import Factory, define

from poplarlb.protocol import api
from poplarlb.state.models import Alternative, Decision

REFUSALS_KEPT = 1_000


@define
class RefusalLog:
    """Keeps the latest refusals of one shard, in memory only."""

    decisions: collections.deque[Decision] = Factory(
        lambda: collections.deque(maxlen=REFUSALS_KEPT)
    )

    def record(
        self,
        request_id: str,
        fault: api.Fault,
        alternatives: list[Alternative],
        now_ms: int,
        epoch: int,
        view_version: int,
    ) -> None:
        """Record why a request was refused, with endpoints of its service."""
        self.decisions.append(
            Decision(
                f"request/{request_id}",
                "refuse",
                fault.reason,
                now_ms,
                epoch,
                view_version,
                detail=fault.detail,
                alternatives=tuple(alternatives),
            )
        )

    def find(self, subject: str) -> tuple[Decision, ...]:
        """Return the recorded decisions on a subject, oldest first."""
        return tuple(item for item in self.decisions if item.subject == subject)
