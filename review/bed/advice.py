"""The advice service: it decides on one call at a time for each calling machine."""

import asyncio
import time

from bed.http import Answer, Server, free_address
from bed.workers import Fleet

MAX_WAITING = 32


class Advice:
    """Permits every worker, and gives tickets that last ``valid_ms``."""

    def __init__(self, fleet: Fleet, decide_ms: int, each_ms: int, valid_ms: int):
        """Create the service; it begins to serve with ``start``."""
        self.fleet = fleet
        self.decide_ms = decide_ms
        self.each_ms = each_ms
        self.valid_ms = valid_ms
        self.address = free_address()
        self.server = Server(self.address, self.handle)
        self.lock = asyncio.Lock()
        self.waiting = 0

    async def handle(self, method, path, query, headers, body) -> Answer:
        """Answer one call; all callers here are one machine."""
        if path != "/v1/advise" or len(body["workers"]) > 100:
            return 400, {}
        if self.waiting >= MAX_WAITING:
            return 429, {}
        came_s = time.monotonic()
        self.waiting += 1
        try:
            async with self.lock:
                ms = self.decide_ms + self.each_ms * len(body["workers"])
                await asyncio.sleep(ms / 1000)
        finally:
            self.waiting -= 1
        now_s = time.monotonic()
        good = []
        for name in body["workers"]:
            ticket = f"t-{body['step']}-{name}"
            until_s = now_s + self.valid_ms / 1000
            self.fleet.tickets[body["step"], name] = (ticket, until_s)
            good.append([name, ticket])
        self.fleet.note(
            "advice",
            step=body["step"],
            workers=len(good),
            took_ms=int((now_s - came_s) * 1000),
        )
        return 200, {"good": good, "validMs": self.valid_ms}
