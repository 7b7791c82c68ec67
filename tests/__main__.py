"""Runs the whole suite and prints unittest's own closing lines."""

import sys
import unittest


def main() -> None:
    """Run every test below ``tests``; exit 1 on any failure."""
    suite = unittest.defaultTestLoader.discover("tests", top_level_dir=".")
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    sys.exit(not result.wasSuccessful())


if __name__ == "__main__":
    main()
