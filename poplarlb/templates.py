"""Validation, conversion and comparison of team templates as tables.

A table is the dict that a TOML file is parsed into. Validation finds every fault of a
table; each fault says which values are allowed.
"""

import re
import typing

from attrs import frozen

from poplarlb.state.models import Resources, WorkClass
from poplarlb.state.templates import BatchTemplate, ServiceTemplate, TeamTemplate

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
NAME_RULE = "lower-case letters, digits and hyphens, at most 63"
ITEMS_LIMIT = 100  # services, and kinds of batch work, of one team


@frozen
class Number:
    """Allows numbers between two bounds, both included."""

    low: float
    high: float
    whole: bool = True

    def __str__(self) -> str:
        """Describe what is allowed."""
        kind = "a whole number" if self.whole else "a number"
        return f"{kind} between {self.low} and {self.high}"

    def allows(self, value: object) -> bool:
        """Return whether a value is allowed."""
        kinds = int if self.whole else (int, float)
        if isinstance(value, bool) or not isinstance(value, kinds):
            return False
        return self.low <= value <= self.high


@frozen
class Choice:
    """Allows one of several words."""

    words: tuple[str, ...]

    def __str__(self) -> str:
        """Describe what is allowed."""
        return "one of " + ", ".join(self.words)

    def allows(self, value: object) -> bool:
        """Return whether a value is allowed."""
        return value in self.words


@frozen
class Flag:
    """Allows true and false."""

    def __str__(self) -> str:
        """Describe what is allowed."""
        return "true or false"

    def allows(self, value: object) -> bool:
        """Return whether a value is allowed."""
        return isinstance(value, bool)


Rule = Number | Choice | Flag
Rules = dict[str, Rule]

SIZE_RULES: Rules = {
    "cpu_millis": Number(1, 1_000_000),
    "memory_mb": Number(1, 16_000_000),
    "accelerators": Number(0, 64),
}
QUOTA_RULES: Rules = {
    "cpu_millis": Number(0, 1_000_000_000),
    "memory_mb": Number(0, 16_000_000_000),
    "accelerators": Number(0, 100_000),
}
SERVICE_RULES: Rules = {
    "replicas": Number(0, 1_000),
    "target_ms": Number(1, 600_000),
    "weight": Number(0.01, 1_000, whole=False),
    "idempotent": Flag(),
    "key_window_ms": Number(1_000, 86_400_000),
    "queue_limit": Number(0, 100_000),
    "durability": Choice(("memory", "two-daemons")),
}
BATCH_CLASSES = tuple(
    kind.value for kind in WorkClass if kind is not WorkClass.LATENCY_CRITICAL
)
BATCH_RULES: Rules = {
    "class": Choice(BATCH_CLASSES),
    "run_time_ms": Number(0, 2_592_000_000),
    "max_wait_ms": Number(0, 2_592_000_000),
    "checkpointable": Flag(),
}
TEAM_RULES: Rules = {"weight": Number(0.01, 1_000, whole=False)}


@frozen
class TemplateFault:
    """A value that is not allowed; ``path`` are the keys that lead to it."""

    path: tuple[str, ...]
    problem: str
    allowed: str = ""

    def __str__(self) -> str:
        """Describe the fault on one line."""
        allowed = f"; allowed: {self.allowed}" if self.allowed else ""
        return f"{'.'.join(self.path) or 'file'}: {self.problem}{allowed}"


@frozen
class EffectiveChange:
    """A value that applying a template would change.

    ``old`` or ``new`` is ``None`` if the value is absent before or after the change.
    """

    path: str
    old: object
    new: object

    def __str__(self) -> str:
        """Describe the change on one line."""
        if self.old is None:
            return f"+ {self.path} = {self.new}"
        if self.new is None:
            return f"- {self.path} = {self.old}"
        return f"~ {self.path} = {self.old} -> {self.new}"


# --- checking -------------------------------------------------------------------


def check_table(table: dict, zones: typing.Collection[str] = ()) -> list[TemplateFault]:
    """Return every fault of a team's table.

    :param zones: the existing availability zones; empty if they are not known.
    """
    faults: list[TemplateFault] = []
    known = {"team", "zones", "quota", "services", "batch", *TEAM_RULES}
    _check_keys(table, known, (), faults)
    _check_values(table, TEAM_RULES, (), (), faults)
    _check_name(table.get("team"), ("team",), faults)
    _check_zones(table.get("zones"), zones, faults)
    _check_group(table, "quota", QUOTA_RULES, tuple(QUOTA_RULES)[:2], (), faults)
    for name, service in _items(table, "services", faults):
        path = ("services", name)
        _check_keys(service, {"size", *SERVICE_RULES}, path, faults)
        _check_values(service, SERVICE_RULES, ("replicas",), path, faults)
        _check_group(service, "size", SIZE_RULES, tuple(SIZE_RULES)[:2], path, faults)
    for name, batch in _items(table, "batch", faults):
        path = ("batch", name)
        _check_keys(batch, {"size", *BATCH_RULES}, path, faults)
        _check_values(batch, BATCH_RULES, ("class",), path, faults)
        _check_group(batch, "size", SIZE_RULES, tuple(SIZE_RULES)[:2], path, faults)
    return faults


def check_team(
    team: TeamTemplate, zones: typing.Collection[str] = ()
) -> list[TemplateFault]:
    """Return every fault of a template, such as one received from an operator."""
    return check_table(to_table(team), zones)


def _check_keys(table: dict, known: set[str], path: tuple, faults: list) -> None:
    allowed = ", ".join(sorted(known))
    for key in table.keys() - known:
        faults.append(TemplateFault((*path, key), "unknown key", allowed))


def _check_values(
    table: dict, rules: Rules, required: tuple, path: tuple, faults: list
) -> None:
    for key, rule in rules.items():
        if key in table and not rule.allows(table[key]):
            problem = f"{table[key]!r} is not allowed"
            faults.append(TemplateFault((*path, key), problem, str(rule)))
        if key not in table and key in required:
            faults.append(TemplateFault((*path, key), "missing", str(rule)))


def _check_group(
    table: dict, name: str, rules: Rules, required: tuple, path: tuple, faults: list
) -> None:
    group = table.get(name, {})
    if not isinstance(group, dict):
        faults.append(TemplateFault((*path, name), "not a table", ", ".join(rules)))
        return
    _check_keys(group, set(rules), (*path, name), faults)
    _check_values(group, rules, required, (*path, name), faults)


def _check_name(name: object, path: tuple, faults: list) -> None:
    if not isinstance(name, str) or not NAME_PATTERN.fullmatch(name):
        faults.append(TemplateFault(path, f"{name!r} is not a name", NAME_RULE))


def _check_zones(value: object, known: typing.Collection[str], faults: list) -> None:
    is_list = isinstance(value, list | tuple) and bool(value)
    if not is_list or not all(isinstance(zone, str) for zone in value):
        allowed = "a list of availability zones, at least one"
        faults.append(TemplateFault(("zones",), f"{value!r} is not allowed", allowed))
        return
    if len(set(value)) != len(value):
        faults.append(TemplateFault(("zones",), "a zone is named twice"))
    unknown = [zone for zone in value if known and zone not in known]
    for zone in unknown:
        allowed = ", ".join(sorted(known))
        faults.append(TemplateFault(("zones",), f"no zone {zone!r}", allowed))


def _items(table: dict, name: str, faults: list) -> list[tuple[str, dict]]:
    """Return the tables in a group such as ``services``, by name; append faults."""
    group = table.get(name, {})
    if not isinstance(group, dict) or len(group) > ITEMS_LIMIT:
        allowed = f"at most {ITEMS_LIMIT} tables"
        faults.append(TemplateFault((name,), "not tables", allowed))
        return []
    for key, value in group.items():
        _check_name(key, (name, key), faults)
        if not isinstance(value, dict):
            faults.append(TemplateFault((name, key), "not a table"))
    return [(key, value) for key, value in group.items() if isinstance(value, dict)]


# --- tables and templates ---------------------------------------------------------


def to_table(team: TeamTemplate) -> dict:
    """Return the table of a template, with every value."""
    return {
        "team": team.team,
        "zones": list(team.zones),
        "weight": team.weight,
        "quota": _size_table(team.quota),
        "services": {
            item.name: {
                **{key: getattr(item, key) for key in SERVICE_RULES},
                "size": _size_table(item.size),
            }
            for item in team.services
        },
        "batch": {
            item.name: {
                **{k: getattr(item, k) for k in BATCH_RULES if k != "class"},
                "class": item.work_class.value,
                "size": _size_table(item.size),
            }
            for item in team.batch
        },
    }


def _size_table(size: Resources) -> dict:
    return {key: getattr(size, key) for key in SIZE_RULES}


def build_team(table: dict) -> TeamTemplate:
    """Return the template that a table without faults describes."""
    services = tuple(
        ServiceTemplate(name=name, **{**item, "size": Resources(**item["size"])})
        for name, item in sorted(table.get("services", {}).items())
    )
    return TeamTemplate(
        table["team"],
        tuple(table["zones"]),
        Resources(**table["quota"]),
        float(table.get("weight", 1.0)),
        services,
        tuple(_build_batch(*pair) for pair in sorted(table.get("batch", {}).items())),
    )


def _build_batch(name: str, item: dict) -> BatchTemplate:
    rest = {key: value for key, value in item.items() if key not in ("class", "size")}
    size = Resources(**item["size"])
    return BatchTemplate(name, WorkClass(item["class"]), size, **rest)


def diff_teams(
    old: TeamTemplate | None, new: TeamTemplate | None
) -> list[EffectiveChange]:
    """Return every effective value that differs between two templates, by path."""
    before = _flatten(to_table(old)) if old else {}
    after = _flatten(to_table(new)) if new else {}
    name = (new or old).team if (new or old) else ""
    return [
        EffectiveChange(f"{name}.{path}", before.get(path), after.get(path))
        for path in sorted(before.keys() | after.keys())
        if before.get(path) != after.get(path)
    ]


def _flatten(table: dict, prefix: str = "") -> dict[str, object]:
    flat: dict[str, object] = {}
    for key, value in table.items():
        if isinstance(value, dict):
            flat.update(_flatten(value, f"{prefix}{key}."))
        else:
            flat[prefix + key] = value
    return flat
