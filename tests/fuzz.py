"""Runs random walks over whole nodes: ``python -m tests.fuzz [SEED] [COUNT]``.

Prints the violated guarantees of each walk, and the trace of the first walk that has
any; exits with 1 in that case.
"""

import sys

from tests.harness.walk import walk_randomly

STEPS = 60


def main() -> None:
    """Run ``COUNT`` walks with consecutive seeds from ``SEED``."""
    first = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 20
    failed = 0
    for seed in range(first, first + count):
        walk, violations = walk_randomly(seed, STEPS)
        print(f"seed {seed}: {len(violations)} violations", flush=True)
        for violation in violations[:5]:
            print(f"  {violation.guarantee}: {violation.detail}")
        if violations and not failed:
            print("\n".join(f"    {line}" for line in walk.trace))
        failed += bool(violations)
    print(f"{count - failed} passed, {failed} failed")
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
