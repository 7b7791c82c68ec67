"""The tasks that keep services running: one for each replica wanted."""

from poplarlb.state.models import TaskKey, TaskSpec, WorkClass
from poplarlb.state.templates import ConfigView, ServiceTemplate, TeamTemplate

REPLICA_PREFIX = "service."


def replica_key(team: str, service: str, number: int) -> TaskKey:
    """Return the key of a replica's task; callers can't submit such ids."""
    return TaskKey(team, f"{REPLICA_PREFIX}{service}.{number}")


def replicas_wanted(view: ConfigView) -> list[TaskSpec]:
    """Return a task for each replica that the templates ask for."""
    return [
        _replica(team, service, number)
        for team in view.teams
        for service in team.services
        for number in range(service.replicas)
    ]


def _replica(team: TeamTemplate, service: ServiceTemplate, number: int) -> TaskSpec:
    return TaskSpec(
        replica_key(team.team, service.name, number),
        WorkClass.LATENCY_CRITICAL,
        service.size,
        service=service.name,
        zones=team.zones,
        checkpointable=False,
    )
