"""Commits the owner's records to the store, fenced by the chain key."""

import asyncio
from itertools import islice

import orjson
from attrs import define, field

from poplarlb.exceptions import (
    BadAnswerError,
    CallUnansweredError,
    DeposedError,
    StoreRefusedError,
)
from poplarlb.protocol.store import (
    Applied,
    Conflict,
    Expectation,
    Put,
    Store,
    Transaction,
)
from poplarlb.transport.job_keys import CHAIN

ENTRIES_PER_COMMIT = 28  # the store takes 32 rows in all; some are the chain's
COMMIT_TIMEOUT_S = 0.6  # sixty times the usual answer is 240 ms
RETRY_S = 0.05  # doubles up to the longest pause
LONGEST_RETRY_S = 0.4


@define
class Committer:
    """Writes under one epoch; one transaction at a time.

    Each transaction replaces the chain key under the revision of the last one. A
    repeated transaction therefore takes effect once, and one that is carried out late
    or by an earlier owner never.
    """

    store: Store
    daemon_id: str
    epoch: int
    revision: int
    number: int = 0
    commits: int = 0
    retries: int = 0
    lock: asyncio.Lock = field(factory=asyncio.Lock)

    async def commit(self, puts: list[Put], deletes: list[str]) -> None:
        """Store everything, in several transactions if there is much.

        :raises DeposedError: another owner has begun.
        """
        puts_left, deletes_left = iter(puts), iter(deletes)
        while True:
            some = list(islice(puts_left, ENTRIES_PER_COMMIT))
            gone = list(islice(deletes_left, ENTRIES_PER_COMMIT - len(some)))
            if not some and not gone:
                return
            await self.write(tuple(some), tuple(gone))

    async def write(
        self,
        puts: tuple[Put, ...],
        deletes: tuple[str, ...] = (),
        expected: tuple[Expectation, ...] = (),
    ) -> bool:
        """Carry out one transaction, again and again until its fate is known.

        Returns false if one of ``expected`` did not hold.

        :raises DeposedError: another owner has begun.
        """
        async with self.lock:
            return await self._write(puts, deletes, expected)

    async def _write(
        self,
        puts: tuple[Put, ...],
        deletes: tuple[str, ...],
        expected: tuple[Expectation, ...],
    ) -> bool:
        self.number += 1
        value = encode_chain(self.daemon_id, self.epoch, self.number)
        transaction = Transaction(
            (Expectation(CHAIN, self.revision), *expected),
            (Put(CHAIN, value), *puts),
            deletes,
        )
        pause_s = RETRY_S
        while True:
            try:
                result = await self.store.transact(transaction, COMMIT_TIMEOUT_S)
            except (StoreRefusedError, CallUnansweredError, BadAnswerError):
                self.retries += 1
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, LONGEST_RETRY_S)
                continue
            if isinstance(result, Applied):
                self.revision = result.revision
                self.commits += 1
                return True
            if not isinstance(result, Conflict):
                return False
            found = result.find(CHAIN)
            if found is not None and found.value == value:
                self.revision = found.revision
                self.commits += 1
                return True
            if found is None or found.revision != self.revision:
                raise DeposedError("another owner has written the chain")
            return False


def encode_chain(daemon_id: str, epoch: int, number: int) -> bytes:
    """Return the chain key's value."""
    return orjson.dumps({"daemon": daemon_id, "epoch": epoch, "number": number})


def decode_epoch(value: bytes) -> int:
    """Return the epoch out of the chain key's value."""
    return orjson.loads(value)["epoch"]
