"""Configures the logs of ``poplarlbd``: one line for each record, as text or JSON."""

import json
import sys
import typing

from loguru import logger

from poplarlb.settings import LogSettings

TEXT_LIMIT = 6_000  # characters of each text in a JSON line, about
TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} {message}"


def configure_logs(
    settings: LogSettings, member_id: str = "", output: typing.TextIO | None = None
) -> None:
    """Send all logs to ``output``, by default standard error, as the settings say."""
    target = output or sys.stderr
    logger.remove()
    logger.configure(extra={"member": member_id} if member_id else {})
    if settings.json:

        def write(message) -> None:
            target.write(format_json(message.record) + "\n")
            target.flush()

        logger.add(write, level=settings.level, backtrace=False, diagnose=False)
        return
    logger.add(
        target,
        level=settings.level,
        format=TEXT_FORMAT,
        backtrace=False,
        diagnose=False,
    )


def format_json(record: dict) -> str:
    """Return one log record as a JSON object on one line."""
    line = {
        "time_ms": int(record["time"].timestamp() * 1000),
        "level": record["level"].name,
        "message": _cut(record["message"]),
        **{name: _cut(value) for name, value in record["extra"].items()},
    }
    if record["exception"] is not None:
        error = record["exception"]
        line["error"] = _cut(f"{error.type.__name__}: {error.value}")
    return json.dumps(line, default=str)


def _cut(value: object) -> object:
    """Return the value; of a long text, which may quote others, only both ends."""
    if not isinstance(value, str) or len(value) <= TEXT_LIMIT:
        return value
    half = TEXT_LIMIT // 2
    return f"{value[:half]} [{len(value)} characters] {value[-half:]}"
