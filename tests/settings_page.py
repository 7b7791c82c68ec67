"""Generates docs/settings.md from the classes in poplarlb/settings.py.

Run ``python -m tests.settings_page`` after adding or changing a setting.
"""

import inspect
import pathlib

import attrs

from poplarlb.settings import Settings
from poplarlb.settings_checks import Between

PAGE = pathlib.Path("docs/settings.md")
START = """# Settings

All settings of `poplarlbd`, as `--config FILE.toml` takes them. `poplarlbd --config
FILE.toml --check` reports every fault of a file and starts nothing. A name
with a dot belongs to the table before the dot: `store.address` is `address` in
`[store]`. Durations end in their unit; addresses are an IP address and a port.

This page is written by `python -m tests.settings_page`.
"""


def render() -> str:
    """Return the text of the page."""
    parts = [START, _section("At the top", "", _plain(Settings))]
    parts += [
        _section(f"[{item.name}]", inspect.getdoc(item.type), _rows(item))
        for item in attrs.fields(Settings)
        if attrs.has(item.type)
    ]
    return "\n".join(parts)


def _section(title: str, text: str, rows: list[str]) -> str:
    table = ["| setting | default | allowed |", "| --- | --- | --- |", *rows]
    description = [text, ""] if text else []
    return "\n".join([f"## {title}", "", *description, *table, ""])


def _plain(kind: type, prefix: str = "") -> list[str]:
    return [
        f"| `{prefix}{item.name}` | `{_default(item)}` | {_allowed(item)} |"
        for item in attrs.fields(kind)
        if not attrs.has(item.type)
    ]


def _rows(group: attrs.Attribute) -> list[str]:
    return _plain(group.type, f"{group.name}.")


def _default(item: attrs.Attribute) -> str:
    if item.default is attrs.NOTHING:
        return "required"
    if isinstance(item.default, bool):
        return str(item.default).lower()
    if isinstance(item.default, tuple):
        return str(list(item.default))
    return str(item.default) or "(empty)"


def _allowed(item: attrs.Attribute) -> str:
    if isinstance(item.validator, Between):
        return f"{item.validator.low} to {item.validator.high}"
    if item.validator is not None:
        try:
            item.validator(None, item, ("?", "?") if item.type is not str else "?")
        except ValueError as error:
            return str(error)
    return {str: "text", bool: "true or false"}.get(item.type, "a list of texts")


if __name__ == "__main__":
    PAGE.write_text(render())
