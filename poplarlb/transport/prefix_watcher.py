"""Follows all keys under a prefix of the store."""

import asyncio
from collections.abc import Callable

from attrs import Factory, define

from poplarlb.exceptions import HistoryGoneError, PoplarlbError
from poplarlb.protocol.store import Store, StoredChange, StoredList

RETRY_S = 0.1  # doubles up to the longest pause
LONGEST_RETRY_S = 0.5  # an outage's end is noticed within this


@define
class PrefixWatcher:
    """Hands every change under a prefix on, in order, and relists when it must.

    :param on_change: called with each change; after a listing also for keys that are
        gone.
    :param on_confirmed: called whenever everything up to now has been handed on.
    :param on_trouble: called with the error of a failed call.
    """

    store: Store
    prefix: str
    wait_ms: int
    on_change: Callable[[StoredChange], None]
    on_confirmed: Callable[[], None]
    on_trouble: Callable[[PoplarlbError], None]
    known: dict[str, int] = Factory(dict)
    revision: int = 0

    def begin_with(self, listed: StoredList) -> None:
        """Go on from a listing whose items are known already."""
        self.known = {item.key: item.revision for item in listed.items}
        self.revision = listed.revision

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        pause_s = RETRY_S
        while True:
            try:
                if not self.revision:
                    self._take_list(await self.store.list(self.prefix))
                else:
                    await self._watch()
                pause_s = RETRY_S
                self.on_confirmed()
            except HistoryGoneError as error:
                self.on_trouble(error)
                self.revision = 0
            except PoplarlbError as error:
                self.on_trouble(error)
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, LONGEST_RETRY_S)

    async def _watch(self) -> None:
        found = await self.store.watch(self.prefix, self.revision, self.wait_ms)
        for change in found.changes:
            self._hand_on(change)
        self.revision = max(self.revision, found.revision)

    def _take_list(self, listed: StoredList) -> None:
        present = {item.key for item in listed.items}
        for key in [key for key in self.known if key not in present]:
            self._hand_on(StoredChange(key, None, listed.revision))
        for item in listed.items:
            if self.known.get(item.key) != item.revision:
                self._hand_on(StoredChange(item.key, item.value, item.revision))
        self.revision = listed.revision

    def _hand_on(self, change: StoredChange) -> None:
        if change.value is None:
            self.known.pop(change.key, None)
        else:
            self.known[change.key] = change.revision
        self.on_change(change)
