"""The daemon's settings, read from a TOML file and validated."""

import ipaddress
import tomllib

import attrs
from attrs import field, frozen

from poplarlb.exceptions import SettingsError
from poplarlb.settings_checks import (
    Between,
    check_address,
    check_addresses,
    check_level,
    check_name,
    check_names,
    check_optional_address,
)


@frozen
class StoreSettings:
    """Access to the platform's store, and this daemon's share of its call rate.

    ``calls_per_s`` and ``burst_calls`` are the rate and the capacity of a token bucket.
    All keys begin with ``prefix``.
    """

    address: str = field(default="127.0.0.1:2379", validator=check_address)
    prefix: str = "poplarlb/"
    timeout_ms: int = field(default=2_000, validator=Between(50, 60_000))
    calls_per_s: float = field(default=25.0, validator=Between(1, 2_000))
    burst_calls: int = field(default=50, validator=Between(1, 4_000))


@frozen
class PlatformSettings:
    """Access to the platform's host list, and the timeout of calls to workers.

    The list is read every ``hosts_period_ms``.
    """

    hosts_address: str = field(default="127.0.0.1:2380", validator=check_address)
    hosts_period_ms: int = field(default=1_000, validator=Between(100, 60_000))
    worker_timeout_ms: int = field(default=3_000, validator=Between(50, 60_000))


@frozen
class MemberSettings:
    """Membership and ownership of shards.

    A daemon registers as a member in the store with a lease of ``lease_s``. A member
    that has sent no heartbeat for ``suspect_after_ms`` is unresponsive. A member may
    become an owner once it has been registered for ``registration_grace_ms``; members
    also wait so long after an outage of the store before they claim shards. An owner
    whose ownership the store has not confirmed for ``orphan_horizon_ms`` gives it up.
    ``gossip_bytes_per_s`` limits the summaries of shards in heartbeats.
    """

    lease_s: int = field(default=6, validator=Between(2, 60))
    heartbeat_ms: int = field(default=500, validator=Between(50, 10_000))
    suspect_after_ms: int = field(default=2_500, validator=Between(100, 60_000))
    registration_grace_ms: int = field(default=4_000, validator=Between(0, 60_000))
    orphan_horizon_ms: int = field(
        default=1_800_000, validator=Between(10_000, 7_200_000)
    )
    gossip_bytes_per_s: int = field(default=4_000, validator=Between(100, 10_000_000))


@frozen
class ShardSettings:
    """The partition of the deployment into shards, which can't be changed later.

    Zones in ``extra_zones`` have daemons, but no workers.
    """

    zones: tuple[str, ...] = field(default=(), validator=check_names)
    shards_per_zone: int = field(default=1, validator=Between(1, 64))
    extra_zones: tuple[str, ...] = field(default=(), validator=check_names)


@frozen
class JournalSettings:
    """Group commit, ring buffer and snapshots of a shard's journal.

    Entries of at most ``entry_limit_bytes`` are written to ``ring_slots`` keys in turn;
    ``ring_slots`` can't be changed later. A snapshot is taken after ``snapshot_every``
    entries, or half of ``ring_slots`` if that is less, or earlier after many bytes.
    """

    commit_period_ms: int = field(default=100, validator=Between(1, 5_000))
    ring_slots: int = field(default=1_024, validator=Between(4, 4_096))
    snapshot_every: int = field(default=512, validator=Between(1, 4_096))
    snapshot_part_bytes: int = field(default=400_000, validator=Between(1_000, 512_000))
    entry_limit_bytes: int = field(default=400_000, validator=Between(1_000, 512_000))


@frozen
class TaskSettings:
    """Leases, starts and limits of tasks, and retention of ended ones.

    A worker stops the tasks of a shard whose lease of ``lease_ms`` is not renewed.
    ``clock_margin_ms`` allows for differences between the clocks of hosts.
    ``start_window_ms`` is how long after its placement a task may be started.
    An ended task is kept for ``retention_ms`` unless more than ``ended_limit`` are
    kept. A task ends as failed after failures at ``failures_allowed`` different
    workers, or after three times as many failures in all. ``queue_limit``,
    ``ended_limit`` and ``decisions_kept`` are per shard.
    """

    lease_ms: int = field(default=30_000, validator=Between(500, 600_000))
    renew_period_ms: int = field(default=10_000, validator=Between(100, 300_000))
    clock_margin_ms: int = field(default=500, validator=Between(0, 10_000))
    start_window_ms: int = field(default=2_000, validator=Between(100, 60_000))
    retention_ms: int = field(default=86_400_000, validator=Between(0, 2_592_000_000))
    ended_limit: int = field(default=2_000, validator=Between(0, 1_000_000))
    queue_limit: int = field(default=20_000, validator=Between(1, 1_000_000))
    decisions_kept: int = field(default=2_000, validator=Between(10, 100_000))
    failures_allowed: int = field(default=3, validator=Between(1, 100))


@frozen
class ConfigSettings:
    """Polling of the configuration, and the age from which it counts as stale.

    While the configuration is stale, no task is started.
    """

    poll_period_ms: int = field(default=500, validator=Between(50, 10_000))
    staleness_ms: int = field(default=2_000, validator=Between(200, 60_000))


@frozen
class PolicySettings:
    """Placement, relief of services over their target, and quarantine of workers.

    Eviction: ``eviction_budget_per_min`` is per shard; ``worker_cooldown_ms`` passes
    between evictions for services at one worker.

    Quarantine: a worker is quarantined for ``quarantine_ms`` after
    ``quarantine_failures`` failed tasks without a success, but at most the share
    ``quarantine_share`` of a shard's workers, or one, at a time.

    Queue: each ``ageing_ms`` of waiting raises a task's priority, up to that of
    ordinary tasks. After ``overdue_ms`` it is placed before them, and a worker where
    it doesn't fit yet may be kept free for it for ``held_ms``.

    Cost of a worker: ``harm_weight`` is the weight of the slowdown of services,
    ``spread_weight`` that of replicas in one rack, ``fragmentation_weight`` that of
    unbalanced free capacity, ``accelerator_weight`` the cost of a worker with
    accelerators for a task that needs none. ``harm_prior`` is the slowdown assumed
    until one was measured, as a fraction for a task that fills a worker; what was
    learned loses half its weight in ``harm_half_life_ms``. ``learned_quantile`` of
    the measured uses of a kind of task is its size.

    Relief: a service of weight 1 is in breach if more than ``breach_share`` of its
    requests in ``breach_window_ms`` miss the target. Every ``relief_period_ms`` batch
    tasks are throttled to ``throttle_percent`` of their processors, or evicted above
    ``eviction_factor`` times that share. Actions at one worker are
    at least ``throttle_wait_ms`` apart. A throttle is lifted after ``clear_ms`` without
    a breach.
    """

    eviction_budget_per_min: int = field(default=6, validator=Between(0, 1_000))
    worker_cooldown_ms: int = field(default=30_000, validator=Between(0, 600_000))
    quarantine_failures: int = field(default=3, validator=Between(1, 100))
    quarantine_ms: int = field(default=60_000, validator=Between(100, 3_600_000))
    harm_half_life_ms: int = field(
        default=600_000, validator=Between(1_000, 86_400_000)
    )
    ageing_ms: int = field(default=600_000, validator=Between(1_000, 86_400_000))
    overdue_ms: int = field(default=3_600_000, validator=Between(1_000, 86_400_000))
    held_ms: int = field(default=30_000, validator=Between(0, 600_000))
    harm_weight: float = field(default=1.0, validator=Between(0, 1_000))
    harm_prior: float = field(default=0.3, validator=Between(0, 100))
    spread_weight: float = field(default=0.5, validator=Between(0, 1_000))
    fragmentation_weight: float = field(default=0.2, validator=Between(0, 1_000))
    accelerator_weight: float = field(default=2.0, validator=Between(0, 1_000))
    learned_quantile: float = field(default=0.9, validator=Between(0.5, 1))
    relief_period_ms: int = field(default=1_000, validator=Between(50, 60_000))
    breach_share: float = field(default=0.08, validator=Between(0, 1))
    breach_window_ms: int = field(default=5_000, validator=Between(500, 600_000))
    eviction_factor: float = field(default=3.0, validator=Between(1, 100))
    clear_ms: int = field(default=20_000, validator=Between(500, 3_600_000))
    throttle_wait_ms: int = field(default=5_000, validator=Between(100, 600_000))
    throttle_percent: int = field(default=25, validator=Between(1, 100))
    quarantine_share: float = field(default=0.25, validator=Between(0, 1))


@frozen
class RequestSettings:
    """Timeouts, limits and retries of requests to services.

    Each request that succeeds earns its service ``retry_share`` retries. A response
    whose body is larger than ``key_body_limit_bytes`` is not recorded with its
    idempotency key.
    """

    default_timeout_ms: int = field(default=10_000, validator=Between(10, 600_000))
    body_limit_bytes: int = field(default=8 << 20, validator=Between(1_024, 1 << 30))
    retry_share: float = field(default=0.1, validator=Between(0, 1))
    key_body_limit_bytes: int = field(default=65_536, validator=Between(0, 1_000_000))


@frozen
class ApiSettings:
    """The HTTP servers for callers and for operators.

    If ``operator_listen`` is empty, operators are served on ``listen``.
    ``requests_per_s`` limits the calls for jobs, and separately the requests to
    services. ``connections`` limits the callers' connections that wait for one of the
    ``threads``, and is at most half of the process's descriptors; the one that has
    waited longest is closed for a new one. While connections wait, those that a thread
    has been reading for over a second are closed, the longest first.
    """

    listen: str = field(default="127.0.0.1:0", validator=check_address)
    operator_listen: str = field(default="", validator=check_optional_address)
    operator_secret: str = field(default="", repr=False)
    threads: int = field(default=32, validator=Between(1, 512))
    connections: int = field(default=1_000, validator=Between(1, 100_000))
    header_limit_bytes: int = field(default=65_536, validator=Between(1_024, 1 << 20))
    requests_per_s: float = field(default=2_000, validator=Between(1, 1_000_000))
    tls_certificate: str = ""
    tls_key: str = ""


@frozen
class PeerSettings:
    """Connections between daemons.

    ``seeds`` are addresses of other daemons, ``secret`` is shared by all daemons.
    """

    listen: str = field(default="127.0.0.1:0", validator=check_address)
    secret: str = field(default="", repr=False)
    seeds: tuple[str, ...] = field(default=(), validator=check_addresses)
    tls_certificate: str = ""
    tls_key: str = ""
    tls_authority: str = ""


@frozen
class LogSettings:
    """The lowest level that is logged, and whether lines are JSON instead of text."""

    level: str = field(default="INFO", validator=check_level)
    json: bool = False


@frozen
class StopSettings:
    """Graceful shutdown: finish in-flight requests, then hand over the shards.

    The daemon first reports not ready for ``drain_ms``, so that the load balancer
    in front of the daemons stops sending requests to this one.
    """

    drain_ms: int = field(default=2_000, validator=Between(0, 600_000))
    request_timeout_ms: int = field(default=60_000, validator=Between(100, 3_600_000))
    hand_over_timeout_ms: int = field(default=15_000, validator=Between(100, 3_600_000))


@frozen
class Settings:
    """All settings of a daemon."""

    member_id: str = field(validator=check_name)
    zone: str = field(validator=check_name)
    store: StoreSettings = StoreSettings()
    platform: PlatformSettings = PlatformSettings()
    members: MemberSettings = MemberSettings()
    shards: ShardSettings = ShardSettings()
    journal: JournalSettings = JournalSettings()
    tasks: TaskSettings = TaskSettings()
    config: ConfigSettings = ConfigSettings()
    policy: PolicySettings = PolicySettings()
    requests: RequestSettings = RequestSettings()
    api: ApiSettings = ApiSettings()
    peers: PeerSettings = PeerSettings()
    logs: LogSettings = LogSettings()
    stop: StopSettings = StopSettings()
    tick_ms: int = field(default=200, validator=Between(5, 5_000))


def load_settings(path: str) -> Settings:
    """Return the settings in a TOML file.

    :raises SettingsError: the file can't be read, or has faults; lists all of them.
    """
    try:
        with open(path, "rb") as file:
            table = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{path}: {error}") from error
    return parse_settings(table)


def parse_settings(table: dict) -> Settings:
    """Return the settings in a parsed TOML table.

    :raises SettingsError: the table has faults; lists all of them.
    """
    faults: list[str] = []
    settings = _build(Settings, table, "", faults)
    if settings is not None:
        faults.extend(check_consistency(settings))
    if faults:
        raise SettingsError("\n".join(faults))
    return settings


def check_consistency(settings: Settings) -> list[str]:
    """Return the faults of values that are valid, but inconsistent with each other."""
    shards, tasks, config = settings.shards, settings.tasks, settings.config
    zones = (*shards.zones, *shards.extra_zones)
    rules = (
        (
            not shards.zones or settings.zone in zones,
            f"zone = {settings.zone!r}: must be in shards.zones or shards.extra_zones",
        ),
        (
            tasks.renew_period_ms < tasks.lease_ms,
            f"tasks.renew_period_ms = {tasks.renew_period_ms}: "
            f"must be below tasks.lease_ms = {tasks.lease_ms}",
        ),
        (
            config.poll_period_ms < config.staleness_ms,
            f"config.poll_period_ms = {config.poll_period_ms}: "
            f"must be below config.staleness_ms = {config.staleness_ms}",
        ),
        *_check_servers(settings),
    )
    return [text for holds, text in rules if not holds]


def _check_servers(settings: Settings) -> tuple[tuple[bool, str], ...]:
    api, peers = settings.api, settings.peers
    operators = api.operator_listen or api.listen
    return (
        (
            bool(api.tls_certificate) == bool(api.tls_key),
            "api.tls_certificate and api.tls_key: must both be set, or neither",
        ),
        (
            bool(peers.tls_certificate) == bool(peers.tls_key),
            "peers.tls_certificate and peers.tls_key: must both be set, or neither",
        ),
        (
            bool(api.operator_secret) or _is_loopback(operators),
            "api.operator_secret = (hidden): must not be empty when operators are "
            f"served on {operators}",
        ),
        (
            bool(peers.secret) or _is_loopback(peers.listen),
            "peers.secret = (hidden): must not be empty when daemons are served on "
            f"{peers.listen}",
        ),
    )


def _is_loopback(address: str) -> bool:
    return ipaddress.ip_address(address.rpartition(":")[0].strip("[]")).is_loopback


def _build(kind: type, table: dict, path: str, faults: list[str]) -> object:
    """Return a settings object; ``None`` if the table has faults; appends them."""
    fields = {item.name: item for item in attrs.fields(kind)}
    for name in table.keys() - fields.keys():
        allowed = ", ".join(sorted(fields))
        faults.append(f"{path}{name}: unknown key; allowed: {allowed}")
    values = {}
    before = len(faults)
    for name, item in fields.items():
        if name in table:
            _read_field(item, table[name], f"{path}{name}", values, faults)
        elif item.default is attrs.NOTHING:
            faults.append(f"{path}{name}: missing; required")
    return None if len(faults) > before else kind(**values)


def _read_field(
    item: attrs.Attribute, value: object, path: str, values: dict, faults: list[str]
) -> None:
    if attrs.has(item.type):
        if not isinstance(value, dict):
            faults.append(f"{path} = {value!r}: must be a table")
            return
        values[item.name] = _build(item.type, value, f"{path}.", faults)
        return
    problem = _convert(item, value, values)
    if problem:
        shown = "(hidden)" if "secret" in path else repr(value)
        faults.append(f"{path} = {shown}: {problem}")


def _convert(item: attrs.Attribute, value: object, values: dict) -> str:
    """Add a valid value to ``values``; return what is wrong with it, or nothing."""
    expected = item.type
    if expected == tuple[str, ...]:
        if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
            return "must be a list of strings"
        value = tuple(value)
    elif not _is_instance(value, expected):
        return f"must be of type {expected.__name__}"
    if item.validator is not None:
        try:
            item.validator(None, item, value)
        except ValueError as error:
            return str(error)
    values[item.name] = value
    return ""


def _is_instance(value: object, expected: type) -> bool:
    if isinstance(value, bool):
        return expected is bool
    return isinstance(value, (int, float) if expected is float else expected)
