"""Costs of requests: routed and direct requests, admission, idempotency keys.

``python -m bench.requests`` prints rows of ``name, unit, value``.
"""

import concurrent.futures
import functools
import json
import statistics
import time
import tracemalloc
from collections.abc import Callable

import urllib3

from bench.processes import Deployment, read_usage
from bench.rows import Row, save_rows
from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.requests.admission import Admission, Endpoint
from poplarlb.coordination.requests.idempotency import KeyTable
from poplarlb.coordination.requests.key_takeover import KeyPeers
from poplarlb.coordination.requests.marks import MarkStore
from poplarlb.protocol import api, codec, messages, ports
from poplarlb.settings import Settings
from poplarlb.state.models import Resources, Worker
from poplarlb.state.templates import ConfigView, ServiceTemplate, TeamTemplate

ZONES = ("a", "b", "c")
CLIENTS = 4
REQUESTS = 1_500
SETTLE_S = 15
WARM_UP = 200
DECISIONS = 20_000
ITEMS = 5_000
SHARD = "a/0"
NOW_MS = 1_000_000

SIZE = {"cpu_millis": 1_000, "memory_mb": 1_000, "accelerators": 0}
TEAM = {
    "team": "dairy",
    "zones": ZONES,
    "quota": {"cpu_millis": 96_000, "memory_mb": 300_000, "accelerators": 0},
    "services": [
        {"name": "stock", "replicas": 3, "size": SIZE},
        {"name": "orders", "replicas": 3, "size": SIZE, "idempotent": False},
        {
            "name": "notes",
            "replicas": 3,
            "size": SIZE,
            "idempotent": False,
            "durability": "memory",
        },
    ],
}


def percentile(ordered: list[float], share: float) -> float:
    """Return the value below which a share of the ordered values lies."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def time_requests(send: Callable[[int], None], count: int) -> tuple[list[float], float]:
    """Return the sorted times in ms of concurrent requests, and their rate."""

    def timed_send(number: int) -> float:
        began = time.perf_counter()
        send(number)
        return (time.perf_counter() - began) * 1000

    began = time.perf_counter()
    with concurrent.futures.ThreadPoolExecutor(CLIENTS) as pool:
        times = sorted(pool.map(timed_send, range(count)))
    return times, count / (time.perf_counter() - began)


def make_rows(name: str, times: list[float], rate: float) -> list[Row]:
    """Return the rows for one series of requests."""
    return [
        Row(f"{name}, p50", "ms", percentile(times, 0.5)),
        Row(f"{name}, p99", "ms", percentile(times, 0.99)),
        Row(f"{name}, p99.9", "ms", percentile(times, 0.999)),
        Row(f"{name}, {CLIENTS} clients", "1/s", rate),
    ]


def apply_template(deployment: Deployment) -> None:
    """Apply the team's template and wait until every daemon serves its services."""
    change = {
        "change_id": "bench",
        "operator": "bench",
        "base_version": 0,
        "teams": [TEAM],
        "removed": [],
    }
    wait_until(lambda: deployment.call(0, "POST", "/v1/config", change)[0] == 200)
    for number in range(len(deployment.addresses)):
        for service in ("stock", "orders", "notes"):
            path = f"/v1/services/dairy/{service}/x"
            wait_until(lambda n=number, p=path: deployment.call(n, "GET", p)[0] == 200)
    # Shards change owners while daemons join; bench.restart measures that.
    time.sleep(SETTLE_S)


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds.

    :raises TimeoutError: after a minute.
    """
    for _ in range(300):
        if condition():
            return
        time.sleep(0.2)
    raise TimeoutError("the deployment did not begin to serve")


def find_stock_worker(deployment: Deployment) -> str:
    """Return the address of a worker that serves the service ``stock``."""
    response = deployment.http.request("GET", f"http://{deployment.hosts}/v1/hosts")
    for host in json.loads(response.data)["hosts"]:
        url = f"http://{host['address']}/service/dairy/stock/x"
        if deployment.http.request("GET", url).status == 200:
            return host["address"]
    raise LookupError("no worker serves stock")


def measure_routed() -> list[Row]:
    """Return latencies and CPU times of requests through real daemons."""
    with Deployment(ZONES, 1, 3) as deployment:
        apply_template(deployment)
        http = urllib3.PoolManager(retries=False, timeout=30, maxsize=CLIENTS)
        endpoint = find_stock_worker(deployment)
        gateways = deployment.addresses

        def send(url: str, method: str = "GET", **headers: str) -> None:
            response = http.request(method, url, headers=headers)
            if response.status != 200:
                raise RuntimeError(f"{url}: {response.status} {response.data}")

        def direct(_: int) -> None:
            send(f"http://{endpoint}/service/dairy/stock/x")

        def routed(number: int) -> None:
            send(f"http://{gateways[number % 3]}/v1/services/dairy/stock/x")

        def unsafe(number: int) -> None:
            send(f"http://{gateways[number % 3]}/v1/services/dairy/orders/x", "POST")

        def send_keyed(service: str, number: int) -> None:
            key_header = {"Idempotency-Key": f"{time.time_ns()}-{number}"}
            url = f"http://{gateways[number % 3]}/v1/services/dairy/{service}/x"
            send(url, "POST", **key_header)

        rows, times_by_name = [], {}
        for name, call in (
            ("direct", direct),
            ("routed", routed),
            ("routed unsafe", unsafe),
            ("key in memory", functools.partial(send_keyed, "notes")),
            ("key on two daemons", functools.partial(send_keyed, "orders")),
        ):
            try:
                time_requests(call, WARM_UP)
                before = [read_usage(item.pid).cpu_s for item in deployment.daemons]
                times, rate = time_requests(call, REQUESTS)
                after = [read_usage(item.pid).cpu_s for item in deployment.daemons]
            except RuntimeError as error:
                print(f"{name}: not measured: {error}", flush=True)
                continue
            rows.extend(make_rows(name, times, rate))
            times_by_name[name] = times
            if name != "direct":
                daemon_cpu_ms = (sum(after) - sum(before)) * 1000 / REQUESTS
                rows.append(
                    Row(f"{name}, processor time of daemons", "ms", daemon_cpu_ms)
                )
                rows.append(ratio_row(name, times, times_by_name["direct"], 0.5))
                rows.append(ratio_row(name, times, times_by_name["direct"], 0.99))
        return rows


def ratio_row(name: str, times: list[float], direct: list[float], share: float) -> Row:
    """Return the ratio of a percentile of routed requests to that of direct ones."""
    ratio = percentile(times, share) / percentile(direct, share)
    return Row(f"{name} / direct, p{share * 100:g}", "ratio", ratio)


def make_context(durability: str = "two-daemons") -> NodeContext:
    """Return a node context with one service."""
    context = NodeContext(Settings("d0", "a"))
    size = Resources(1, 1)
    service = ServiceTemplate("orders", 1, size, durability=durability)
    team = TeamTemplate("dairy", ("a",), size, services=(service,))
    context.view = ConfigView(1, (team,))
    return context


def make_admission(endpoints: int) -> Admission:
    """Return an admission with the given number of endpoints."""
    admission = Admission(make_context(), SHARD, 1, members=7)
    size = Resources(16_000, 60_000)
    admission.set_endpoints(
        [
            Endpoint("dairy", "orders", Worker(f"w{n}", "a", "r", f"h:{n}", size))
            for n in range(endpoints)
        ],
        NOW_MS,
    )
    return admission


def admit(admission: Admission, number: int) -> api.Grant:
    """Admit a request and return its grant."""
    body = api.AdmitRequest(
        f"r{number}", "dairy", "orders", NOW_MS + 9_000, gateway=f"d{number % 7}"
    )
    event = ports.ApiRequested(number, body)
    return admission.handle(event, NOW_MS)[0].result


def measure_admission(endpoints: int) -> list[Row]:
    """Return the cost of granting and returning slots while half are in use."""
    admission = make_admission(endpoints)
    grants = [admit(admission, -number) for number in range(1, endpoints * 4)]
    began = time.process_time()
    for number in range(DECISIONS):
        grants.append(admit(admission, number))
        grant = grants[number]
        body = api.FinishRequest(grant.request_id, SHARD, grant.worker_id, 20, "ok")
        admission.handle(ports.ApiRequested(0, body), NOW_MS)
    cpu_s = time.process_time() - began
    return [
        Row(f"admission, {endpoints} endpoints", "1/s", DECISIONS / cpu_s),
        Row(f"grant and return, {endpoints} endpoints", "µs", cpu_s / DECISIONS * 1e6),
    ]


def measure_grant_memory() -> list[Row]:
    """Return the memory that a slot in use takes at the owner."""
    admission = make_admission(1_600)
    tracemalloc.start()
    grants = [admit(admission, number) for number in range(ITEMS)]
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return [
        Row("grant, memory with the grant itself", "B", allocated_bytes / len(grants))
    ]


def make_table(durability: str) -> tuple[KeyTable, MarkStore]:
    """Return a key table whose backup daemon is ready, and the backup's mark store."""
    backup = MarkStore(1, lambda _: 1, str)
    peers = KeyPeers("d0", str, lambda _: 1, list, lambda: "d1", lambda: NOW_MS)
    marks = MarkStore(1, lambda _: 1, str)
    table = KeyTable(make_context(durability), SHARD, 1, NOW_MS, peers, marks)
    deliver_messages(table, backup, table.handle(ports.Tick(), NOW_MS))
    return table, backup


def deliver_messages(
    table: KeyTable, backup: MarkStore, commands: list
) -> api.ApiResult:
    """Deliver messages between a table and its backup; return the API result."""
    answer = None
    pending = list(commands)
    while pending:
        command = pending.pop(0)
        match command:
            case ports.ApiAnswer(result=result):
                answer = result
            case ports.SendPeer(message=message):
                to_backup = ports.PeerReceived("d0", message)
                for reply in backup.handle(to_backup, NOW_MS):
                    event = ports.PeerReceived("d1", reply.message)
                    pending.extend(table.handle(event, NOW_MS))
    return answer


def claim_and_finish_keys(durability: str) -> KeyTable:
    """Claim and finish many keys and return the table that holds them."""
    table, backup = make_table(durability)
    for number in range(ITEMS):
        name = f"key-{number}"
        begin = api.BeginKey("dairy", "orders", name, f"r{number}", b"d" * 16)
        finish = api.FinishKey(
            "dairy", "orders", name, f"r{number}", True, 200, (), b"x" * 200
        )
        for body in (begin, finish):
            event = ports.ApiRequested(1, body)
            deliver_messages(table, backup, table.handle(event, NOW_MS))
    return table


def measure_keys(durability: str) -> list[Row]:
    """Return the CPU time of a key's claim and outcome, without the network."""
    began = time.process_time()
    claim_and_finish_keys(durability)
    cpu_s = time.process_time() - began
    return [Row(f"key, {durability}, machines", "µs", cpu_s / ITEMS * 1e6)]


def measure_key_memory() -> list[Row]:
    """Return the memory of a finished key with a 200-byte response at each holder."""
    tracemalloc.start()
    table = claim_and_finish_keys("memory")
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return [
        Row("key, memory at each holder", "B", allocated_bytes / len(table.ledger.keys))
    ]


def measure_mark_messages() -> list[Row]:
    """Return the size and codec time of the peer messages of one key."""
    mark = messages.MarkKey(
        SHARD, 1, 1, "dairy", "orders", "k" * 24, "d0-1-1", b"d" * 16, NOW_MS
    )
    outcome = messages.KeyOutcome(
        SHARD, 1, "dairy", "orders", "k" * 24, "d0-1-1", True, 200, (), b"x" * 200
    )
    marked = messages.KeyMarked(SHARD, 1, 1, True)
    total_bytes, cpu_s_by_message = 0, []
    for message in (mark, marked, outcome):
        data = codec.encode(message, messages.PeerMessage)
        total_bytes += len(data)
        began = time.process_time()
        for _ in range(2_000):
            codec.decode(
                codec.encode(message, messages.PeerMessage), messages.PeerMessage
            )
        cpu_s_by_message.append((time.process_time() - began) / 2_000)
    return [
        Row("key, messages to the second daemon", "B", total_bytes),
        Row("key, codec of these messages", "µs", sum(cpu_s_by_message) * 1e6),
    ]


def main() -> None:
    """Measure, print and save all figures."""
    rows = [
        row for endpoints in (25, 400, 1_600) for row in measure_admission(endpoints)
    ]
    rows.extend(measure_grant_memory())
    for durability in ("memory", "two-daemons"):
        rows.extend(measure_keys(durability))
    rows.extend(measure_key_memory())
    rows.extend(measure_mark_messages())
    rows.extend(measure_routed())
    rates = [row.value for row in rows if row.unit == "ratio"]
    if rates:
        rows.append(Row("routed / direct, median", "ratio", statistics.median(rates)))
    save_rows("requests", rows)


if __name__ == "__main__":
    main()
