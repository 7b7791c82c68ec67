"""Long random walks over whole nodes: ``python -m tests.fuzz [SEED] [COUNT]``.

Prints the account of the first walk that breaks a promise, and exits 1.
"""

import sys

from tests.harness.walk import walk_randomly

STEPS = 60


def main() -> None:
    """Run ``COUNT`` walks from ``SEED`` on."""
    first = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 20
    failed = 0
    for seed in range(first, first + count):
        walk, broken = walk_randomly(seed, STEPS)
        print(f"seed {seed}: {len(broken)} broken", flush=True)
        for violation in broken[:5]:
            print(f"  {violation.promise}: {violation.detail}")
        if broken and not failed:
            print("\n".join(f"    {line}" for line in walk.trace))
        failed += bool(broken)
    print(f"{count - failed} passed, {failed} failed")
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
