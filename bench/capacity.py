"""Costs of a daemon at the target size, extrapolated from measured slopes.

A slope is the cost of one unit, such as a call, a task or a worker. ``python -m
bench.capacity`` measures the slopes on this machine (about six minutes) and prints the
tables; ``--saved`` uses the figures that the last run saved.
"""

import argparse
import datetime
import importlib

from attrs import define, frozen

from bench.rows import load_rows

WORKERS = 1_600
ZONES = 11
SERVICE_TASKS = 5_500
BATCH_TASKS = 14_000
JOBS_PER_DAY = 20_000
STARTS_PER_S = 200
TEAMS = 130
CHANGES_PER_DAY = 3_100
HOST_EVENTS_PER_DAY = 22 + 82
DAY_S = 86_400
RENEWAL_PERIOD_S = 10
TICKS_PER_S = 5
COMMITS_PER_S = 5
CPU_LIMIT_MS_PER_S = 19.0
BYTES_LIMIT_PER_S = 19_000
MEMORY_LIMIT_MB = 256
STORE_READS_PER_S = 2_000
STORE_WRITES_PER_S = 400
MODULES = ("store", "shard", "transport", "config", "decisions", "daemon")
SHARDS_PER_ZONE = (2, 4, 6, 8)
REPORT_TASKS = 12


@frozen
class Cost:
    """The cost of one role of a daemon: its state, and its use per second."""

    role: str
    mechanism: str
    state_kb: float
    messages_per_s: float
    cpu_ms_per_s: float
    bytes_per_s: float


@define
class Slopes:
    """The measured slopes by row name."""

    values: dict[str, float]

    @classmethod
    def load(cls) -> "Slopes":
        """Load the saved rows of all modules."""
        values: dict[str, float] = {}
        for name in MODULES:
            values.update(load_rows(name))
        return cls(values)

    def __getitem__(self, name: str) -> float:
        """Return the slope of a row name."""
        return self.values[name]


@frozen
class ShardPlan:
    """The target size divided into shards, with one shard on each daemon."""

    shards_per_zone: int

    @property
    def shards(self) -> int:
        """The number of shards and of daemons."""
        return self.shards_per_zone * ZONES

    @property
    def workers(self) -> float:
        """The number of workers of one shard."""
        return WORKERS / self.shards

    @property
    def tasks(self) -> float:
        """The number of running tasks of one shard."""
        return (SERVICE_TASKS + BATCH_TASKS) / self.shards

    @property
    def starts_per_s(self) -> float:
        """The peak rate of starts of one shard."""
        return STARTS_PER_S / self.shards


def shard_owner(slopes: Slopes, plan: ShardPlan) -> Cost:
    """Return the cost of a shard: renewals with reports, ticks and its journal."""
    renewals = plan.workers / RENEWAL_PERIOD_S
    # The cost of a report grows with its tasks; it was measured with REPORT_TASKS.
    renewal_ms = (
        slopes[f"renewal, {REPORT_TASKS} tasks: processor time"]
        + slopes["shard.renewal_12_tasks"]
    ) / 1_000
    tick_ms = _tick_ms(slopes, plan.workers)
    jobs_per_s = JOBS_PER_DAY / DAY_S / plan.shards
    cpu_ms = (
        renewals * renewal_ms + TICKS_PER_S * tick_ms + jobs_per_s * _start_ms(slopes)
    )
    moved_bytes = renewals * slopes[f"renewal, {REPORT_TASKS} tasks: bytes both ways"]
    moved_bytes += jobs_per_s * _start_bytes(slopes)
    state = (
        plan.tasks * slopes["shard.memory_per_task"]
        + plan.workers * slopes["shard.memory_per_worker"]
    )
    return Cost(
        "shard owner",
        "one call per worker renews all its leases; group commit",
        state / 1_000,
        renewals + jobs_per_s * 3,
        cpu_ms,
        moved_bytes,
    )


def _tick_ms(slopes: Slopes, workers: float) -> float:
    small, large = "shard.25_workers.tick", "shard.100_workers.tick"
    slope = (slopes[large] - slopes[small]) / 75
    return (slopes[small] + slope * (workers - 25)) / 1_000


def _start_ms(slopes: Slopes) -> float:
    writes = 3
    spent_us = (
        slopes["shard.accept_place_start"]
        + writes * slopes["store write, 1 KB: processor time"]
        + slopes[f"start, {REPORT_TASKS} tasks: processor time"]
    )
    return spent_us / 1_000


def _start_bytes(slopes: Slopes) -> float:
    body = 2 * slopes["shard.journal_per_task_started"]
    return body + slopes[f"start, {REPORT_TASKS} tasks: bytes both ways"]


def membership(slopes: Slopes) -> Cost:
    """Return the cost of leases, owner records and gossip, measured with 60 daemons."""
    label = "44 shards 60 daemons idle"
    calls = (
        slopes[f"{label} store reads"] + slopes[f"{label} store writes and lease calls"]
    )
    # Two reads of each daemon are configuration polls, which config_view counts.
    calls = calls / 60 - 2
    heartbeats = (
        slopes[f"{label} peer bytes"] / 2 / slopes["heartbeat without summaries"]
    )
    cpu_us = calls * slopes["store read: processor time"]
    cpu_us += heartbeats * slopes["peer message, both ends: processor time"]
    held_bytes = 60 * slopes["heartbeat without summaries"]
    held_bytes += 44 * slopes["shard summary without endpoints"]
    store_bytes = slopes[f"{label} store bytes"] - 2 * slopes["store call headers"]
    return Cost(
        "membership",
        "store lease, range reads of changes, gossip within a byte budget",
        held_bytes / 1_000,
        calls + 2 * heartbeats,
        cpu_us / 1_000,
        store_bytes + slopes[f"{label} peer bytes"],
    )


def config_view(slopes: Slopes) -> Cost:
    """Return the cost of confirming the configuration view and applying changes."""
    polls = 2.0
    cpu_ms = polls * slopes["store read: processor time"] / 1_000
    cpu_ms += slopes["config.changes_processor"] * 10
    moved_bytes = polls * slopes["store read: bytes both ways"]
    moved_bytes += slopes["config.changes_bodies_per_daemon"]
    return Cost(
        "config view",
        "head polled by revision; one part per team, read when its reference changes",
        slopes["config.view"] / 1_000,
        polls + 2 * CHANGES_PER_DAY / DAY_S,
        cpu_ms,
        moved_bytes,
    )


def process_base(slopes: Slopes) -> Cost:
    """Return what an idle daemon uses beyond the slopes: loop, threads, servers.

    The figures are from ``bench.daemon``: three daemons with seven workers each.
    """
    explained_us = (
        slopes["store calls, idle"] * slopes["store read: processor time"]
        + slopes["host list, unchanged: processor time"]
        + 7 / RENEWAL_PERIOD_S * slopes["renewal, 12 tasks: processor time"]
        + 4 * slopes["peer message, both ends: processor time"]
    )
    used_ms = slopes["idle processor share, median"] * 10
    return Cost(
        "process",
        "one loop, waiting pool threads, idle servers",
        slopes["resident memory, largest"] * 1_000,
        0,
        used_ms - explained_us / 1_000,
        0,
    )


def gateway(slopes: Slopes) -> Cost:
    """Return the cost of a gateway without requests."""
    changes_per_s = 2 * HOST_EVENTS_PER_DAY / DAY_S
    cpu_ms = slopes["host list, unchanged: processor time"] / 1_000
    cpu_ms += changes_per_s * slopes["host list, changed: processor time"]
    moved_bytes = slopes["host list, unchanged: bytes both ways"]
    moved_bytes += changes_per_s * slopes["host list, changed: bytes"]
    return Cost(
        "gateway, idle",
        "host list once a second, by entity tag; requests are not control traffic",
        slopes["host list, held"],
        1.0,
        cpu_ms,
        moved_bytes,
    )


def table(slopes: Slopes, plan: ShardPlan) -> list[Cost]:
    """Return the costs of all roles on one daemon."""
    return [
        process_base(slopes),
        gateway(slopes),
        shard_owner(slopes, plan),
        config_view(slopes),
        membership(slopes),
    ]


def print_table(slopes: Slopes, plan: ShardPlan) -> None:
    """Print the table of one shard plan."""
    costs = table(slopes, plan)
    print(f"\n{plan.shards} shards and daemons, {plan.workers:.1f} workers a shard\n")
    print("| role | mechanism | state KB | messages/s | CPU ms/s | B/s |")
    print("| --- | --- | ---: | ---: | ---: | ---: |")
    for cost in costs:
        print(
            f"| {cost.role} | {cost.mechanism} | {cost.state_kb:.0f} "
            f"| {cost.messages_per_s:.1f} | {cost.cpu_ms_per_s:.1f} "
            f"| {cost.bytes_per_s:.0f} |"
        )
    cpu_ms = sum(cost.cpu_ms_per_s for cost in costs)
    moved_bytes = sum(cost.bytes_per_s for cost in costs)
    memory = sum(cost.state_kb for cost in costs) / 1_000
    print(
        f"| **sum** | | | | {cpu_ms:.1f} of {CPU_LIMIT_MS_PER_S} "
        f"| {moved_bytes:.0f} of {BYTES_LIMIT_PER_S} |"
    )
    peak = plan.starts_per_s
    print(f"\nmemory: {memory:.0f} of {MEMORY_LIMIT_MB} MB")
    print(
        f"at {STARTS_PER_S} starts/s, on top: {peak * _start_ms(slopes):.1f} ms/s, "
        f"{peak * _start_bytes(slopes):.0f} B/s a daemon, for "
        f"{JOBS_PER_DAY / STARTS_PER_S:.0f} s a day at most"
    )
    print_store(slopes, plan)


def print_store(slopes: Slopes, plan: ShardPlan) -> None:
    """Print the rates of store calls and their limits."""
    idle = "44 shards 60 daemons idle"
    reads = slopes[f"{idle} store reads"] / 60 * plan.shards
    writes = slopes[f"{idle} store writes and lease calls"] / 60 * plan.shards
    peak = min(STARTS_PER_S * 3, plan.shards * COMMITS_PER_S)
    print(
        f"store: {reads:.0f} of {STORE_READS_PER_S} reads/s; {writes:.0f} writes and "
        f"lease calls/s at rest, {writes + peak:.0f} at the peak of starts "
        f"(of about {STORE_WRITES_PER_S})"
    )


def measure() -> None:
    """Run the benchmarks that measure the slopes."""
    for name in MODULES:
        importlib.import_module(f"bench.{name}").main()


def main() -> None:
    """Print the tables for several numbers of shards per zone."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--saved", action="store_true")
    if not parser.parse_args().saved:
        measure()
    slopes = Slopes.load()
    print(f"\npython -m bench.capacity, {datetime.date.today().isoformat()}")
    for count in SHARDS_PER_ZONE:
        print_table(slopes, ShardPlan(count))


if __name__ == "__main__":
    main()
