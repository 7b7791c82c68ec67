"""Decides when this daemon becomes the owner of the jobs, and keeps its lease."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import orjson
from attrs import define, field

from poplarlb.coordination.jobs.events import OwnershipProven
from poplarlb.event_log import EventLog
from poplarlb.exceptions import DeposedError, PoplarlbError
from poplarlb.protocol.store import (
    Applied,
    Conflict,
    Expectation,
    Put,
    Store,
    StoredChange,
    Transaction,
)
from poplarlb.transport.committer import Committer, decode_epoch, encode_chain
from poplarlb.transport.job_keys import CHAIN, HOLDER, STRONGEST
from poplarlb.transport.job_owner import JobOwner, steady_ms
from poplarlb.transport.prefix_watcher import PrefixWatcher

LEASE_MS = 1_500  # a dead owner is replaced after this
RENEW_S = 0.4  # three renewals may fail before the lease ends
WATCH_WAIT_MS = 5_000  # a silent connection is noticed within this
CLAIM_SPREAD_S = 0.1  # claims of several daemons seldom meet
FIRST_CLAIM_S = 1.0  # all daemons of a new deployment have started by then
WEAK_SHARE = 0.5  # of the strongest daemon's processors; weaker ones claim later
WEAK_DELAY_S = 0.4  # a strong daemon's claim, four calls of the store, is made by then
RETRY_S = 0.2
HAND_OVER_S = 0.8  # what is on its way is answered within this

OwnerLoader = Callable[[Committer], Awaitable[JobOwner]]


@define(eq=False)
class OwnershipLoop:
    """Claims the ownership when nobody holds it and runs the owner meanwhile.

    The owner decides for all workers, so daemons with few processors wait for others.

    :param processors: how many this daemon may use.
    :param load: returns the owner that resumes what the store holds.
    """

    store: Store
    daemon_id: str
    processors: float
    load: OwnerLoader
    log: EventLog
    owner: JobOwner | None = None
    committer: Committer | None = None
    lease: int = 0
    held_by: str | None = None  # None: not known yet; empty: nobody
    changed: asyncio.Event = field(factory=asyncio.Event)
    stopping: bool = False
    takeovers: int = 0

    async def run(self) -> None:
        """Own the jobs whenever nobody else does, until cancelled."""
        watcher = PrefixWatcher(
            self.store,
            HOLDER,
            WATCH_WAIT_MS,
            self._take_holder,
            self._take_confirmation,
            lambda error: None,
        )
        watching = asyncio.ensure_future(watcher.run())
        try:
            await self._enter()
            while True:
                await self._wait_for_vacancy()
                try:
                    await self._own()
                except (PoplarlbError, ValueError, KeyError) as error:
                    self.log.write("claim_failed", error=str(error))
                    await asyncio.sleep(RETRY_S)
        finally:
            watching.cancel()

    async def stop(self) -> None:
        """Hand the ownership over before the process ends."""
        self.stopping = True
        owner, committer = self.owner, self.committer
        if owner is None or committer is None:
            return
        await owner.hand_over(HAND_OVER_S)
        owner.close()
        try:
            async with asyncio.timeout(HAND_OVER_S):
                await committer.write((), (HOLDER,))
            self.log.write("ownership_released", epoch=committer.epoch)
        except (TimeoutError, PoplarlbError) as error:
            self.log.write("release_failed", error=str(error))
        owner.deposed.set()

    # --- the holder key ---------------------------------------------------------------

    def _take_holder(self, change: StoredChange) -> None:
        holder = ""
        if change.value is not None:
            holder = orjson.loads(change.value)["daemon"]
        if holder != self.held_by:
            self.log.write("owner_seen", holder=holder, revision=change.revision)
        self.held_by = holder
        self.changed.set()

    def _take_confirmation(self) -> None:
        if self.held_by is None:
            self.held_by = ""
            self.changed.set()

    async def _enter(self) -> None:
        """Tell the others how strong this daemon is, if it is the strongest."""
        while not self.stopping:
            try:
                if await self.store.get(CHAIN) is None:
                    await asyncio.sleep(FIRST_CLAIM_S)
                if await self._raise_strongest():
                    return
            except PoplarlbError as error:
                self.log.write("claim_failed", error=error.detail)
                await asyncio.sleep(RETRY_S)

    async def _raise_strongest(self) -> bool:
        """Store the own strength unless a higher one is known; false to try again."""
        found = await self.store.get(STRONGEST)
        if found is not None and decode_strength(found.value) >= self.processors:
            return True
        revision = found.revision if found else 0
        put = Put(STRONGEST, orjson.dumps(self.processors))
        result = await self.store.transact(
            Transaction((Expectation(STRONGEST, revision),), (put,))
        )
        return isinstance(result, Applied)

    async def _is_weak(self) -> bool:
        """Tell whether stronger daemons should have the first chance."""
        try:
            found = await self.store.get(STRONGEST)
        except PoplarlbError as error:
            self.log.write("claim_failed", error=error.detail)
            return True
        strongest = decode_strength(found.value) if found else 0.0
        if self.processors >= WEAK_SHARE * strongest:
            return False
        self.log.write(
            "claim_delayed",
            processors=self.processors,
            strongest=strongest,
            revision=found.revision,
        )
        return True

    async def _wait_for_vacancy(self) -> None:
        while True:
            if self.held_by == "" and not self.stopping:
                delay_s = WEAK_DELAY_S if await self._is_weak() else 0.0
                await asyncio.sleep(delay_s + random.uniform(0, CLAIM_SPREAD_S))
                if self.held_by == "" and not self.stopping:
                    return
            self.changed.clear()
            await self.changed.wait()

    # --- owning -----------------------------------------------------------------------

    async def _own(self) -> None:
        committer = await self._claim()
        if committer is None:
            self.held_by = None
            await asyncio.sleep(RETRY_S)
            self.held_by = "" if self.held_by is None else self.held_by
            return
        self.takeovers += 1
        self.log.write("ownership_claimed", epoch=committer.epoch)
        self.committer = committer
        renewing = asyncio.ensure_future(self._renew(committer))
        try:
            self.owner = await self.load(committer)
            self.owner.run()
            await self.owner.deposed.wait()
        finally:
            renewing.cancel()
            if self.owner is not None:
                self.owner.close()
            self.owner = None
            self.committer = None

    async def _claim(self) -> Committer | None:
        """Write the chain with the next epoch; None if another daemon was first."""
        found = await self.store.get(CHAIN)
        epoch = 1 + (decode_epoch(found.value) if found else 0)
        revision = found.revision if found else 0
        self.lease = await self.store.grant_lease(LEASE_MS)
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
        return Put(HOLDER, value, self.lease)

    async def _renew(self, committer: Committer) -> None:
        """Keep the lease; a lease that ended is replaced while nobody else claimed."""
        while True:
            await asyncio.sleep(RENEW_S)
            try:
                if not await self._renew_once():
                    await self._hold_again(committer)
            except DeposedError as error:
                self.log.write("ownership_lost", reason=error.detail)
                if self.owner is not None:
                    self.owner.deposed.set()
                return
            except PoplarlbError as error:
                self.log.write("renewal_failed", error=error.detail)

    async def _renew_once(self) -> bool:
        """Renew the lease; while it lives, nobody else can claim the ownership."""
        if self.held_by != self.daemon_id:
            return False
        sent_ms = steady_ms()
        if not await self.store.renew_lease(self.lease):
            return False
        if self.owner is not None:
            self.owner.feed(OwnershipProven(sent_ms))
        return True

    async def _hold_again(self, committer: Committer) -> None:
        if self.held_by not in ("", self.daemon_id):
            raise DeposedError(f"{self.held_by} holds the ownership")
        found = await self.store.get(HOLDER)
        if found is not None:
            holder = orjson.loads(found.value)
            mine = holder["daemon"] == self.daemon_id
            if mine and holder["epoch"] == committer.epoch:
                self.held_by = self.daemon_id
                return
            raise DeposedError(f"{holder['daemon']} holds the ownership")
        self.log.write("lease_replaced", epoch=committer.epoch)
        self.lease = await self.store.grant_lease(LEASE_MS)
        put = self._holder_put(committer.epoch)
        if await committer.write((put,), expected=(Expectation(HOLDER, 0),)):
            self.held_by = self.daemon_id


def decode_strength(value: bytes) -> float:
    """Return the processors out of the strongest daemon's record."""
    return float(orjson.loads(value))
