"""Claims the ownership of the jobs for this daemon and keeps its lease.

The ownership is two keys in the store. The holder key (``HOLDER``) names the owner and
is deleted when the owner's lease expires, so that another daemon may claim. The chain
key (``CHAIN``) holds the epoch, a number that every claim increases, and stays: each
commit of an owner replaces the revision that the last one wrote, so that no commit of
an earlier owner takes effect.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import orjson
from attrs import define, field

from poplarlb.coordination.jobs.events import OwnershipConfirmed
from poplarlb.event_log import EventLog
from poplarlb.exceptions import BadAnswerError, DeposedError, PoplarlbError
from poplarlb.protocol.store import (
    Applied,
    Conflict,
    Expectation,
    Put,
    Store,
    StoredChange,
    Transaction,
)
from poplarlb.state.job_records import UNREADABLE_ERRORS
from poplarlb.transport.clock import boottime_ms
from poplarlb.transport.committer import Committer, decode_epoch, encode_chain
from poplarlb.transport.job_keys import CHAIN, HOLDER, STRONGEST
from poplarlb.transport.job_owner import JobOwner
from poplarlb.transport.prefix_watcher import PrefixWatcher, WatchSettings

LEASE_MS = 1_500  # a failed owner is replaced after this
RENEW_PERIOD_S = 0.4  # three renewals are attempted before the lease expires
# Claims and renewals are checked by the store, so an old view only delays a takeover.
HOLDER_WATCH = WatchSettings(
    source="owner", prefix=HOLDER, wait_ms=5_000, list_period_s=2.0
)
CLAIM_JITTER_S = 0.1  # makes simultaneous claims of daemons unlikely
FIRST_CLAIM_DELAY_S = 1.0  # until all daemons of a new deployment have started
# Daemons with fewer than this share of the most processors of any daemon claim later.
LOW_PROCESSOR_SHARE = 0.5
DELAYED_CLAIM_S = 0.4  # enough for another daemon's claim of four store calls
RETRY_S = 0.2
# Enough for in-flight starts at workers and commits to be answered, and again for the
# store to delete the holder key.
HAND_OVER_TIMEOUT_S = 0.8

UNKNOWN_HOLDER = "?"  # the holder key exists and can't be decoded

OwnerLoader = Callable[[Committer], Awaitable[JobOwner]]


@define(eq=False)
class OwnershipLoop:
    """Claims the ownership when it is free, and runs the owner while it is held.

    The owner decides for all workers, so daemons with few processors delay their
    claims.

    ``committer`` writes the owner's records; like ``owner`` it is ``None`` while this
    daemon is not the owner. ``changed`` is set when the holder key has changed.
    ``lease_id`` identifies the lease in the store, ``takeovers`` counts the claims.

    :param processors: number of processors that this daemon may use.
    :param load: returns the owner that resumes from the records in the store.
    """

    store: Store
    daemon_id: str
    processors: float
    load: OwnerLoader
    log: EventLog
    owner: JobOwner | None = None
    committer: Committer | None = None
    lease_id: int = 0
    current_holder: str | None = None  # None: unknown yet; empty: no owner
    changed: asyncio.Event = field(factory=asyncio.Event)
    stopping: bool = False
    takeovers: int = 0

    async def run(self) -> None:
        """Claim the ownership whenever it is free, until cancelled."""
        watcher = PrefixWatcher(
            self.store,
            HOLDER_WATCH,
            self._handle_holder_change,
            self._handle_confirmation,
            self.log,
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(watcher.run())
            group.create_task(self._claim_repeatedly())

    async def _claim_repeatedly(self) -> None:
        await self._publish_processors()
        while True:
            await self._wait_until_unowned()
            try:
                await self._run_ownership()
            except Exception as error:
                # Whatever fails, the ownership must be claimed again.
                self.log.write("claim_failed", error=f"{type(error).__name__}: {error}")
                await asyncio.sleep(RETRY_S)

    async def stop(self) -> None:
        """Hand over the ownership, if held, before the process exits."""
        self.stopping = True
        owner, committer = self.owner, self.committer
        if owner is None or committer is None:
            return
        await owner.hand_over(HAND_OVER_TIMEOUT_S)
        owner.close()
        try:
            async with asyncio.timeout(HAND_OVER_TIMEOUT_S):
                await committer.write((), (HOLDER,))
            self.log.write("ownership_released", epoch=committer.epoch)
        except (TimeoutError, PoplarlbError) as error:
            self.log.write("release_failed", error=str(error))
        owner.deposed.set()

    # --- the holder key ---------------------------------------------------------------

    def _handle_holder_change(self, change: StoredChange) -> None:
        holder = ""
        if change.value is not None:
            holder = self._decode_holder(change.value)
        if holder != self.current_holder:
            self.log.write("owner_seen", holder=holder, revision=change.revision)
        self.current_holder = holder
        self.changed.set()

    def _decode_holder(self, value: bytes) -> str:
        """Return the daemon that a value of the holder key names."""
        try:
            return str(orjson.loads(value)["daemon"])
        except (KeyError, TypeError, ValueError) as error:
            self.log.write("record_unreadable", key=HOLDER, error=str(error))
            return UNKNOWN_HOLDER

    def _handle_confirmation(self) -> None:
        """Conclude that there is no owner if the watch has delivered no holder."""
        if self.current_holder is None:
            self.current_holder = ""
            self.changed.set()

    async def _publish_processors(self) -> None:
        """Store this daemon's number of processors if it is the highest so far.

        In a new deployment wait first, until all daemons have started.
        """
        while not self.stopping:
            try:
                if await self.store.get(CHAIN) is None:
                    await asyncio.sleep(FIRST_CLAIM_DELAY_S)
                if await self._store_strongest():
                    return
            except PoplarlbError as error:
                self.log.write("claim_failed", error=error.detail)
                await asyncio.sleep(RETRY_S)

    async def _store_strongest(self) -> bool:
        """Store the number of processors unless a higher one is stored.

        Return false if the write must be retried.
        """
        found = await self.store.get(STRONGEST)
        if found is not None and self._read_strongest(found.value) >= self.processors:
            return True
        revision = found.revision if found else 0
        put = Put(STRONGEST, orjson.dumps(self.processors))
        result = await self.store.transact(
            Transaction((Expectation(STRONGEST, revision),), (put,))
        )
        return isinstance(result, Applied)

    def _read_strongest(self, value: bytes) -> float:
        """Return the highest number of processors; 0 if the record is unreadable."""
        try:
            return decode_processors(value)
        except BadAnswerError as error:
            self.log.write("record_unreadable", key=STRONGEST, error=error.detail)
            return 0.0

    async def _should_delay_claim(self) -> bool:
        """Return whether daemons with more processors should claim first."""
        try:
            found = await self.store.get(STRONGEST)
        except PoplarlbError as error:
            self.log.write("claim_failed", error=error.detail)
            return True
        strongest = self._read_strongest(found.value) if found else 0.0
        if self.processors >= LOW_PROCESSOR_SHARE * strongest:
            return False
        self.log.write(
            "claim_delayed",
            processors=self.processors,
            strongest=strongest,
            revision=found.revision,
        )
        return True

    async def _wait_until_unowned(self) -> None:
        while True:
            if self.current_holder == "" and not self.stopping:
                delay_s = DELAYED_CLAIM_S if await self._should_delay_claim() else 0.0
                await asyncio.sleep(delay_s + random.uniform(0, CLAIM_JITTER_S))
                if self.current_holder == "" and not self.stopping:
                    return
            self.changed.clear()
            await self.changed.wait()

    # --- ownership --------------------------------------------------------------------

    async def _run_ownership(self) -> None:
        committer = await self._claim()
        if committer is None:
            self.log.write("claim_lost", holder=self.current_holder)
            await asyncio.sleep(RETRY_S)
            return
        self.takeovers += 1
        self.log.write("ownership_claimed", epoch=committer.epoch)
        self.committer = committer
        renewal = asyncio.ensure_future(self._renew(committer))
        try:
            self.owner = await self.load(committer)
            self.owner.run()
            await self.owner.deposed.wait()
        finally:
            renewal.cancel()
            if self.owner is not None:
                self.owner.close()
            self.owner = None
            self.committer = None

    async def _claim(self) -> Committer | None:
        """Write the holder key, and the chain key with the next epoch.

        Return None if another daemon claimed first or the new lease has expired.
        """
        found = await self.store.get(CHAIN)
        epoch = 1 + (decode_epoch(found.value) if found else 0)
        revision = found.revision if found else 0
        self.lease_id = await self.store.grant_lease(LEASE_MS)
        value = encode_chain(self.daemon_id, epoch, 0)
        result = await self.store.transact(
            Transaction(
                (Expectation(CHAIN, revision), Expectation(HOLDER, 0)),
                (Put(CHAIN, value), self._holder_put(epoch)),
            )
        )
        if isinstance(result, Applied):
            return Committer(self.store, self.daemon_id, epoch, result.revision)
        if isinstance(result, Conflict):
            chain = result.find(CHAIN)
            if chain is not None and chain.value == value:
                return Committer(self.store, self.daemon_id, epoch, chain.revision)
        return None

    def _holder_put(self, epoch: int) -> Put:
        value = orjson.dumps({"daemon": self.daemon_id, "epoch": epoch})
        return Put(HOLDER, value, self.lease_id)

    async def _renew(self, committer: Committer) -> None:
        """Renew the lease; replace an expired one unless another daemon has claimed.

        Stop the owner if another daemon holds the ownership.
        """
        while True:
            await asyncio.sleep(RENEW_PERIOD_S)
            try:
                if not await self._renew_once():
                    await self._reacquire(committer)
            except DeposedError as error:
                self.log.write("ownership_lost", reason=error.detail)
                if self.owner is not None:
                    self.owner.deposed.set()
                return
            except Exception as error:
                # Without renewals the ownership would be lost.
                self.log.write(
                    "renewal_failed", error=f"{type(error).__name__}: {error}"
                )

    async def _renew_once(self) -> bool:
        """Renew the lease, which keeps other daemons from claiming the ownership.

        Return false if it has expired or another daemon may hold the ownership.
        """
        if self.current_holder != self.daemon_id:
            return False
        sent_ms = boottime_ms()
        if not await self.store.renew_lease(self.lease_id):
            return False
        if self.owner is not None:
            self.owner.feed(OwnershipConfirmed(sent_ms))
        return True

    async def _reacquire(self, committer: Committer) -> None:
        if self.current_holder not in ("", self.daemon_id):
            raise DeposedError(f"{self.current_holder} holds the ownership")
        found = await self.store.get(HOLDER)
        if found is not None:
            holder = orjson.loads(found.value)
            is_own = holder["daemon"] == self.daemon_id
            if is_own and holder["epoch"] == committer.epoch:
                self.current_holder = self.daemon_id
                return
            raise DeposedError(f"{holder['daemon']} holds the ownership")
        self.log.write("lease_replaced", epoch=committer.epoch)
        self.lease_id = await self.store.grant_lease(LEASE_MS)
        put = self._holder_put(committer.epoch)
        if await committer.write((put,), expected=(Expectation(HOLDER, 0),)):
            self.current_holder = self.daemon_id


def decode_processors(value: bytes) -> float:
    """Return the number of processors in a value of the key ``STRONGEST``.

    :raises BadAnswerError: it isn't a number.
    """
    try:
        return float(orjson.loads(value))
    except UNREADABLE_ERRORS as error:
        raise BadAnswerError(f"record of processors: {error}") from error
