"""Deterministic settings for stateful fuzzing, and a count of failing walks."""

from collections.abc import Callable

from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test


def make_settings(examples: int, steps: int, **others: object) -> settings:
    """Return Hypothesis settings that give the same runs on every machine."""
    return settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
        **others,
    )


def run_machine(machine: type, examples: int, steps: int) -> None:
    """Run a state machine; raises its first failure."""
    run_state_machine_as_test(machine, settings=make_settings(examples, steps))


def count_failing_walks(walk: Callable[[int], object], walks: int) -> int:
    """Return how many walks, seeded from 0 on, fail an assertion."""
    failing = 0
    for seed in range(walks):
        try:
            walk(seed)
        except AssertionError:
            failing += 1
    return failing
