"""Watches all keys under a prefix of the store."""

import asyncio
from collections.abc import Callable

from attrs import Factory, define

from poplarlb.exceptions import HistoryGoneError, PoplarlbError
from poplarlb.protocol.store import Store, StoredChange, StoredList

RETRY_S = 0.1  # doubles up to MAX_RETRY_DELAY_S
MAX_RETRY_DELAY_S = 0.5  # the end of an outage is noticed within this


@define
class PrefixWatcher:
    """Delivers every change under a prefix in order; relists if history is missing.

    ``revision`` is the store's revision up to which changes are delivered; 0 means that
    the prefix must be listed.

    :param wait_ms: how long a call may wait for a change.
    :param on_change: called with each change; after a listing also for deleted keys.
    :param on_confirmed: called when all changes so far have been delivered.
    :param on_error: called with the error of a failed call.
    """

    store: Store
    prefix: str
    wait_ms: int
    on_change: Callable[[StoredChange], None]
    on_confirmed: Callable[[], None]
    on_error: Callable[[PoplarlbError], None]
    known_revisions: dict[str, int] = Factory(dict)
    revision: int = 0

    def resume_from(self, listed: StoredList) -> None:
        """Continue from a listing whose items have already been handled."""
        self.known_revisions = {item.key: item.revision for item in listed.items}
        self.revision = listed.revision

    async def run(self) -> None:
        """Watch the prefix until cancelled."""
        delay_s = RETRY_S
        while True:
            try:
                if not self.revision:
                    self._apply_list(await self.store.list(self.prefix))
                else:
                    await self._watch()
                delay_s = RETRY_S
                self.on_confirmed()
            except HistoryGoneError as error:
                self.on_error(error)
                self.revision = 0
            except PoplarlbError as error:
                self.on_error(error)
                await asyncio.sleep(delay_s)
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    async def _watch(self) -> None:
        found = await self.store.watch(self.prefix, self.revision, self.wait_ms)
        for change in found.changes:
            self._deliver(change)
        self.revision = max(self.revision, found.revision)

    def _apply_list(self, listed: StoredList) -> None:
        present = {item.key for item in listed.items}
        for key in [key for key in self.known_revisions if key not in present]:
            self._deliver(StoredChange(key, None, listed.revision))
        for item in listed.items:
            if self.known_revisions.get(item.key) != item.revision:
                self._deliver(StoredChange(item.key, item.value, item.revision))
        self.revision = listed.revision

    def _deliver(self, change: StoredChange) -> None:
        if change.value is None:
            self.known_revisions.pop(change.key, None)
        else:
            self.known_revisions[change.key] = change.revision
        self.on_change(change)
