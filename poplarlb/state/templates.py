"""The configuration in force: each team's template, and the zones' states.

These templates are complete: the parameters in an operator's template files have been
replaced by their values.
"""

from attrs import frozen

from poplarlb.state.models import Resources, WorkClass, ZoneState


@frozen
class ServiceTemplate:
    """A team's latency-critical service, whose SLO target is protected.

    Records of idempotency keys are kept for ``key_window_ms``, with ``durability``
    ``two-daemons`` at the shard's owner and its backup daemon, with ``memory`` at the
    owner only. ``queue_limit`` bounds the requests that wait for an endpoint.
    """

    name: str
    replicas: int
    size: Resources
    target_ms: int = 100
    weight: float = 1.0
    idempotent: bool = True
    key_window_ms: int = 600_000
    queue_limit: int = 256
    durability: str = "two-daemons"


@frozen
class BatchTemplate:
    """Defaults and limits for one kind of a team's batch work."""

    name: str
    work_class: WorkClass
    size: Resources
    run_time_ms: int = 60_000
    max_wait_ms: int = 86_400_000
    checkpointable: bool = True


@frozen
class TeamTemplate:
    """The whole configuration of one team."""

    team: str
    zones: tuple[str, ...]
    quota: Resources
    weight: float = 1.0
    services: tuple[ServiceTemplate, ...] = ()
    batch: tuple[BatchTemplate, ...] = ()


@frozen
class ZoneEntry:
    """The state of one availability zone, and when and by whom it was set."""

    zone: str
    state: ZoneState
    changed_ms: int = 0
    changed_by: str = ""


@frozen
class ChangeRecord:
    """An operator's change, as the configuration's head records it.

    ``digest`` is that of the change's content; it distinguishes a repetition from
    another change with the same id.
    """

    change_id: str
    version: int
    operator: str
    at_ms: int
    summary: str
    digest: str = ""


@frozen
class PartRef:
    """A reference to the stored part, a record of its own, with a team's template."""

    team: str
    part: str


@frozen
class ConfigHead:
    """The single record that determines which templates and zone states are in force.

    ``changes`` are the latest changes, oldest first. They show whether a change whose
    answer was lost was made.
    """

    version: int = 0
    parts: tuple[PartRef, ...] = ()
    zones: tuple[ZoneEntry, ...] = ()
    changes: tuple[ChangeRecord, ...] = ()

    def find_change(self, change_id: str) -> ChangeRecord | None:
        """Return the record of a change by its id, or ``None`` if it isn't kept."""
        return next((n for n in self.changes if n.change_id == change_id), None)

    def has_changes_since(self, version: int) -> bool:
        """Return whether ``changes`` holds every change after ``version``."""
        return self.version - version <= len(self.changes)


@frozen
class ConfigView:
    """The whole effective configuration at one version; versions only increase."""

    version: int = 0
    teams: tuple[TeamTemplate, ...] = ()
    zones: tuple[ZoneEntry, ...] = ()
    changes: tuple[ChangeRecord, ...] = ()

    def team(self, name: str) -> TeamTemplate | None:
        """Return a team's template, or ``None``."""
        return next((item for item in self.teams if item.team == name), None)

    def service(self, team: str, name: str) -> ServiceTemplate | None:
        """Return the template of a team's service, or ``None``."""
        found = self.team(team)
        if found is None:
            return None
        return next((item for item in found.services if item.name == name), None)

    def zone_allows_starts(self, zone: str) -> bool:
        """Return whether operators allow starts in a zone."""
        state = next((e.state for e in self.zones if e.zone == zone), ZoneState.IN)
        return state is ZoneState.IN
