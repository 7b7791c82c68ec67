"""Keeps a view of all keys under a prefix of the store up to date."""

import asyncio
import random
from collections.abc import Callable

from attrs import Factory, define, field, frozen

from poplarlb.coordination.jobs.prefix_view import PrefixView, ViewUpdate
from poplarlb.event_log import EventLog
from poplarlb.exceptions import BadAnswerError, PoplarlbError
from poplarlb.protocol.store import (
    Applied,
    Conflict,
    Store,
    StoredChange,
    StoredList,
    Transaction,
)
from poplarlb.transport.clock import boottime_ms

RETRY_S = 0.1  # doubles up to MAX_RETRY_DELAY_S, each with jitter
MAX_RETRY_DELAY_S = 0.5  # the end of an outage is noticed within this
MIN_JITTER_SHARE = 0.5  # of a retry's delay
# From this size on values are compared by their revisions instead of being listed;
# below it a listing costs no more than a comparison.
MIN_COMPARED_BYTES = 16 * 1024
RECEIVING_S = 0.3  # an answer whose last part is older isn't waited for


@frozen
class WatchSettings:
    """How one prefix is watched and listed.

    :param source: the prefix's name in log lines.
    :param wait_ms: how long a watch may wait for a change.
    :param list_period_s: from one listing's request to the next one's; a change that
        the watch left out is found within this.
    :param list_timeout_s: how long each page of a listing may take until its first
        part arrives.
    :param list_bytes_per_s: lists larger than this allows for are read less often;
        None for no limit.
    :param compared_keys: all keys of the prefix whose changes matter, at most 32. If
        there are any, large values are compared by revision instead of being listed.
    """

    source: str
    prefix: str
    wait_ms: int
    list_period_s: float
    list_timeout_s: float = 1.0
    list_bytes_per_s: int | None = None
    compared_keys: tuple[str, ...] = ()


@define(eq=False)
class PrefixWatcher:
    """Delivers every change under a prefix, found by a watch or by a listing.

    After a failed watch the prefix is listed or compared before the watch continues, as
    changes that the watch left out before it failed may no longer be in the store's
    history. Failed calls are repeated with increasing delays, however many requests
    wait for them.

    :param on_change: called with each change; after a listing also for removed keys.
    :param on_listed: called after each listing or comparison, which proves the view.
    :ivar list_due: set to have the prefix listed or compared at once.
    :ivar listed: set, and replaced, after each listing or comparison.
    :ivar watch_may_continue: cleared from a failed watch until a later listing or
        comparison.
    :ivar received_s: when a part of a watch's answer last arrived, on the event loop's
        clock.
    :ivar is_failing: the last listing or comparison has failed.
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
    received_s: float = 0.0
    is_failing: bool = False

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
        """List or compare now; return after that, or after ``timeout_s``.

        If the last attempt has failed, only its retry is waited for.
        """
        listed = self.listed
        if not self.is_failing:
            self.list_due.set()
        try:
            async with asyncio.timeout(timeout_s):
                await listed.wait()
        except TimeoutError:
            self.log.write(
                "refresh_unanswered", source=self.settings.source, timeout_s=timeout_s
            )

    # --- listings and comparisons -----------------------------------------------------

    async def _list_repeatedly(self) -> None:
        loop = asyncio.get_running_loop()
        if self.view.listed_revision:
            await self._wait_until_due(self.settings.list_period_s)
        delay_s = RETRY_S
        while True:
            await self._wait_for_watch()
            sent_s = loop.time()
            self.list_due.clear()
            try:
                await self._confirm()
            except PoplarlbError as error:
                self.is_failing = True
                self._log_failure("list", error)
                await self._wait_until_due(jitter(delay_s))
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
                continue
            self.is_failing = False
            delay_s = RETRY_S
            await self._wait_until_due(sent_s + self._list_period_s() - loop.time())

    async def _confirm(self) -> None:
        """Prove the view by a listing or by a comparison."""
        failures, sent_ms = self.watch_failures, boottime_ms()
        compared_keys = self.settings.compared_keys
        is_large = self.view.total_bytes >= MIN_COMPARED_BYTES
        if compared_keys and is_large and self.view.listed_revision:
            await self._compare(compared_keys, sent_ms)
        else:
            listed = await self.store.list(
                self.settings.prefix, self.settings.list_timeout_s
            )
            self._deliver(self.view.apply_list(listed, sent_ms))
        if failures == self.watch_failures:
            self.watch_may_continue.set()
        listed_event, self.listed = self.listed, asyncio.Event()
        listed_event.set()
        self.on_listed()

    async def _compare(self, keys: tuple[str, ...], sent_ms: int) -> None:
        """Compare the revisions of the keys with the store's.

        If they are equal, a watch that has failed continues from the store's present
        revision. Otherwise the answer carries the present values, and the next
        comparison is due.
        """
        compared = self.view.expect(keys)
        result = await self.store.transact(
            Transaction(compared), self.settings.list_timeout_s
        )
        match result:
            case Applied(revision=revision):
                self.view.confirm(compared, revision, sent_ms)
                if not self.watch_may_continue.is_set():
                    self.view.continue_watch_from(revision)
            case Conflict(items=items):
                self._deliver(self.view.apply_conflict(compared, items))
                self.list_due.set()
            case _:
                raise BadAnswerError("a comparison named no lease")

    async def _wait_for_watch(self) -> None:
        """Wait while a watch's answer arrives, which would be read twice otherwise."""
        loop = asyncio.get_running_loop()
        while self.received_s and loop.time() - self.received_s < RECEIVING_S:
            await asyncio.sleep(RECEIVING_S / 2)

    def _list_period_s(self) -> float:
        settings = self.settings
        if settings.list_bytes_per_s is None:
            return settings.list_period_s
        return max(
            settings.list_period_s, self.view.total_bytes / settings.list_bytes_per_s
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
                if not self.is_failing:
                    self.list_due.set()
                await asyncio.sleep(jitter(delay_s))
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    async def _watch(self) -> None:
        try:
            found = await self.store.watch(
                self.settings.prefix,
                self.view.watched_revision,
                self.settings.wait_ms,
                self._note_received,
            )
        finally:
            self.received_s = 0.0
        self._deliver(self.view.apply_watch(found))

    def _note_received(self) -> None:
        self.received_s = asyncio.get_running_loop().time()

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


def jitter(delay_s: float) -> float:
    """Return a random part of a retry's delay, so that daemons don't retry at once."""
    return delay_s * random.uniform(MIN_JITTER_SHARE, 1.0)
