"""Calls to the platform's advice service, decoded into events."""

import orjson
from attrs import define

from poplarlb.coordination.jobs.events import AdviceAnswered, AskAdvice
from poplarlb.exceptions import (
    BadAnswerError,
    CallNotSentError,
    CallUnansweredError,
)
from poplarlb.platform.wire import decode_advice
from poplarlb.transport.http_client import HttpClient


@define
class PlatformAdvice:
    """Asks the advice service which workers may run a step.

    ``address`` is empty if the deployment has no such service.
    """

    client: HttpClient
    address: str

    async def ask(self, command: AskAdvice, sent_ms: int) -> AdviceAnswered:
        """Return the advice on a step, or an answer that is marked as failed."""
        failed = AdviceAnswered(command.step, command.workers, sent_ms, failed=True)
        if not self.address:
            return failed
        step = ".".join(str(part) for part in command.step)
        body = orjson.dumps({"step": step, "workers": list(command.workers)})
        try:
            response = await self.client.call(
                self.address,
                "POST",
                "/v1/advise",
                body,
                timeout_s=command.timeout_ms / 1000,
            )
            if response.status != 200:
                return failed
            tickets, valid_ms = decode_advice(response.body)
        except (CallNotSentError, CallUnansweredError, BadAnswerError):
            return failed
        return AdviceAnswered(command.step, command.workers, sent_ms, tickets, valid_ms)
