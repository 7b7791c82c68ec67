"""Settings and state that all state machines of one daemon may read."""

import collections
import itertools
import typing
from collections.abc import Callable

from attrs import Factory, define, frozen

from poplarlb.coordination.membership.sharding import ShardMap
from poplarlb.exceptions import ProtocolError
from poplarlb.protocol import codec, ports
from poplarlb.settings import Settings
from poplarlb.state.changes import Change
from poplarlb.state.models import Worker
from poplarlb.state.templates import ConfigView

STAGED_LIMIT = 5_000
UNREADABLE_KEPT = 100  # records that the caller has not removed yet
NOTED_LIMIT = 1_000  # unreadable records whose versions are known
PROBLEM_LIMIT = 300  # characters

T = typing.TypeVar("T")


@frozen
class UnreadableRecord:
    """A record of the store that isn't used, since another writer left it odd."""

    key: str
    version: int
    problem: str


@define
class NodeContext:
    """The daemon's settings, its view of the configuration, and the worker list.

    ``view_confirmed_ms`` is when the last read that confirmed the view was sent.
    ``staged`` holds the latest changes of shard state that this daemon staged for
    the journals of its shards, for the metrics. ``workers_by_shard`` holds workers
    of an unknown zone under an empty name. ``call_ids`` numbers the calls of
    all state machines, from a higher number on than in earlier processes of the
    daemon; any other field is changed by one class only.
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
    unreadable: collections.deque[UnreadableRecord] = Factory(
        lambda: collections.deque(maxlen=UNREADABLE_KEPT)
    )
    noted_versions: dict[str, int] = Factory(dict)

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

    def decode_record(
        self,
        entry: ports.StoreEntry,
        kind: type[T],
        key_of: Callable[[T], str] | None = None,
    ) -> T | None:
        """Return a record of the store, or ``None`` after noting it as unreadable.

        :param key_of: returns the key under which a record has to be.
        """
        try:
            record = codec.decode(entry.value, kind)
        except ProtocolError as error:
            self.note_unreadable(entry, error.detail)
            return None
        if key_of is not None and key_of(record) != entry.key:
            self.note_unreadable(entry, "the record belongs to another key")
            return None
        return record

    def note_unreadable(self, entry: ports.StoreEntry, problem: str) -> None:
        """Add a record to ``unreadable``, once for each of its versions."""
        if self.noted_versions.get(entry.key) == entry.version:
            return
        if len(self.noted_versions) >= NOTED_LIMIT:
            self.noted_versions.clear()
        self.noted_versions[entry.key] = entry.version
        self.unreadable.append(
            UnreadableRecord(entry.key, entry.version, problem[:PROBLEM_LIMIT])
        )

    def next_call(self) -> int:
        """Return a call id that this daemon has not used."""
        return next(self.call_ids)

    def view_is_fresh(self, now_ms: int) -> bool:
        """Return whether the view was confirmed within ``staleness_ms``.

        Without a fresh view no tasks are started.
        """
        return now_ms - self.view_confirmed_ms < self.settings.config.staleness_ms
