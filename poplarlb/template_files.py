"""Reads template files: TOML with inheritance and parameters.

The key ``extends`` names a base file, whose values the file overrides. ``${name}`` in a
value stands for a value of the table ``parameters``. The file and line of every value
are kept for error messages.
"""

import pathlib
import re
import tomllib
import typing

from attrs import Factory, define, frozen

from poplarlb.exceptions import BadRequestError
from poplarlb.state.templates import TeamTemplate
from poplarlb.templates import TemplateFault, build_team, check_table

BASE_DEPTH_LIMIT = 8

_TABLE_HEADER = re.compile(r"^\s*\[\s*([\w\-. \"']+?)\s*\]\s*(#.*)?$")
_KEY = re.compile(r"^\s*([\w\-.]+)\s*=")
_PARAMETER = re.compile(r"\$\{([\w-]+)\}")


@frozen
class Origin:
    """The file and line where a value is set."""

    file: str
    line: int


@define
class TemplateSource:
    """The values of a file and its base files, with the origin of each.

    ``faults`` are descriptions of what is wrong, with file and line.
    """

    table: dict = Factory(dict)
    origins: dict[tuple[str, ...], Origin] = Factory(dict)
    faults: list[str] = Factory(list)

    def line_of(self, path: tuple[str, ...]) -> str:
        """Return ``file:line`` of a value, or else of the innermost table around it."""
        for length in range(len(path), -1, -1):
            origin = self.origins.get(path[:length])
            if origin is not None:
                return f"{origin.file}:{origin.line}"
        return "template"


def load_team(path: str, zones: typing.Collection[str] = ()) -> TeamTemplate:
    """Return the template in a TOML file.

    :param zones: the existing availability zones; empty if they are not known.
    :raises BadRequestError: the template has faults; lists all, with file and line.
    """
    source = TemplateSource()
    _merge_file(pathlib.Path(path), source, 0)
    if not source.faults:
        _fill_parameters(source)
        found = check_table(source.table, zones)
        source.faults.extend(f"{source.line_of(f.path)}: {f}" for f in found)
    if source.faults:
        raise BadRequestError("\n".join(source.faults))
    return build_team(source.table)


def _merge_file(path: pathlib.Path, source: TemplateSource, depth: int) -> None:
    if depth > BASE_DEPTH_LIMIT:
        source.faults.append(f"{path}: more than {BASE_DEPTH_LIMIT} nested base files")
        return
    try:
        text = path.read_text(encoding="utf-8")
        table = tomllib.loads(text)
    except (OSError, UnicodeDecodeError) as error:
        source.faults.append(f"{path}: can't be read: {error}")
        return
    except tomllib.TOMLDecodeError as error:
        source.faults.append(f"{path}: {error}")
        return
    base = table.pop("extends", None)
    if isinstance(base, str):
        _merge_file(path.parent / base, source, depth + 1)
    elif base is not None:
        source.faults.append(f"{path}: extends: {base!r} is not a file name")
    _merge_tables(source.table, table)
    source.origins.update(_find_origins(text, str(path)))


def _merge_tables(base: dict, overrides: dict) -> None:
    for key, value in overrides.items():
        if isinstance(value, dict) and isinstance(base.get(key), dict):
            _merge_tables(base[key], value)
        else:
            base[key] = value


def _find_origins(text: str, file: str) -> dict[tuple[str, ...], Origin]:
    found = {(): Origin(file, 1)}
    table: tuple[str, ...] = ()
    for number, line in enumerate(text.splitlines(), 1):
        header, key = _TABLE_HEADER.match(line), _KEY.match(line)
        if header:
            table = _split_path(header[1])
            found[table] = Origin(file, number)
        elif key:
            found[(*table, *_split_path(key[1]))] = Origin(file, number)
    return found


def _split_path(dotted: str) -> tuple[str, ...]:
    return tuple(part.strip(" \"'") for part in dotted.split("."))


def _fill_parameters(source: TemplateSource) -> None:
    parameters = source.table.pop("parameters", {})
    if not isinstance(parameters, dict):
        source.faults.append(f"{source.line_of(('parameters',))}: not a table")
        return
    used: set[str] = set()
    source.table = _substitute(source.table, (), parameters, used, source)
    for name in sorted(parameters.keys() - used):
        line = source.line_of(("parameters", name))
        source.faults.append(f"{line}: parameters.{name}: unused parameter")


def _substitute(
    value: object, path: tuple, parameters: dict, used: set, source: TemplateSource
) -> object:
    if isinstance(value, dict):
        return {
            key: _substitute(item, (*path, key), parameters, used, source)
            for key, item in value.items()
        }
    if isinstance(value, list):
        return [_substitute(i, path, parameters, used, source) for i in value]
    if not isinstance(value, str):
        return value
    names = set(_PARAMETER.findall(value))
    used.update(names)
    for name in sorted(names - parameters.keys()):
        allowed = ", ".join(sorted(parameters)) or "none is declared"
        fault = TemplateFault(path, f"no parameter {name!r}", allowed)
        source.faults.append(f"{source.line_of(path)}: {fault}")
    whole = _PARAMETER.fullmatch(value)
    if whole and whole[1] in parameters:
        return parameters[whole[1]]
    return _PARAMETER.sub(lambda m: str(parameters.get(m[1], m[0])), value)
