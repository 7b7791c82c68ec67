"""Checks the guarantees, only from what workers, callers and operators observed."""

import itertools

from attrs import frozen

from poplarlb.protocol import api
from poplarlb.state.models import HostState, Resources, ZoneState
from tests.harness.world import AnsweredCall, ReportedSuccess, World
from tests.standins.worker import HistoryRow, WorkerModel

ZONE_BOUND_MS = 3_000
LEAVING_BOUND_MS = 3_000
VIEW_BOUND_MS = 6_000
END_EVENTS = ("succeeded", "failed", "stopped", "lapsed", "crashed")


@frozen
class Violation:
    """A guarantee that was violated, and the evidence."""

    guarantee: str
    detail: str


def check_guarantees(world: World) -> list[Violation]:
    """Return every violation of the run so far."""
    return [
        *check_single_run(world),
        *check_capacity(world),
        *check_attempt_numbers(world),
        *check_zones(world),
        *check_not_run(world),
        *check_view_versions(world),
        *check_leaving_hosts(world),
    ]


def check_single_run(world: World) -> list[Violation]:
    """Check that no task runs twice at once, or again after its success is known.

    A host may fail or become unreachable before it reports a success, and the daemon
    that received the report may fail while the store is down. A success therefore
    counts as known once a daemon had time to record it, or at once if every daemon
    could reach the host all the time.
    """
    found = []
    running: dict[str, HistoryRow] = {}
    done: dict[str, HistoryRow] = {}
    # An end and a start at the same instant do not overlap.
    rows = sorted(world.history(), key=lambda row: (row.at_ms, row.what == "start"))
    for row in rows:
        if row.what == "start":
            found.extend(_check_start(world, row, running, done))
            running[row.subject] = row
        elif row.what in END_EVENTS:
            current = running.get(row.subject)
            if current is not None and current.worker_id == row.worker_id:
                del running[row.subject]
            if row.what == "succeeded":
                done[row.subject] = row
    return found


def _check_start(
    world: World,
    row: HistoryRow,
    running: dict[str, HistoryRow],
    done: dict[str, HistoryRow],
) -> list[Violation]:
    found = []
    where = f"{row.subject} #{row.attempt} at {row.worker_id}, {row.at_ms}"
    other = running.get(row.subject)
    if other is not None:
        detail = f"{where} while at {other.worker_id}"
        found.append(Violation("one place at a time", detail))
    success = done.get(row.subject)
    if success is not None and _was_known(world, success, row.at_ms):
        detail = f"{where} after its success at {success.at_ms}"
        found.append(Violation("ended work never runs again", detail))
    return found


def _was_known(world: World, success: HistoryRow, at_ms: int) -> bool:
    reported = ReportedSuccess(success.subject, success.attempt)
    if world.reported.get(reported, at_ms) < at_ms:
        return True
    return world.was_reachable(success.worker_id, success.at_ms, at_ms)


def check_capacity(world: World) -> list[Violation]:
    """Check that no host exceeds its capacity, by the oracle's own sums."""
    return [
        violation
        for model in world.workers.values()
        for violation in _check_worker(model)
    ]


def _check_worker(model: WorkerModel) -> list[Violation]:
    found = []
    reserved: dict[str, tuple[int, int, int]] = {}
    limit = _amounts(model.worker.capacity)
    for row in sorted(model.history, key=lambda row: (row.at_ms, row.what == "start")):
        if row.what == "start":
            reserved[row.subject] = _amounts(row.reserved)
        elif row.what in END_EVENTS:
            reserved.pop(row.subject, None)
        total = [sum(amounts) for amounts in zip(*reserved.values(), strict=True)]
        if any(amount > maximum for amount, maximum in zip(total, limit, strict=False)):
            detail = f"{row.worker_id} holds {total} of {limit} at {row.at_ms}"
            found.append(Violation("no host over its capacity", detail))
    return found


def _amounts(size: Resources) -> tuple[int, int, int]:
    return size.cpu_millis, size.memory_mb, size.accelerators


def check_attempt_numbers(world: World) -> list[Violation]:
    """Check that no attempt starts twice and that attempt numbers only grow."""
    found = []
    latest: dict[str, int] = {}
    for row in world.history():
        if row.what != "start":
            continue
        if row.attempt <= latest.get(row.subject, 0):
            detail = f"{row.subject} #{row.attempt} after #{latest[row.subject]}"
            found.append(Violation("resumes exactly once", detail))
        latest[row.subject] = row.attempt
    return found


def check_zones(world: World) -> list[Violation]:
    """Check that no task starts in a zone ``ZONE_BOUND_MS`` after it went out."""
    changes = [a for a in world.answers if isinstance(a.call, api.SetZone)]
    taken_out = [
        answer
        for answer in changes
        if answer.call.state is ZoneState.OUT
        and isinstance(answer.result, api.ConfigChanged)
    ]
    return [
        Violation(
            "no start in a zone that is out",
            f"{row.subject} at {row.worker_id}, {row.at_ms - out.at_ms} ms after",
        )
        for out in taken_out
        for row in world.history()
        if row.what == "start"
        and world.workers[row.worker_id].worker.zone == out.call.zone
        and out.at_ms + ZONE_BOUND_MS < row.at_ms < _earliest_in_ms(world, changes, out)
    ]


def _earliest_in_ms(
    world: World, changes: list[AnsweredCall], out: AnsweredCall
) -> int:
    """Return the earliest time at which the zone may be back in."""
    return min(
        (a.asked_ms for a in changes if _may_undo(a, out)), default=world.now_ms + 1
    )


def _may_undo(change: AnsweredCall, out: AnsweredCall) -> bool:
    """Return whether a change brought the zone back after ``out``, or may have."""
    if change.call.zone != out.call.zone or change.call.state is ZoneState.OUT:
        return False
    match change.result:
        case api.ConfigChanged(version=version):
            return version > out.result.version
        case api.Fault(code="conflict" | "not_run" | "unreachable"):
            return False
    return change.at_ms > out.asked_ms


def check_leaving_hosts(world: World) -> list[Violation]:
    """Check that a leaving host gets no start and no request.

    It may get some for ``LEAVING_BOUND_MS`` and the lag of the host list.
    """
    bound_ms = LEAVING_BOUND_MS + world.faults.list_lag_ms
    return [
        Violation("a leaving host gets no new work", f"{row.what} {row.worker_id}")
        for row in world.history()
        if row.what in ("start", "served")
        and _leaving_for_ms(world, row.worker_id, row.at_ms) > bound_ms
    ]


def _leaving_for_ms(world: World, worker_id: str, at_ms: int) -> int:
    """Return for how long the platform had listed a host as leaving at ``at_ms``."""
    since_ms = 0
    for listed_ms, workers in world.host_lists:
        if listed_ms > at_ms:
            break
        states = (w.state for w in workers if w.worker_id == worker_id)
        if next(states, None) is not HostState.LEAVING:
            since_ms = 0
        elif not since_ms:
            since_ms = listed_ms
    return at_ms - since_ms if since_ms else 0


def check_not_run(world: World) -> list[Violation]:
    """Check that work refused as not run never ran, unless it was submitted again."""
    submits = [a for a in world.answers if isinstance(a.call, api.SubmitTask)]
    by_subject = itertools.groupby(
        sorted(submits, key=lambda a: a.call.spec.key), key=lambda a: a.call.spec.key
    )
    started = {row.subject for row in world.history() if row.what == "start"}
    found = []
    for key, group in by_subject:
        results = [answer.result for answer in group]
        refused = all(isinstance(r, api.Fault) and r.code == "not_run" for r in results)
        subject = f"{key.team}/{key.task_id}"
        if refused and subject in started:
            found.append(Violation("work reported as not run never runs", subject))
    return found


def check_view_versions(world: World) -> list[Violation]:
    """Check that no daemon returns to an older configuration."""
    found = []
    versions_by_daemon: dict[tuple[str, int], int] = {}
    for seen in world.views:
        key = (seen.daemon, seen.incarnation)
        if seen.version < versions_by_daemon.get(key, 0):
            detail = f"{seen.daemon} went back to {seen.version}"
            found.append(Violation("configuration never reverts", detail))
        versions_by_daemon[key] = seen.version
    return found


def check_in_force(world: World, names: list[str]) -> list[Violation]:
    """Check that each named daemon applies every accepted version in time.

    The bound is ``VIEW_BOUND_MS``.
    """
    accepted = [
        (answer.at_ms, answer.result.version)
        for answer in world.answers
        if isinstance(answer.result, api.ConfigChanged)
    ]
    return [
        Violation("in force within the bound", f"{version} late at {name}")
        for (at_ms, version), name in itertools.product(accepted, names)
        if at_ms + VIEW_BOUND_MS <= world.now_ms
        and not any(
            seen.daemon == name
            and seen.version >= version
            and seen.at_ms <= at_ms + VIEW_BOUND_MS
            for seen in world.views
        )
    ]


def check_finished(world: World) -> list[Violation]:
    """Check that every accepted job has ended, after a time without faults."""
    accepted = {
        answer.call.spec.key
        for answer in world.answers
        if isinstance(answer.call, api.SubmitTask)
        and isinstance(answer.result, api.TaskView)
    }
    cancelled = {
        answer.call.key
        for answer in world.answers
        if isinstance(answer.call, api.CancelTask)
    }
    ended_subjects = {
        r.subject for r in world.history() if r.what in ("succeeded", "failed")
    }
    return [
        Violation("accepted work is never lost", f"{key.team}/{key.task_id}")
        for key in sorted(accepted - cancelled)
        if f"{key.team}/{key.task_id}" not in ended_subjects
    ]
