"""Keeps services running with one task for each replica that the templates ask for.

A team's template, set by operators, lists its services and their numbers of replicas.
"""

from attrs import define

from poplarlb.coordination.workers.home_tasks import REPLICA_PREFIX, HomeTasks
from poplarlb.state.models import Reason, TaskKey, TaskPhase, TaskSpec, WorkClass
from poplarlb.state.templates import ConfigView, ServiceTemplate, TeamTemplate


def replica_key(team: str, service: str, number: int) -> TaskKey:
    """Return the key of a replica's task; its id is reserved, callers can't use it."""
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


@define
class ReplicaController:
    """Accepts and cancels the replicas whose home is this shard.

    ``wanted`` holds the tasks that ``applied_view``, the configuration, asks for.
    """

    home: HomeTasks
    applied_view: ConfigView | None = None
    wanted: dict[TaskKey, TaskSpec] | None = None

    def tick(self) -> None:
        """Reconcile the replicas with recently confirmed templates."""
        core = self.home.core
        view = core.context.view
        if not view.version or not core.context.view_is_fresh(core.now_ms):
            return
        if view is not self.applied_view:
            self.applied_view = view
            self.wanted = {
                spec.key: spec
                for spec in replicas_wanted(view)
                if core.shards.home_of_task(spec.key) == core.shard
            }
        for key in list(core.state.replicas):
            if key not in self.wanted:
                self.home.cancel(core.state.tasks[key], Reason.TEMPLATE_CHANGED)
        for spec in self.wanted.values():
            self._reconcile(spec)

    def _reconcile(self, spec: TaskSpec) -> None:
        record = self.home.core.state.tasks.get(spec.key)
        if record is None:
            self.home.accept(spec)
        elif record.phase is TaskPhase.ENDED:
            self.home.accept(spec, record.number)
        elif record.spec != spec and not self._is_replacing(spec):
            self.home.cancel(record, Reason.TEMPLATE_CHANGED)

    def _is_replacing(self, spec: TaskSpec) -> bool:
        """Return whether another replica of the service is not running now.

        A replica is then not cancelled for its replacement: this is done one at a time.
        """
        tasks = self.home.core.state.tasks
        others = (
            tasks[key].phase
            for key, other in self.wanted.items()
            if key != spec.key
            and key in tasks
            and (other.key.team, other.service) == (spec.key.team, spec.service)
        )
        return any(phase is not TaskPhase.RUNNING for phase in others)
