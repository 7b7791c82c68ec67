"""Commits the owner's records to the store, fenced by the chain key (``CHAIN``).

The chain key holds the owner's epoch and the number of its last transaction.
"""

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
from poplarlb.transport.clock import boottime_ms
from poplarlb.transport.job_keys import CHAIN

ENTRIES_PER_COMMIT = 28  # a transaction may have 32 rows; the chain key uses some
COMMIT_TIMEOUT_S = 0.6  # above 240 ms, which is 60 times the usual response time
RETRY_S = 0.05  # doubles up to MAX_RETRY_DELAY_S
MAX_RETRY_DELAY_S = 0.4


@define
class Committer:
    """Writes records under one epoch, one transaction at a time.

    Each transaction replaces the chain key and expects the revision that the previous
    one gave it. A repeated transaction therefore takes effect once, and one that is
    late or comes from an earlier owner never does.

    :param epoch: the number of this daemon's ownership.
    :param revision: the chain key's revision, as last written under the epoch.
    :param number: the number of the last transaction under the epoch.
    :ivar confirmed_ms: when the last attempt of a transaction was sent that was
        answered, so that this daemon still was the owner then.
    """

    store: Store
    daemon_id: str
    epoch: int
    revision: int
    number: int = 0
    confirmed_ms: int = 0
    commits: int = 0
    retries: int = 0
    lock: asyncio.Lock = field(factory=asyncio.Lock)

    async def commit(self, puts: list[Put], deletes: list[str]) -> int:
        """Store puts and deletes, in several transactions if one can't hold them.

        Return ``confirmed_ms`` after the last one; 0 if there was nothing to store.

        :raises DeposedError: if another owner has written the chain key.
        """
        remaining_puts, remaining_deletes = iter(puts), iter(deletes)
        confirmed_ms = 0
        while True:
            put_batch = list(islice(remaining_puts, ENTRIES_PER_COMMIT))
            delete_batch = list(
                islice(remaining_deletes, ENTRIES_PER_COMMIT - len(put_batch))
            )
            if not put_batch and not delete_batch:
                return confirmed_ms
            await self.write(tuple(put_batch), tuple(delete_batch))
            confirmed_ms = self.confirmed_ms

    async def write(
        self,
        puts: tuple[Put, ...],
        deletes: tuple[str, ...] = (),
        expected: tuple[Expectation, ...] = (),
    ) -> bool:
        """Execute one transaction, with retries until its outcome is known.

        Return whether all of ``expected`` held, so that it was applied.

        :raises DeposedError: if another owner has written the chain key.
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
        delay_s = RETRY_S
        while True:
            sent_ms = boottime_ms()
            try:
                result = await self.store.transact(transaction, COMMIT_TIMEOUT_S)
            except (StoreRefusedError, CallUnansweredError, BadAnswerError):
                self.retries += 1
                await asyncio.sleep(delay_s)
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
                continue
            if isinstance(result, Applied):
                self.revision = result.revision
                self.commits += 1
                self.confirmed_ms = sent_ms
                return True
            if not isinstance(result, Conflict):
                return False
            found = result.find(CHAIN)
            if found is not None and found.value == value:
                # An earlier attempt of this transaction was applied.
                self.revision = found.revision
                self.commits += 1
                self.confirmed_ms = sent_ms
                return True
            if found is None or found.revision != self.revision:
                raise DeposedError("another owner has written the chain")
            return False


def encode_chain(daemon_id: str, epoch: int, number: int) -> bytes:
    """Return the value of the chain key."""
    return orjson.dumps({"daemon": daemon_id, "epoch": epoch, "number": number})


def decode_epoch(value: bytes) -> int:
    """Return the epoch in a value of the chain key."""
    return orjson.loads(value)["epoch"]
