"""The store's client: when the store counts as lost, and who is told."""

import asyncio
import unittest

from attrs import Factory, define

from poplarlb.exceptions import CallUnansweredError, PoplarlbError
from poplarlb.platform.store import DOWN_AFTER_S, PlatformStore
from poplarlb.transport.http_client import HttpAnswer

MARGIN_S = 0.1  # for timers that fire late


@define
class ScriptedClient:
    """Answers calls in the order of a script; None is a call without an answer."""

    answers: list[int | None] = Factory(list)

    async def call(self, *_, **__) -> HttpAnswer:
        """Return the next answer of the script."""
        status = self.answers.pop(0)
        if status is None:
            raise CallUnansweredError("no answer")
        return HttpAnswer(status, b'{"lease": 1}')


class StoreLossTest(unittest.IsolatedAsyncioTestCase):
    """Calls that fail and are answered again."""

    def setUp(self) -> None:
        """Keep what the daemon would log."""
        self.told = []
        self.client = ScriptedClient()
        self.store = PlatformStore(
            self.client,
            "127.0.0.1:1",
            on_lost=lambda error: self.told.append("lost"),
            on_regained=lambda: self.told.append("regained"),
        )

    async def call(self, status: int | None) -> None:
        """Make one call with a scripted end."""
        self.client.answers.append(status)
        try:
            await self.store.grant_lease(1_000)
        except PoplarlbError as error:
            self.assertNotEqual(status, 200, error)

    async def test_loss_is_told_without_another_call(self) -> None:
        """A daemon that counts the store as lost has said so, also in a quiet time."""
        await self.call(503)
        await asyncio.sleep(DOWN_AFTER_S + MARGIN_S)
        self.assertTrue(self.store.is_down)
        self.assertEqual(self.told, ["lost"])
        await self.call(200)
        self.assertFalse(self.store.is_down)
        self.assertEqual(self.told, ["lost", "regained"])

    async def test_short_failures_are_not_a_loss(self) -> None:
        """A call that is answered soon after a failure leaves no line."""
        for _ in range(4):
            await self.call(None)
            await asyncio.sleep(DOWN_AFTER_S / 3)
            await self.call(200)
        await asyncio.sleep(DOWN_AFTER_S + MARGIN_S)
        self.assertFalse(self.store.is_down)
        self.assertEqual(self.told, [])

    async def test_loss_is_told_once(self) -> None:
        """Failures go on; the loss counts from the first of them."""
        for _ in range(6):
            await self.call(None)
            await asyncio.sleep(DOWN_AFTER_S / 3)
        self.assertTrue(self.store.is_down)
        self.assertEqual(self.told, ["lost"])


if __name__ == "__main__":
    unittest.main()
