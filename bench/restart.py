"""Requests during a planned restart of one of three daemons.

``python -m bench.restart`` prints the number of requests by status and reason.
"""

import collections
import signal
import threading
import time

from attrs import Factory, define

from bench.processes import Deployment
from bench.rows import Row, save_rows

ZONES = ("a", "b", "c")
CLIENTS = 4
PAUSE_S = 0.02
STOP_AFTER_S = 5
RUN_S = 35


@define
class CallerResults:
    """The responses that callers received, by status and reason."""

    counts: collections.Counter[str] = Factory(collections.Counter)
    latencies_ms: list[float] = Factory(list)
    lock: threading.Lock = Factory(threading.Lock)


def run_client(
    deployment: Deployment, number: int, results: CallerResults, until_s: float
) -> None:
    """Send requests, with and without keys, to the daemons that are not restarted."""
    sent = 0
    while time.monotonic() < until_s:
        sent += 1
        headers = {"Poplarlb-Timeout-Ms": "8000"}
        if sent % 2:
            headers["Idempotency-Key"] = f"k-{number}-{sent}"
            headers["Poplarlb-Attempt"] = "1"
        address = deployment.addresses[(0, 2)[number % 2]]
        url = f"http://{address}/v1/services/dairy/orders/x"
        began_s = time.monotonic()
        response = deployment.http.request("POST", url, headers=headers, body=b"{}")
        latency_ms = (time.monotonic() - began_s) * 1000
        reason = "" if response.status == 200 else response.json().get("reason", "")
        with results.lock:
            results.counts[f"{response.status} {reason}".strip()] += 1
            results.latencies_ms.append(latency_ms)
        time.sleep(PAUSE_S)


def main() -> list[Row]:
    """Restart the second daemon under load, and print and save the results."""
    results = CallerResults()
    with Deployment(ZONES, 3, 3) as deployment:
        _apply_template(deployment)
        _wait_until_served(deployment)
        time.sleep(20)
        until_s = time.monotonic() + RUN_S
        threads = [
            threading.Thread(
                target=run_client, args=(deployment, number, results, until_s)
            )
            for number in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        time.sleep(STOP_AFTER_S)
        stopped = deployment.daemons[1]
        stopped.send_signal(signal.SIGTERM)
        exit_code = stopped.wait(60)
        deployment.restart(1)
        for thread in threads:
            thread.join()
    latencies = sorted(results.latencies_ms)
    rows = [
        Row("restart: exit code of the stopped daemon", "", exit_code),
        Row("restart: requests", "", len(latencies)),
        *(
            Row(f"restart: {name}", "requests", count)
            for name, count in sorted(results.counts.items())
        ),
        Row("restart: p50", "ms", latencies[len(latencies) // 2]),
        Row("restart: p99", "ms", latencies[int(len(latencies) * 0.99)]),
        Row("restart: largest", "ms", latencies[-1]),
    ]
    save_rows("restart", rows)
    return rows


def _apply_template(deployment: Deployment) -> None:
    size = {"cpu_millis": 1_000, "memory_mb": 1_000, "accelerators": 0}
    service = {"name": "orders", "replicas": 3, "size": size, "idempotent": False}
    quota = {"cpu_millis": 90_000, "memory_mb": 300_000, "accelerators": 0}
    team = {"team": "dairy", "zones": list(ZONES), "quota": quota}
    change = {
        "change_id": "bench",
        "operator": "bench",
        "base_version": 0,
        "teams": [{**team, "services": [service]}],
        "removed": [],
    }
    deployment.call(0, "POST", "/v1/config", change)


def _wait_until_served(deployment: Deployment) -> None:
    for _ in range(300):
        path = "/v1/services/dairy/orders/ready"
        if deployment.call(0, "POST", path, {})[0] == 200:
            return
        time.sleep(0.2)
    raise RuntimeError("the service is not served")


if __name__ == "__main__":
    main()
