"""An operator's change of the configuration, and the head that results from it.

The stored configuration is one head record, which refers to parts: records with one
team's template each. A change reads the head, writes its new parts, and then replaces
the head by compare-and-swap. It ends when a head shows the outcome of the change, or
by timeout.
"""

import enum
import hashlib

from attrs import Factory, define, evolve, frozen

from poplarlb.protocol import api, codec
from poplarlb.state.models import Reason, ZoneState
from poplarlb.state.templates import (
    ChangeRecord,
    ConfigHead,
    PartRef,
    TeamTemplate,
    ZoneEntry,
)

REMEMBERED_CHANGES = 32
CHANGE_TIMEOUT_MS = 12_000
DIGEST_BYTES = 4

ConfigChange = api.ApplyTemplates | api.SetZone


class Step(enum.Enum):
    """The store call that a change waits for."""

    HEAD_READ = enum.auto()
    PARTS_WRITTEN = enum.auto()
    HEAD_WRITTEN = enum.auto()


@frozen
class Proposal:
    """A head to replace ``base``, and the new parts that it refers to.

    ``base_revision`` is the store version of the ``base`` record.
    """

    base: ConfigHead
    base_revision: int
    head: ConfigHead
    parts: tuple[tuple[PartRef, TeamTemplate], ...] = ()


@define
class ChangeInProgress:
    """An operator's change that has not been answered.

    A read sent before ``read_after_ms`` does not show the outcome of the change.
    ``calls`` are the ids of its writes in flight. ``outcome_unknown`` is set while
    a write of the head may have taken effect, or may still do so.
    """

    call_id: int
    body: ConfigChange
    started_ms: int
    read_after_ms: int
    step: Step = Step.HEAD_READ
    proposal: Proposal | None = None
    calls: set[int] = Factory(set)
    outcome_unknown: bool = False

    def expired(self, now_ms: int) -> bool:
        """Return whether the change has timed out."""
        return now_ms - self.started_ms >= CHANGE_TIMEOUT_MS

    def read_again(self, now_ms: int) -> None:
        """Read the head again before anything else is written."""
        self.step = Step.HEAD_READ
        self.read_after_ms = now_ms
        self.calls.clear()

    def evaluate(self, head: ConfigHead, revision: int, now_ms: int) -> api.ApiResult:
        """Compare the change with a head that was read after the change's last write.

        Return the final answer, or ``Done`` if ``proposal`` is to be written: a new
        one, or the last one again if its write has an unknown outcome and the head
        is still the one to replace.
        """
        digest = digest_of(self.body)
        record = head.find_change(self.body.change_id)
        if record is not None and record.digest == digest:
            return api.ConfigChanged(record.version)
        if record is not None:
            return api.Fault(
                "conflict",
                Reason.TEMPLATE_CHANGED,
                f"change id {record.change_id} was used for another change: "
                f"{describe(record)}",
            )
        if self.outcome_unknown and self.proposal.base_revision == revision:
            return api.Done()
        if self.outcome_unknown and not head.has_changes_since(
            self.proposal.base.version
        ):
            return api.Fault(
                "outcome_unknown",
                Reason.TEMPLATE_CHANGED,
                f"now at version {head.version}; too many changes since then to tell "
                "whether this change was applied",
            )
        self.outcome_unknown = False
        fault = check_base(self.body, head)
        if fault is not None:
            return fault
        self.proposal = propose(self.body, head, revision, now_ms)
        return api.Done()


def check_base(body: ConfigChange, head: ConfigHead) -> api.Fault | None:
    """Return a fault if the change is based on another version than the head's.

    It is a conflict, or ``outcome_unknown`` if the head no longer lists all changes
    since the base version. A ``SetZone`` has no base version.
    """
    if isinstance(body, api.SetZone) or body.base_version == head.version:
        return None
    if not head.has_changes_since(body.base_version):
        return api.Fault(
            "outcome_unknown",
            Reason.TEMPLATE_CHANGED,
            f"now at version {head.version}; version {body.base_version} is too old "
            "to tell whether this change was applied: show the templates",
        )
    newer = [record for record in head.changes if record.version > body.base_version]
    described = "; ".join(describe(record) for record in newer)
    return api.Fault(
        "conflict",
        Reason.TEMPLATE_CHANGED,
        f"now at version {head.version}, not {body.base_version}: {described}",
    )


def describe(record: ChangeRecord) -> str:
    """Return who changed what and when, as text for an operator."""
    return (
        f"version {record.version} by {record.operator} at {record.at_ms} ms UTC "
        f"({record.summary}, change {record.change_id})"
    )


def digest_of(body: ConfigChange) -> str:
    """Return a short digest of a change's content."""
    data = codec.encode(body, type(body))
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def propose(
    body: ConfigChange, head: ConfigHead, revision: int, now_ms: int
) -> Proposal:
    """Return the head that results from a change of ``head``, and its new parts."""
    match body:
        case api.SetZone(zone=zone, state=state):
            changed = _with_zone(head, ZoneEntry(zone, state, now_ms, body.operator))
            verb = "out" if state is ZoneState.OUT else "in"
            summary = f"zone {zone} {verb}"
            parts = ()
        case api.ApplyTemplates(teams=teams, removed=removed):
            name = f"{body.change_id}.{digest_of(body)}"
            parts = tuple((PartRef(team.team, name), team) for team in teams)
            changed = _with_parts(head, tuple(ref for ref, _ in parts), removed)
            summary = _summarize(body)
    record = ChangeRecord(
        body.change_id,
        head.version + 1,
        body.operator,
        now_ms,
        summary,
        digest_of(body),
    )
    records = (*head.changes, record)[-REMEMBERED_CHANGES:]
    changed = evolve(changed, version=head.version + 1, changes=records)
    return Proposal(head, revision, changed, parts)


def _with_zone(head: ConfigHead, entry: ZoneEntry) -> ConfigHead:
    kept = tuple(item for item in head.zones if item.zone != entry.zone)
    zones = sorted((*kept, entry), key=lambda item: item.zone)
    return evolve(head, zones=tuple(zones))


def _with_parts(
    head: ConfigHead, refs: tuple[PartRef, ...], removed: tuple[str, ...]
) -> ConfigHead:
    named = {ref.team for ref in refs} | set(removed)
    kept = tuple(ref for ref in head.parts if ref.team not in named)
    parts = sorted((*kept, *refs), key=lambda ref: ref.team)
    return evolve(head, parts=tuple(parts))


def _summarize(body: api.ApplyTemplates) -> str:
    applied = [team.team for team in body.teams]
    removed = [f"-{team}" for team in body.removed]
    names = [*applied, *removed]
    shown = ", ".join(names[:3])
    more = f" and {len(names) - 3} more" if len(names) > 3 else ""
    return f"templates {shown}{more}"
