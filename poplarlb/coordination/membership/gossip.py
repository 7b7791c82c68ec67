"""Chooses the shard summaries for each heartbeat, within a byte budget.

A summary tells other daemons a shard's free capacity, queue length and endpoints.
"""

from attrs import Factory, define, evolve

from poplarlb.protocol import codec, messages

CHANGED_PERIOD_MS = 2_000
REPEAT_PERIOD_MS = 30_000
# A change of the largest free capacity by more than this share is material.
FREE_CHANGE_SHARE = 0.25


@define
class _SentSummary:
    """The summary last sent to a peer, and when."""

    summary: messages.ShardSummary
    sent_ms: int


@define
class _TokenBucket:
    """A peer's share of the byte budget, in bytes; one summary may overdraw it."""

    tokens: float
    filled_ms: int


@define
class Gossip:
    """Chooses the changed summaries for each peer, within its share of the budget.

    A material change is sent with the next heartbeat, any other change after
    ``CHANGED_PERIOD_MS``. Every summary is resent after ``REPEAT_PERIOD_MS``, since
    messages may be lost. The summary sent longest ago comes first.

    ``sent`` maps a peer and a shard to the summary last sent; ``sizes`` caches the
    encoded size of summaries, in bytes.

    :param bytes_per_s: the budget for all peers together.
    """

    bytes_per_s: int
    buckets: dict[str, _TokenBucket] = Factory(dict)
    sent: dict[tuple[str, str], _SentSummary] = Factory(dict)
    sizes: dict[messages.ShardSummary, int] = Factory(dict)

    def choose(
        self,
        peer: str,
        summaries: tuple[messages.ShardSummary, ...],
        now_ms: int,
    ) -> tuple[messages.ShardSummary, ...]:
        """Return the summaries to send to a peer now."""
        bucket = self._refill(peer, now_ms)
        due = [item for item in summaries if self._due(peer, item, now_ms)]
        chosen = []
        for summary in sorted(due, key=lambda item: self._sent_ms(peer, item)):
            if bucket.tokens <= 0:
                break
            bucket.tokens -= self._size(summary)
            self.sent[peer, summary.shard] = _SentSummary(summary, now_ms)
            chosen.append(summary)
        return tuple(chosen)

    def forget(self, peer: str) -> None:
        """Forget what was sent to a peer, so that it receives every summary again."""
        self.buckets.pop(peer, None)
        self.sent = {key: sent for key, sent in self.sent.items() if key[0] != peer}

    def _refill(self, peer: str, now_ms: int) -> _TokenBucket:
        found = self.buckets.setdefault(peer, _TokenBucket(1.0, now_ms))
        rate = self.bytes_per_s / len(self.buckets)
        gained = max(0, now_ms - found.filled_ms) * rate / 1000
        found.tokens = min(2 * rate, found.tokens + gained)
        found.filled_ms = max(found.filled_ms, now_ms)
        return found

    def _sent_ms(self, peer: str, summary: messages.ShardSummary) -> int:
        last = self.sent.get((peer, summary.shard))
        return last.sent_ms if last else 0

    def _due(self, peer: str, summary: messages.ShardSummary, now_ms: int) -> bool:
        last = self.sent.get((peer, summary.shard))
        if last is None or now_ms - last.sent_ms >= REPEAT_PERIOD_MS:
            return True
        if summary == last.summary:
            return False
        old = now_ms - last.sent_ms >= CHANGED_PERIOD_MS
        return old or is_material(last.summary, summary)

    def _size(self, summary: messages.ShardSummary) -> int:
        if summary not in self.sizes:
            if len(self.sizes) > 1_000:
                self.sizes.clear()
            self.sizes[summary] = len(codec.encode(summary, messages.ShardSummary))
        return self.sizes[summary]


def is_material(old: messages.ShardSummary, new: messages.ShardSummary) -> bool:
    """Return whether a summary's change affects a choice between shards."""
    if _coarse_state(old) != _coarse_state(new):
        return True
    before = old.largest_free
    after = new.largest_free
    return any(
        abs(a - b) > FREE_CHANGE_SHARE * max(a, b)
        for a, b in (
            (before.cpu_millis, after.cpu_millis),
            (before.memory_mb, after.memory_mb),
            (before.accelerators, after.accelerators),
        )
    )


def _coarse_state(summary: messages.ShardSummary) -> tuple:
    endpoints = [
        evolve(item, free_slots=int(item.free_slots > 0), queued=int(item.queued > 0))
        for item in summary.endpoints
    ]
    return summary.epoch, summary.queued > 0, endpoints
