"""Reads the settings file that the platform lays down beside each process."""

import json
import os
import pathlib

from attrs import frozen

from poplarlb.exceptions import SettingsError

SETTINGS_VARIABLE = "POPLARLB_BOOT"
DEFAULT_PATH = "/etc/poplarlb/local.json"
METRICS_PORT_VARIABLE = "POPLARLB_METRICS_PORT"


@frozen
class Addresses:
    """Where this process listens, as ``HOST:PORT``; empty for none."""

    front: str
    ready: str
    control: str = ""
    metrics: str = ""


@frozen
class Bounds:
    """The deployment's bounds that decisions go by, in milliseconds."""

    grace_ms: int = 6_000
    stop_ms: int = 900
    lease_limit_ms: int = 10_000
    status_ms: int = 120_000
    harm_ms: int = 4_000
    far_factor: float = 1.5


@frozen
class DeploymentSettings:
    """What a process is told about itself and its deployment."""

    daemon_id: str
    zone: str
    ip: str
    listen: Addresses
    store_address: str
    advice_address: str = ""
    processors: float = 1.0  # that this process may use at once
    bounds: Bounds = Bounds()


@frozen
class FieldRead:
    """One field of the settings file: where it stands and its type."""

    path: tuple[str, ...]
    kind: type | tuple[type, ...]
    required: bool = True


TEXT = str
NUMBER = (int, float)
FIELDS = {
    "daemon_id": FieldRead(("node",), TEXT),
    "zone": FieldRead(("zone",), TEXT),
    "ip": FieldRead(("ip",), TEXT),
    "front": FieldRead(("listen", "front"), TEXT),
    "ready": FieldRead(("listen", "ready"), TEXT),
    "control": FieldRead(("listen", "control"), TEXT, False),
    "store": FieldRead(("platform", "addr"), TEXT),
    "advice": FieldRead(("advice",), TEXT, False),
    "processor_share": FieldRead(("limits", "cpuShare"), NUMBER, False),
    "speed": FieldRead(("limits", "cores"), NUMBER, False),
    "grace_s": FieldRead(("bounds", "graceS"), NUMBER, False),
    "stop_ms": FieldRead(("bounds", "stopMs"), NUMBER, False),
    "lease_limit_ms": FieldRead(("bounds", "holdMaxMs"), NUMBER, False),
    "status_s": FieldRead(("bounds", "status_s"), NUMBER, False),
    "harm_ms": FieldRead(("bounds", "harmMs"), NUMBER, False),
    "far_factor": FieldRead(("bounds", "farX"), NUMBER, False),
}


def settings_path() -> pathlib.Path:
    """Return where the platform has put the settings file."""
    return pathlib.Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))


def load_settings(path: pathlib.Path) -> DeploymentSettings:
    """Read and check the settings file.

    :raises SettingsError: the detail lists every fault.
    """
    try:
        document = json.loads(path.read_text())
    except (OSError, ValueError) as error:
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
    if faults:
        raise SettingsError("; ".join(faults))
    return build_settings(values)


def read_field(document: dict, item: FieldRead, faults: list[str]):
    """Return a field's value, or None; an absent or mistyped one adds a fault."""
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
    return value


def is_address(text: str) -> bool:
    """Tell whether a text is HOST:PORT."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65_536


def build_settings(values: dict) -> DeploymentSettings:
    """Return the settings from checked values; what is absent has its default."""
    port = os.environ.get(METRICS_PORT_VARIABLE, "")
    metrics = f"{values['ip']}:{port}" if port.isdigit() else ""
    default = Bounds()
    bounds = Bounds(
        grace_ms=in_ms(values["grace_s"], 1_000, default.grace_ms),
        stop_ms=in_ms(values["stop_ms"], 1, default.stop_ms),
        lease_limit_ms=in_ms(values["lease_limit_ms"], 1, default.lease_limit_ms),
        status_ms=in_ms(values["status_s"], 1_000, default.status_ms),
        harm_ms=in_ms(values["harm_ms"], 1, default.harm_ms),
        far_factor=float(values["far_factor"] or default.far_factor),
    )
    return DeploymentSettings(
        values["daemon_id"],
        values["zone"],
        values["ip"],
        Addresses(values["front"], values["ready"], values["control"] or "", metrics),
        values["store"],
        values["advice"] or "",
        (values["processor_share"] or 1.0) * (values["speed"] or 1.0),
        bounds,
    )


def in_ms(value: float | None, unit_ms: int, default: int) -> int:
    """Return a figure in milliseconds, or the default if there is none."""
    return default if value is None else int(value * unit_ms)
