"""Tests of the store's client: when the store counts as down, and its callbacks."""

import asyncio
import unittest

from attrs import Factory, define

from poplarlb.exceptions import CallUnansweredError, PoplarlbError
from poplarlb.platform.store import DOWN_AFTER_S, PlatformStore
from poplarlb.transport.http_client import ClientResponse

TIMER_MARGIN_S = 0.1  # for timers that fire late


@define
class ScriptedClient:
    """Answers calls with scripted statuses; None stands for no answer."""

    answers: list[int | None] = Factory(list)

    async def call(self, *_, **__) -> ClientResponse:
        """Return the next scripted answer."""
        status = self.answers.pop(0)
        if status is None:
            raise CallUnansweredError("no answer")
        return ClientResponse(status, b'{"lease": 1}')


class StoreLossTest(unittest.IsolatedAsyncioTestCase):
    """Calls that fail, and calls that are answered again."""

    def setUp(self) -> None:
        """Record the callbacks, for which a daemon writes log lines."""
        self.logged = []
        self.client = ScriptedClient()
        self.store = PlatformStore(
            self.client,
            "127.0.0.1:1",
            on_lost=lambda error: self.logged.append("lost"),
            on_regained=lambda: self.logged.append("regained"),
        )

    async def call(self, status: int | None) -> None:
        """Make one call with a scripted answer."""
        self.client.answers.append(status)
        try:
            await self.store.grant_lease(1_000)
        except PoplarlbError as error:
            self.assertNotEqual(status, 200, error)

    async def test_loss_is_reported_without_another_call(self) -> None:
        """The store counts as down, and that is reported, without a second call."""
        await self.call(503)
        await asyncio.sleep(DOWN_AFTER_S + TIMER_MARGIN_S)
        self.assertTrue(self.store.is_down)
        self.assertEqual(self.logged, ["lost"])
        await self.call(200)
        self.assertFalse(self.store.is_down)
        self.assertEqual(self.logged, ["lost", "regained"])

    # A watch that was sent before an outage may be answered seconds after it began.
    async def test_answer_to_an_earlier_call_does_not_end_a_loss(self) -> None:
        """Only a call that was sent after the loss shows that the store is back."""
        early = asyncio.get_running_loop().time()
        await self.call(503)
        await asyncio.sleep(DOWN_AFTER_S + TIMER_MARGIN_S)
        self.store._record_response(early)
        self.assertTrue(self.store.is_down)
        await self.call(200)
        self.assertFalse(self.store.is_down)

    async def test_short_failures_are_not_a_loss(self) -> None:
        """A failure that is soon followed by an answer is not reported."""
        for _ in range(4):
            await self.call(None)
            await asyncio.sleep(DOWN_AFTER_S / 3)
            await self.call(200)
        await asyncio.sleep(DOWN_AFTER_S + TIMER_MARGIN_S)
        self.assertFalse(self.store.is_down)
        self.assertEqual(self.logged, [])

    async def test_loss_is_reported_once(self) -> None:
        """During continued failures one loss is reported, timed from the first."""
        for _ in range(6):
            await self.call(None)
            await asyncio.sleep(DOWN_AFTER_S / 3)
        self.assertTrue(self.store.is_down)
        self.assertEqual(self.logged, ["lost"])


if __name__ == "__main__":
    unittest.main()
