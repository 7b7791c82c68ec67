"""Keeps a view of all keys under a prefix of the store up to date."""

import asyncio
from collections.abc import Callable

from attrs import Factory, define, field, frozen

from poplarlb.coordination.jobs.prefix_view import PrefixView, ViewUpdate
from poplarlb.event_log import EventLog
from poplarlb.exceptions import PoplarlbError
from poplarlb.protocol.store import Store, StoredChange, StoredList
from poplarlb.transport.clock import boottime_ms

RETRY_S = 0.1  # doubles up to MAX_RETRY_DELAY_S
MAX_RETRY_DELAY_S = 0.5  # the end of an outage is noticed within this


@frozen
class WatchSettings:
    """How one prefix is watched and listed.

    :param source: the prefix's name in log lines.
    :param wait_ms: how long a watch may wait for a change.
    :param list_period_s: from one listing's request to the next one's; a change that
        the watch left out is found within this.
    :param list_timeout_s: how long each page of a listing may take.
    :param list_bytes_per_s: lists larger than this allows for are read less often;
        None for no limit.
    """

    source: str
    prefix: str
    wait_ms: int
    list_period_s: float
    list_timeout_s: float = 1.0
    list_bytes_per_s: int | None = None


@define(eq=False)
class PrefixWatcher:
    """Delivers every change under a prefix, found by a watch or by a listing.

    After a failed watch the prefix is listed before the watch continues, as changes
    that the watch left out before it failed may no longer be in the store's history.

    :param on_change: called with each change; after a listing also for removed keys.
    :param on_listed: called after each listing, which proves the view.
    :ivar list_due: set to have the prefix listed at once.
    :ivar listed: set, and replaced, after each listing.
    :ivar watch_may_continue: cleared from a failed watch until a later listing.
    :ivar listed_bytes: the size of the values in the last listing.
    """

    store: Store
    settings: WatchSettings
    on_change: Callable[[StoredChange], None]
    on_listed: Callable[[], None]
    log: EventLog
    view: PrefixView = Factory(PrefixView)
    list_due: asyncio.Event = field(factory=asyncio.Event)
    listed: asyncio.Event = field(factory=asyncio.Event)
    watch_may_continue: asyncio.Event = field(factory=asyncio.Event)
    watch_failures: int = 0
    listed_bytes: int = 0

    def resume_from(self, listed: StoredList, sent_ms: int) -> None:
        """Continue from a listing whose items have already been handled."""
        self.view.apply_list(listed, sent_ms)
        self.watch_may_continue.set()

    async def run(self) -> None:
        """Watch and list the prefix until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._list_repeatedly())
            group.create_task(self._watch_repeatedly())

    async def refresh(self, timeout_s: float) -> None:
        """List now; return after the listing, or after ``timeout_s``."""
        listed = self.listed
        self.list_due.set()
        try:
            async with asyncio.timeout(timeout_s):
                await listed.wait()
        except TimeoutError:
            self.log.write(
                "refresh_unanswered", source=self.settings.source, timeout_s=timeout_s
            )

    # --- listings ---------------------------------------------------------------------

    async def _list_repeatedly(self) -> None:
        loop = asyncio.get_running_loop()
        if self.view.listed_revision:
            await self._wait_until_due(self.settings.list_period_s)
        delay_s = RETRY_S
        while True:
            sent_s = loop.time()
            self.list_due.clear()
            try:
                await self._list()
            except PoplarlbError as error:
                self._log_failure("list", error)
                await self._wait_until_due(delay_s)
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
                continue
            delay_s = RETRY_S
            await self._wait_until_due(sent_s + self._list_period_s() - loop.time())

    async def _list(self) -> None:
        failures, sent_ms = self.watch_failures, boottime_ms()
        listed = await self.store.list(
            self.settings.prefix, self.settings.list_timeout_s
        )
        self.listed_bytes = sum(len(item.value) for item in listed.items)
        self._deliver(self.view.apply_list(listed, sent_ms))
        if failures == self.watch_failures:
            self.watch_may_continue.set()
        listed_event, self.listed = self.listed, asyncio.Event()
        listed_event.set()
        self.on_listed()

    def _list_period_s(self) -> float:
        settings = self.settings
        if settings.list_bytes_per_s is None:
            return settings.list_period_s
        return max(
            settings.list_period_s, self.listed_bytes / settings.list_bytes_per_s
        )

    async def _wait_until_due(self, timeout_s: float) -> None:
        """Wait until a listing is due, or one was asked for."""
        if timeout_s <= 0:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self.list_due.wait()
        except TimeoutError:
            return

    # --- watch ------------------------------------------------------------------------

    async def _watch_repeatedly(self) -> None:
        delay_s = RETRY_S
        while True:
            await self.watch_may_continue.wait()
            try:
                await self._watch()
                delay_s = RETRY_S
            except PoplarlbError as error:
                self._log_failure("watch", error)
                self.watch_failures += 1
                self.watch_may_continue.clear()
                self.list_due.set()
                await asyncio.sleep(delay_s)
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    async def _watch(self) -> None:
        found = await self.store.watch(
            self.settings.prefix, self.view.watched_revision, self.settings.wait_ms
        )
        self._deliver(self.view.apply_watch(found))

    # --- both -------------------------------------------------------------------------

    def _deliver(self, update: ViewUpdate) -> None:
        for change in update.missed:
            self.log.write(
                "change_missed",
                source=self.settings.source,
                key=change.key,
                revision=change.revision,
                view_revision=self.view.watched_revision,
            )
        for change in update.changes:
            self.on_change(change)

    def _log_failure(self, call: str, error: PoplarlbError) -> None:
        self.log.write(
            "watch_failed",
            source=self.settings.source,
            call=call,
            error=error.detail,
            view_age_ms=self.view.age_ms(boottime_ms()),
        )
