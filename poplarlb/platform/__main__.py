"""Starts the platform's daemon process: ``python3 -m poplarlb.platform``.

SIGHUP, the request to reload the settings, may arrive before the modules are loaded.
By default it would end the process, so it is ignored until the daemon handles it; the
settings are read after that in any case.
"""

import signal


def main() -> None:
    """Ignore SIGHUP until the daemon handles it, and run the daemon."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from poplarlb.platform import daemon

    daemon.main()


if __name__ == "__main__":
    main()
