"""Turns at reading, for connections whose messages take long to parse."""

import asyncio
from collections import deque
from collections.abc import Callable

from attrs import Factory, define

CONNECTIONS_PER_TURN = 4


@define(eq=False)
class ReadTurns:
    """Lets a few of the waiting connections read in each iteration of the event loop.

    Other connections are read in between, however many wait here.
    """

    waiting: deque[Callable[[], None]] = Factory(deque)
    scheduled: bool = False

    def wait(self, resume: Callable[[], None]) -> None:
        """Have ``resume`` called when it is a connection's turn."""
        self.waiting.append(resume)
        self._schedule()

    def _schedule(self) -> None:
        if self.waiting and not self.scheduled:
            self.scheduled = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self.scheduled = False
        for _ in range(min(CONNECTIONS_PER_TURN, len(self.waiting))):
            self.waiting.popleft()()
        self._schedule()
