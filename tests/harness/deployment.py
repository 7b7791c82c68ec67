"""Builds a small deployment in a world: settings, templates and jobs."""

from attrs import evolve

from poplarlb.protocol import api
from poplarlb.settings import (
    ConfigSettings,
    JournalSettings,
    MemberSettings,
    Settings,
    ShardSettings,
    TaskSettings,
)
from poplarlb.state.models import Resources, TaskKey, TaskSpec, WorkClass, ZoneState
from poplarlb.state.templates import ServiceTemplate, TeamTemplate
from tests.harness.world import World

QUOTA = Resources(1_000_000, 4_000_000, 64)


def make_settings(zones: tuple[str, ...], shards_per_zone: int = 1) -> Settings:
    """Return settings with short leases and small journals, so that runs stay short."""
    return Settings(
        "unnamed",
        zones[0],
        members=MemberSettings(orphan_horizon_ms=60_000),
        shards=ShardSettings(zones, shards_per_zone),
        journal=JournalSettings(ring_slots=8, snapshot_every=3),
        tasks=TaskSettings(lease_ms=6_000, renew_period_ms=2_000),
        config=ConfigSettings(),
    )


def make_team(
    team: str,
    zones: tuple[str, ...],
    services: tuple[tuple[str, int], ...] = (),
    quota: Resources = QUOTA,
) -> TeamTemplate:
    """Return a team's template; each replica of its services takes one processor."""
    return TeamTemplate(
        team,
        zones,
        quota,
        services=tuple(
            ServiceTemplate(name, replicas, Resources(1_000, 500))
            for name, replicas in services
        ),
    )


def make_job(
    world: World,
    name: str,
    work_class: WorkClass = WorkClass.ORDINARY,
    size: Resources | None = None,
    run_time_ms: int = 3_000,
    zones: tuple[str, ...] = (),
) -> TaskSpec:
    """Return a batch job; ``name`` is ``team/id``."""
    team, _, task_id = name.partition("/")
    return TaskSpec(
        TaskKey(team, task_id),
        work_class,
        size or Resources(1_000, 500),
        run_time_ms,
        work_class.value,
        zones=zones,
        submitted_ms=world.now_ms,
    )


def apply_team(world: World, daemon: str, team: TeamTemplate) -> api.ApiResult | None:
    """Apply a template to the newest configuration that the daemon knows."""
    version = world.daemons[daemon].node.context.view.version
    change = api.ApplyTemplates(
        f"c{world.now_ms}-{daemon}", f"operator-{daemon}", version, (team,)
    )
    return world.ask_and_wait(daemon, change)


def set_zone(world: World, daemon: str, zone: str, out: bool) -> None:
    """Take a zone out or bring it back, without waiting for the answer."""
    state = ZoneState.OUT if out else ZoneState.IN
    change_id = f"z{world.now_ms}-{daemon}"
    world.ask(daemon, api.SetZone(change_id, f"operator-{daemon}", zone, state))


def make_world(
    zones: tuple[str, ...], daemons: int, workers: int, seed: int = 0
) -> World:
    """Return a world of running daemons, with ``workers`` workers in each zone."""
    world = World(make_settings(zones), seed)
    for zone in zones:
        world.add_workers(zone, workers, Resources(8_000, 16_000, 1))
    for number in range(daemons):
        world.start(f"d{number + 1}", zones[number % len(zones)])
    return world


def change_settings(world: World, path: str, value: int) -> None:
    """Set a number, such as ``tasks.lease_ms``, for daemons that start later."""
    section, _, name = path.partition(".")
    table = evolve(getattr(world.settings, section), **{name: value})
    world.settings = evolve(world.settings, **{section: table})
