"""Reads the settings file that the platform writes for each daemon process."""

import json
import os
import pathlib

from attrs import frozen

from poplarlb.exceptions import SettingsError
from poplarlb.transport.http_client import parse_address

SETTINGS_VARIABLE = "POPLARLB_BOOT"
DEFAULT_PATH = "/etc/poplarlb/local.json"
MIN_CONFIG_MS = 500  # the operator's entries are listed three times within it
DEFAULT_VALUE_BYTES = 1 << 20
DEFAULT_MEMORY_MB = 160  # of the smallest machines
DEFAULT_DESCRIPTORS = 4_096
MAX_NUMBER = 2**53  # larger whole numbers are not exact in JSON
METRICS_PORT_VARIABLE = "POPLARLB_METRICS_PORT"


@frozen
class Addresses:
    """The addresses this process listens on, as ``HOST:PORT``; empty for none.

    ``front`` is the job API, ``ready`` the readiness check, ``metrics`` the metrics
    page; ``control`` is read, but nothing listens there.
    """

    front: str
    ready: str
    control: str = ""
    metrics: str = ""


@frozen
class Bounds:
    """The deployment's bounds on decisions; durations are in milliseconds.

    :param grace_ms: the time from a stop request to the end of the process.
    :param stop_ms: the longest time that a worker takes to stop a run.
    :param lease_limit_ms: the longest lease that workers grant.
    :param status_ms: how long a job's final state can be queried.
    :param harm_ms: how long a serving task, one with a latency target, may be over it.
    :param config_ms: how soon a stored configuration must be in force.
    :param drain_ms: how soon a stored drain must be obeyed.
    :param far_factor: the factor of a task's run time away from its data.
    """

    grace_ms: int = 6_000
    stop_ms: int = 900
    lease_limit_ms: int = 10_000
    status_ms: int = 120_000
    harm_ms: int = 4_000
    config_ms: int = 2_000
    drain_ms: int = 2_000
    far_factor: float = 1.5


@frozen
class DaemonSettings:
    """The settings of one daemon process and of its deployment."""

    daemon_id: str
    zone: str
    ip: str
    listen: Addresses
    store_address: str
    advice_address: str = ""
    processors: float = 1.0  # number that this process may use at once
    bounds: Bounds = Bounds()
    zones: tuple[str, ...] = ()  # the deployment's availability zones
    value_bytes: int = DEFAULT_VALUE_BYTES  # the largest value that the store takes
    memory_mb: int = DEFAULT_MEMORY_MB  # that this process may use
    descriptors: int = DEFAULT_DESCRIPTORS  # that it may have open, also for files


@frozen
class FieldSpec:
    """One field of the settings file: its path from the top, and its type."""

    path: tuple[str, ...]
    kind: type | tuple[type, ...]
    required: bool = True


TEXT = str
NUMBER = (int, float)
# Fields by the names used here. ``processor_share`` times ``speed``, which the file
# calls ``cores``, is ``processors``.
FIELDS = {
    "daemon_id": FieldSpec(("node",), TEXT),
    "zone": FieldSpec(("zone",), TEXT),
    "ip": FieldSpec(("ip",), TEXT),
    "front": FieldSpec(("listen", "front"), TEXT),
    "ready": FieldSpec(("listen", "ready"), TEXT),
    "control": FieldSpec(("listen", "control"), TEXT, False),
    "store": FieldSpec(("platform", "addr"), TEXT),
    "advice": FieldSpec(("advice",), TEXT, False),
    "processor_share": FieldSpec(("limits", "cpuShare"), NUMBER, False),
    "speed": FieldSpec(("limits", "cores"), NUMBER, False),
    "grace_s": FieldSpec(("bounds", "graceS"), NUMBER, False),
    "stop_ms": FieldSpec(("bounds", "stopMs"), NUMBER, False),
    "lease_limit_ms": FieldSpec(("bounds", "holdMaxMs"), NUMBER, False),
    "status_s": FieldSpec(("bounds", "status_s"), NUMBER, False),
    "harm_ms": FieldSpec(("bounds", "harmMs"), NUMBER, False),
    "config_ms": FieldSpec(("bounds", "configMs"), NUMBER, False),
    "drain_ms": FieldSpec(("bounds", "drainMs"), NUMBER, False),
    "far_factor": FieldSpec(("bounds", "farX"), NUMBER, False),
    "zones": FieldSpec(("zones",), dict, False),  # with the region of each
    "memory_mb": FieldSpec(("limits", "memoryMb"), NUMBER, False),
    "descriptors": FieldSpec(("limits", "maxFds"), NUMBER, False),
    "value_bytes": FieldSpec(("platform", "valueBytes"), NUMBER, False),
}


def settings_path() -> pathlib.Path:
    """Return the path of the settings file."""
    return pathlib.Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))


def load_settings(path: pathlib.Path) -> DaemonSettings:
    """Read and check the settings file.

    :raises SettingsError: the file can't be read, or has faults; lists all of them.
    """
    try:
        document = json.loads(path.read_text())
    except (OSError, RecursionError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from error
    if not isinstance(document, dict):
        raise SettingsError(f"{path}: not a JSON object")
    faults: list[str] = []
    values = {name: read_field(document, item, faults) for name, item in FIELDS.items()}
    faults += [
        f"{'.'.join(FIELDS[name].path)}: not HOST:PORT"
        for name in ("front", "ready", "control", "store", "advice")
        if values[name] and not is_address(values[name])
    ]
    config_ms = values["config_ms"]
    if config_ms is not None and config_ms < MIN_CONFIG_MS:
        faults.append(f"bounds.configMs: below {MIN_CONFIG_MS}")
    if faults:
        raise SettingsError("; ".join(faults))
    return build_settings(values)


def read_field(document: dict, item: FieldSpec, faults: list[str]):
    """Return a field's value, or None.

    A fault is added if a required field is missing, or a field is of the wrong type or
    out of range.
    """
    value = document
    for name in item.path:
        value = value.get(name) if isinstance(value, dict) else None
    where = ".".join(item.path)
    if value is None:
        if item.required:
            faults.append(f"{where}: missing")
        return None
    if not isinstance(value, item.kind) or isinstance(value, bool):
        faults.append(f"{where}: wrong type")
        return None
    if item.kind is NUMBER and not 0 <= value <= MAX_NUMBER:
        faults.append(f"{where}: out of range")
        return None
    return value


def is_address(text: str) -> bool:
    """Return whether a text is HOST:PORT."""
    try:
        parse_address(text)
    except ValueError:
        return False
    return True


def build_settings(values: dict) -> DaemonSettings:
    """Return the settings from checked values; absent ones have their defaults."""
    port = os.environ.get(METRICS_PORT_VARIABLE, "")
    metrics = f"{values['ip']}:{port}" if port.isdigit() else ""
    default = Bounds()
    bounds = Bounds(
        grace_ms=to_ms(values["grace_s"], 1_000, default.grace_ms),
        stop_ms=to_ms(values["stop_ms"], 1, default.stop_ms),
        lease_limit_ms=to_ms(values["lease_limit_ms"], 1, default.lease_limit_ms),
        status_ms=to_ms(values["status_s"], 1_000, default.status_ms),
        harm_ms=to_ms(values["harm_ms"], 1, default.harm_ms),
        config_ms=to_ms(values["config_ms"], 1, default.config_ms),
        drain_ms=to_ms(values["drain_ms"], 1, default.drain_ms),
        far_factor=float(values["far_factor"] or default.far_factor),
    )
    return DaemonSettings(
        values["daemon_id"],
        values["zone"],
        values["ip"],
        Addresses(values["front"], values["ready"], values["control"] or "", metrics),
        values["store"],
        values["advice"] or "",
        (values["processor_share"] or 1.0) * (values["speed"] or 1.0),
        bounds,
        tuple(values["zones"] or ()),
        int(values["value_bytes"] or DEFAULT_VALUE_BYTES),
        int(values["memory_mb"] or DEFAULT_MEMORY_MB),
        int(values["descriptors"] or DEFAULT_DESCRIPTORS),
    )


def to_ms(value: float | None, unit_ms: int, default: int) -> int:
    """Return a duration in milliseconds, or the default if there is no value."""
    return default if value is None else int(value * unit_ms)
