"""``poplarlbd``: a daemon of the scheduler, a member of the deployment."""

import argparse
import asyncio
import os
import signal
import sys
import threading

from loguru import logger

from poplarlb.exceptions import SettingsError
from poplarlb.logs import configure_logs
from poplarlb.settings import Settings, load_settings
from poplarlb.transport.callers import CallerServer
from poplarlb.transport.operators import OperatorServer
from poplarlb.transport.runtime import Runtime

EXIT_BAD_SETTINGS = 2
EXIT_FORCED = 3


def main() -> None:
    """Read the settings and run the daemon until it is stopped."""
    parser = argparse.ArgumentParser("poplarlbd", description=__doc__)
    parser.add_argument("--config", required=True, metavar="FILE.toml")
    parser.add_argument(
        "--check", action="store_true", help="only check the settings file"
    )
    arguments = parser.parse_args()
    try:
        settings = load_settings(arguments.config)
    except SettingsError as error:
        print(error.detail, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if arguments.check:
        print("the settings are valid")
        return
    run(settings)


def run(settings: Settings) -> None:
    """Run one daemon until its graceful shutdown is complete."""
    configure_logs(settings.logs, settings.member_id)
    runtime = Runtime(settings)
    server = CallerServer(runtime)
    servers = [server]
    if settings.api.operator_listen:
        servers.append(OperatorServer(runtime))
        logger.info("the operators' API listens on {}", servers[-1].address)
    for item in servers:
        threading.Thread(target=item.serve, daemon=True).start()
    logger.info("member {} serves on {}", settings.member_id, server.address)
    asyncio.run(_run_until_stopped(runtime, servers))
    logger.info("member {} has stopped", settings.member_id)


async def _run_until_stopped(runtime: Runtime, servers: list) -> None:
    loop = asyncio.get_running_loop()
    stopping: list[asyncio.Task] = []

    def stop() -> None:
        if stopping:
            logger.warning("second signal received: the process exits at once")
            os._exit(EXIT_FORCED)
        stopping.append(loop.create_task(_stop(runtime, servers)))

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    await runtime.run(servers[0].address)


async def _stop(runtime: Runtime, servers: list) -> None:
    """Report not ready for ``drain_ms``, so that the load balancer notices, and stop.

    In-flight requests are finished before the shards are handed over.
    """
    logger.info("graceful shutdown: the daemon is no longer ready")
    runtime.draining = True
    await asyncio.sleep(runtime.settings.stop.drain_ms / 1000)
    loop = asyncio.get_running_loop()
    results = await asyncio.gather(
        *(loop.run_in_executor(None, server.stop) for server in servers),
        return_exceptions=True,
    )
    for error in (item for item in results if isinstance(item, BaseException)):
        logger.opt(exception=error).error("graceful shutdown: a server failed to stop")
    logger.info("graceful shutdown: in-flight requests are finished")
    runtime.hand_over()


if __name__ == "__main__":
    main()
