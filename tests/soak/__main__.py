"""Runs soak seeds: ``python -m tests.soak FIRST COUNT [PARALLEL]``.

A failed seed keeps its folder in ``soak-logs``; the exit status is 1 if any failed.
"""

import asyncio
import pathlib
import shutil
import sys

from tests.soak.soak import Soak

LOGS = pathlib.Path("soak-logs")


async def run_seed(seed: int, limit: asyncio.Semaphore) -> bool:
    """Run one seed, print its result, and return whether it passed."""
    async with limit:
        folder = LOGS / f"seed-{seed}"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        soak = Soak(seed, folder.absolute())
        try:
            violations = await soak.run()
        except Exception as error:
            violations = [f"the soak failed: {error!r}"]
        started = len(soak.invariants.started_runs) if soak.invariants else 0
        print(
            f"seed {seed}: {started} starts, {len(violations)} violations, "
            f"longest stall {soak.longest_stall_s:.2f} s",
            flush=True,
        )
        for line in violations[:5]:
            print(f"  {line}", flush=True)
        if not violations:
            shutil.rmtree(folder)
        return not violations


async def run_all(first: int, count: int, parallel: int) -> int:
    """Run every seed and return how many failed."""
    limit = asyncio.Semaphore(parallel)
    seeds = range(first, first + count)
    passed = await asyncio.gather(*(run_seed(seed, limit) for seed in seeds))
    return passed.count(False)


def main() -> None:
    """Run the seeds that the command line names."""
    first, count, *rest = (int(item) for item in sys.argv[1:])
    failed = asyncio.run(run_all(first, count, rest[0] if rest else 1))
    print(f"{count - failed} passed, {failed} failed")
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
