"""Tables that forget what was not written for longest."""

import collections
from collections.abc import Collection, Hashable


def keep_recent(table: collections.OrderedDict, key: Hashable, limit: int) -> None:
    """Mark a key as just written, and drop the oldest keys past the limit."""
    table.move_to_end(key)
    while len(table) > limit:
        table.popitem(last=False)


def forget_absent(table: dict[str, object], present: Collection[str]) -> None:
    """Drop the keys that are no longer present."""
    for key in [key for key in table if key not in present]:
        del table[key]
