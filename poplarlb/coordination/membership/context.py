"""Settings and state that all state machines of one daemon may read."""

import collections
import itertools

from attrs import Factory, define

from poplarlb.coordination.membership.sharding import ShardMap
from poplarlb.settings import Settings
from poplarlb.state.changes import Change
from poplarlb.state.models import Worker
from poplarlb.state.templates import ConfigView

STAGED_LIMIT = 5_000


@define
class NodeContext:
    """The daemon's settings, its view of the configuration, and the worker list.

    ``view_confirmed_ms`` is when the last read that confirmed the view was sent.
    ``staged`` holds the latest changes of shard state that this daemon staged for
    the journals of its shards, for the metrics. ``call_ids`` numbers the calls of
    all state machines; any other field is changed by one class only.
    """

    settings: Settings
    view: ConfigView = ConfigView()
    view_confirmed_ms: int = 0
    workers: dict[str, Worker] = Factory(dict)
    workers_by_shard: dict[str, list[Worker]] = Factory(dict)
    staged: collections.deque[Change] = Factory(
        lambda: collections.deque(maxlen=STAGED_LIMIT)
    )
    call_ids: itertools.count = Factory(lambda: itertools.count(1))

    def set_workers(self, workers: tuple[Worker, ...], shards: ShardMap) -> None:
        """Replace the worker list; an unchanged list costs only a comparison."""
        if tuple(self.workers.values()) == workers:
            return
        self.workers = {worker.worker_id: worker for worker in workers}
        self.workers_by_shard = {shard: [] for shard in shards.shards}
        for worker in workers:
            self.workers_by_shard.setdefault(shards.of_worker(worker), []).append(
                worker
            )

    def next_call(self) -> int:
        """Return a call id that this daemon has not used."""
        return next(self.call_ids)

    def view_is_fresh(self, now_ms: int) -> bool:
        """Return whether the view was confirmed within ``staleness_ms``.

        Without a fresh view no tasks are started.
        """
        return now_ms - self.view_confirmed_ms < self.settings.config.staleness_ms
