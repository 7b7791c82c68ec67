"""Configuration size and traffic with 130 teams and 3,100 changes a day."""

import base64
import itertools
import time

from bench.rows import Row, save_rows
from poplarlb.coordination.configuration.config_change import propose
from poplarlb.protocol import api, codec
from poplarlb.protocol.ports import StoreRead, StoreWrite
from poplarlb.settings import StoreSettings
from poplarlb.state.models import Resources, WorkClass, ZoneState
from poplarlb.state.templates import (
    BatchTemplate,
    ConfigHead,
    ConfigView,
    PartRef,
    ServiceTemplate,
    TeamTemplate,
    ZoneEntry,
)
from poplarlb.transport.store import StoreAdapter
from tests.standins.http import serve
from tests.standins.store import FakeStoreServer

TEAMS = 130
ZONES = tuple(f"zone-{number:02}" for number in range(11))
CHANGES_PER_DAY = 3_100
POLLS_PER_S = 2
DAY_S = 86_400
CODEC_ROUNDS = 50


def make_team(number: int) -> TeamTemplate:
    """Return a team with two services and four batch templates."""
    size = Resources(2_000, 4_096)
    services = tuple(ServiceTemplate(f"service-{n}", 20, size) for n in range(2))
    kinds = itertools.islice(itertools.cycle(list(WorkClass)[1:]), 4)
    batch = tuple(BatchTemplate(f"batch-{k.value}", k, size) for k in kinds)
    quota = Resources(640_000, 2_000_000, 8)
    return TeamTemplate(f"team-{number:03}", ZONES, quota, 1.0, services, batch)


def make_head(teams: list[TeamTemplate]) -> ConfigHead:
    """Return a head with a history of 40 changes."""
    parts = tuple(PartRef(team.team, "0123456789ab.01234567") for team in teams)
    zones = tuple(ZoneEntry(zone, ZoneState.IN, 1, "asha") for zone in ZONES)
    head = ConfigHead(1_000, parts, zones)
    for serial in range(40):
        name = f"{serial:012x}"
        change = api.ApplyTemplates(name, "asha", head.version, (teams[serial],))
        head = propose(change, head, 1, 1_764_000_000_000).head
    return head


def poll_bytes() -> int:
    """Return the request and response body bytes of one poll without changes."""
    stand_in = FakeStoreServer()
    server = serve(stand_in.answer)
    try:
        adapter = StoreAdapter(StoreSettings(address=server.address))
        written = adapter.execute(StoreWrite("poplarlb/config/head", b"head", 0))
        before = stand_in.transferred_bytes
        adapter.execute(StoreRead("poplarlb/config/head", written.version))
        return stand_in.transferred_bytes - before
    finally:
        server.stop()


def cpu_ms(action) -> float:
    """Return the CPU milliseconds of one call of an action."""
    began_s = time.process_time()
    for _ in range(CODEC_ROUNDS):
        action()
    return (time.process_time() - began_s) * 1_000 / CODEC_ROUNDS


def main() -> None:
    """Measure, print and save all figures."""
    teams = [make_team(number) for number in range(TEAMS)]
    head = make_head(teams)
    view = ConfigView(head.version, tuple(teams), head.zones, head.changes)
    head_data = codec.encode(head, ConfigHead)
    part_data = codec.encode(teams[0], TeamTemplate)
    view_data = codec.encode(view, ConfigView)
    change_bytes = sum(len(base64.b64encode(data)) for data in (head_data, part_data))
    changes_bytes_per_s = change_bytes * CHANGES_PER_DAY / DAY_S
    polls_bytes_per_s = poll_bytes() * POLLS_PER_S
    encode_ms = cpu_ms(lambda: codec.encode(head, ConfigHead))
    decode_ms = cpu_ms(lambda: codec.decode(head_data, ConfigHead))
    part_ms = cpu_ms(lambda: codec.decode(part_data, TeamTemplate))
    cpu_share = (decode_ms + part_ms) * CHANGES_PER_DAY / DAY_S / 10
    rows = [
        Row("config.teams", "teams", TEAMS),
        Row("config.head", "bytes", len(head_data)),
        Row("config.part", "bytes", len(part_data)),
        Row("config.view", "bytes", len(view_data)),
        Row("config.change_per_daemon", "bytes", change_bytes),
        Row("config.changes_bodies_per_daemon", "bytes/s", changes_bytes_per_s),
        Row("config.polls_bodies_per_daemon", "bytes/s", polls_bytes_per_s),
        Row("config.head_encode", "ms", encode_ms),
        Row("config.head_decode", "ms", decode_ms),
        Row("config.part_decode", "ms", part_ms),
        Row("config.changes_processor", "% of a core", cpu_share),
    ]
    save_rows("config", rows)


if __name__ == "__main__":
    main()
