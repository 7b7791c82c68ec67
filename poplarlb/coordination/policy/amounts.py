"""Arithmetic on resources that placement and quotas share."""

from poplarlb.state.models import Resources


def smaller(first: Resources, second: Resources) -> Resources:
    """Return the smaller of both amounts, part by part."""
    return Resources(
        min(first.cpu_millis, second.cpu_millis),
        min(first.memory_mb, second.memory_mb),
        min(first.accelerators, second.accelerators),
    )


def scaled(amount: Resources, factor: float) -> Resources:
    """Return the amount times a factor, rounded down."""
    return Resources(
        int(amount.cpu_millis * factor),
        int(amount.memory_mb * factor),
        int(amount.accelerators * factor),
    )
