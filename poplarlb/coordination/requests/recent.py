"""Helpers that drop a table's least recently written keys, or those not in use."""

import collections
from collections.abc import Collection, Hashable


def keep_recent(table: collections.OrderedDict, key: Hashable, limit: int) -> None:
    """Record a write to a key and drop the oldest keys over the limit."""
    table.move_to_end(key)
    while len(table) > limit:
        table.popitem(last=False)


def forget_absent(table: dict[str, object], present: Collection[str]) -> None:
    """Drop the keys of the table that are not in ``present``."""
    for key in [key for key in table if key not in present]:
        del table[key]
