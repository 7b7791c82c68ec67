"""Starts the process that the platform runs: ``python3 -m poplarlb.platform``.

A request to read the settings anew may come before the modules are loaded; by default
it would end the process. The settings are read later in any case.
"""

import signal


def main() -> None:
    """Ignore such requests until the daemon handles them, and run it."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from poplarlb.platform import daemon

    daemon.main()


if __name__ == "__main__":
    main()
