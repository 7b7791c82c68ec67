"""Runs all benchmarks, the policy comparison in its quick form."""

import importlib
import importlib.util

MODULES = (
    "store",
    "shard",
    "jobs",
    "transport",
    "requests",
    "restart",
    "decisions",
    "daemon",
    "policy",
    "config",
)


def main() -> None:
    """Run the benchmarks in turn; the first exception ends the run."""
    for name in MODULES:
        path = f"bench.{name}"
        if importlib.util.find_spec(path) is None:
            print(f"{path}: absent, not run", flush=True)
            continue
        print(f"{path}:", flush=True)
        module = importlib.import_module(path)
        if name == "policy":
            module.main(quick=True)
        else:
            module.main()


if __name__ == "__main__":
    main()
