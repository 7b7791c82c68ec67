"""Resource use of idle daemon processes, and times from submission to start.

``python -m bench.daemon`` prints rows of ``name, unit, value``.
"""

import statistics
import time

from bench.processes import Deployment, read_usage
from bench.rows import Row, save_rows

ZONES = ("a", "b", "c")
IDLE_S = 10.0
JOBS = 20


def measure_idle(deployment: Deployment) -> list[Row]:
    """Return the resource use and store traffic of idle daemons."""
    time.sleep(8)
    calls = deployment.store_calls()
    before = [read_usage(item.pid) for item in deployment.daemons]
    time.sleep(IDLE_S)
    after = [read_usage(item.pid) for item in deployment.daemons]
    later = deployment.store_calls()
    shares = [
        (new.cpu_s - old.cpu_s) / (new.at_s - old.at_s)
        for old, new in zip(before, after, strict=True)
    ]
    total = sum(later.values()) - sum(calls.values())
    moved_bytes = later["transferred_bytes"] - calls["transferred_bytes"]
    daemons = len(deployment.daemons)
    return [
        Row("idle processor share, median", "% of a core", _median(shares) * 100),
        Row("idle processor share, largest", "% of a core", max(shares) * 100),
        Row(
            "resident memory, largest",
            "MB",
            max(item.resident_bytes for item in after) / 1e6,
        ),
        Row(
            "store calls, idle",
            "1/s a daemon",
            (total - moved_bytes) / IDLE_S / daemons,
        ),
        Row("store bytes, idle", "B/s a daemon", moved_bytes / IDLE_S / daemons),
    ]


def measure_submit_to_start(deployment: Deployment, work_class: str) -> list[Row]:
    """Return how long jobs of a work class wait for their start."""
    body = {
        "class": work_class,
        "size": {"cpu_millis": 100, "memory_mb": 100},
        "run_time_ms": 500,
    }
    submitted = {}
    for number in range(JOBS):
        name = f"{work_class}-{number}"
        submitted[f"dairy/{name}"] = time.time() * 1000
        deployment.call(number % 3, "PUT", f"/v1/jobs/dairy/{name}", body)
        time.sleep(0.1)
    time.sleep(5)
    waits = [
        row["at_ms"] - submitted[row["subject"]]
        for row in deployment.history()
        if row["what"] == "start" and row["subject"] in submitted
    ]
    name = f"submit to start, {work_class}"
    return [
        Row(f"{name}: started", f"of {JOBS}", len(waits)),
        Row(f"{name}: median", "ms", _median(waits)),
        Row(f"{name}: largest", "ms", max(waits, default=0)),
    ]


def _median(values: list[float]) -> float:
    return statistics.median(values) if values else 0.0


def main() -> list[Row]:
    """Measure three daemons with 21 workers, print the rows and save them."""
    with Deployment(ZONES, 7, 3) as deployment:
        change = {
            "change_id": "bench",
            "operator": "bench",
            "base_version": 0,
            "teams": [
                {
                    "team": "dairy",
                    "zones": list(ZONES),
                    "quota": {
                        "cpu_millis": 200_000,
                        "memory_mb": 500_000,
                        "accelerators": 0,
                    },
                }
            ],
            "removed": [],
        }
        deployment.call(0, "POST", "/v1/config", change)
        rows = measure_idle(deployment)
        rows += measure_submit_to_start(deployment, "urgent")
        rows += measure_submit_to_start(deployment, "ordinary")
    save_rows("daemon", rows)
    return rows


if __name__ == "__main__":
    main()
