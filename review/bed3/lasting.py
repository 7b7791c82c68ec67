"""Judges whether tasks that last run again in time, by RULES.md (LOST)."""

from bed3.deployment import Record

STABLE_S = 3.0  # `stableMs`: a disturbance counts as near until then
CALM_S = 4.0  # before the time in which nothing of the task runs
IDLE_S = 3.0
AFTER_RUN_S = 6.0


def find_late_tasks(
    record: Record, tasks: list[str], disturbed_until_s: float, now_s: float
) -> dict[str, tuple[float, float]]:
    """Return by task when it was lost, and when it ran again, if that broke the rule.

    The rule is broken if a task hasn't run for 3 s, from 6 s after its last run on,
    while these 3 s and the 4 s before them were calm.

    :param disturbed_until_s: the end of the last disturbance.
    :param now_s: the time until which the tasks are judged.
    """
    calm_s = disturbed_until_s + STABLE_S
    late = {}
    for task in tasks:
        lost = [at_s for at_s, _ in record.find("lost", task=task)]
        if not lost:
            continue
        begun = [at_s for at_s, _ in record.find("begin", task=task)]
        again_s = min((at_s for at_s in begun if at_s > lost[-1]), default=now_s)
        due_s = max(calm_s + CALM_S, lost[-1] + AFTER_RUN_S) + IDLE_S
        if again_s > due_s:
            late[task] = lost[-1], again_s
    return late
