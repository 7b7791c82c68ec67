"""Arithmetic on resources for placement and quotas."""

from poplarlb.state.models import Resources


def elementwise_min(first: Resources, second: Resources) -> Resources:
    """Return the elementwise minimum of two amounts."""
    return Resources(
        min(first.cpu_millis, second.cpu_millis),
        min(first.memory_mb, second.memory_mb),
        min(first.accelerators, second.accelerators),
    )


def scaled(amount: Resources, factor: float) -> Resources:
    """Return an amount times a factor, rounded down."""
    return Resources(
        int(amount.cpu_millis * factor),
        int(amount.memory_mb * factor),
        int(amount.accelerators * factor),
    )
