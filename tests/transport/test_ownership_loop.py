"""Tests of what the ownership loop knows of the owner."""

import unittest
from unittest import mock

from poplarlb.event_log import EventLog
from poplarlb.protocol.store import StoredChange
from poplarlb.transport.job_keys import HOLDER
from poplarlb.transport.ownership_loop import OwnershipLoop


class HolderTest(unittest.IsolatedAsyncioTestCase):
    """A loop without a store."""

    # A change of the owner may be delivered before the answer to a claim that lost
    # against it; it must not be forgotten, since it isn't delivered again.
    async def test_lost_claim_keeps_the_owner_that_was_seen(self) -> None:
        """The loop still knows the other daemon as the owner."""
        log = EventLog("d0", lambda: (0, 0))
        loop = OwnershipLoop(None, "d0", 1.0, None, log, current_holder="")

        async def lose_claim(loop: OwnershipLoop) -> None:
            value = b'{"daemon": "d1", "epoch": 1}'
            loop._handle_holder_change(StoredChange(HOLDER, value, 5))

        with mock.patch.object(OwnershipLoop, "_claim", lose_claim):
            await loop._run_ownership()
        self.assertEqual(loop.current_holder, "d1")


if __name__ == "__main__":
    unittest.main()
