"""The request slots in use at a shard's workers, and those unknown to a new owner.

A slot is the right to send one request to a worker; the shard's owner grants slots to
the gateways, one in each daemon.
"""

from attrs import Factory, define, frozen

from poplarlb.coordination.requests.grants import GRANT_GRACE_MS
from poplarlb.protocol import messages

ServiceKey = tuple[str, str]


@frozen
class GrantedSlot:
    """A request slot that a gateway may use until ``free_by_ms`` at the latest."""

    request_id: str
    worker_id: str
    service: ServiceKey
    gateway: str
    free_by_ms: int


@define
class Takeover:
    """Records which members may use slots that the new owner doesn't know of.

    The members are asked to report the slots that earlier owners granted them, again
    from ``next_send_ms``. ``unreported`` maps a member to the time by which its earlier
    grants have ended in any case; ``reported`` holds those that have answered.
    """

    unreported: dict[str, int] = Factory(dict)
    reported: set[str] = Factory(set)
    previous_owner: str = ""
    next_send_ms: int = 0

    def is_reported(self, member_id: str) -> bool:
        """Return whether every slot that a member uses now is known."""
        return member_id in self.reported or member_id not in self.unreported

    def drop_expired_members(self, now_ms: int) -> None:
        """Remove the unreported members whose earlier grants have ended."""
        expired = [name for name, end_ms in self.unreported.items() if now_ms >= end_ms]
        for name in expired:
            del self.unreported[name]


@define
class SlotTable:
    """Every slot in use, counted by worker and by gateway.

    ``in_use`` counts the slots of each worker, ``in_use_by_gateway`` those that each
    gateway uses at each worker.
    """

    granted: dict[tuple[str, str], GrantedSlot] = Factory(dict)
    in_use: dict[str, int] = Factory(dict)
    in_use_by_gateway: dict[tuple[str, str], int] = Factory(dict)

    def find(self, request_id: str, worker_id: str) -> GrantedSlot | None:
        """Return a request's slot at a worker, or ``None``."""
        return self.granted.get((request_id, worker_id))

    def used_at(self, worker_id: str) -> int:
        """Return how many of a worker's slots are in use."""
        return self.in_use.get(worker_id, 0)

    def used_by(self, gateway: str, worker_id: str) -> int:
        """Return how many of a worker's slots one gateway uses."""
        return self.in_use_by_gateway.get((gateway, worker_id), 0)

    def hold(self, slot: GrantedSlot) -> None:
        """Count a slot as in use."""
        self.granted[(slot.request_id, slot.worker_id)] = slot
        self.in_use[slot.worker_id] = self.in_use.get(slot.worker_id, 0) + 1
        key = (slot.gateway, slot.worker_id)
        self.in_use_by_gateway[key] = self.in_use_by_gateway.get(key, 0) + 1

    def release(self, slot: GrantedSlot) -> None:
        """Count a slot as free again."""
        del self.granted[(slot.request_id, slot.worker_id)]
        for counts, key in (
            (self.in_use, slot.worker_id),
            (self.in_use_by_gateway, (slot.gateway, slot.worker_id)),
        ):
            counts[key] -= 1
            if not counts[key]:
                del counts[key]

    def expired(self, now_ms: int) -> list[GrantedSlot]:
        """Return the slots that their gateways have not released in time."""
        return [slot for slot in self.granted.values() if now_ms >= slot.free_by_ms]

    def outstanding(self) -> tuple[messages.OutstandingGrant, ...]:
        """Return every slot in use, as reported to a new owner."""
        return tuple(
            messages.OutstandingGrant(
                slot.request_id,
                slot.worker_id,
                slot.free_by_ms - GRANT_GRACE_MS,
                slot.gateway,
            )
            for slot in self.granted.values()
        )
