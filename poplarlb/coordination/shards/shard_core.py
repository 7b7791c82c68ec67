"""What the parts of a shard's state machine share: state, effects and clock."""

import collections
from collections.abc import Callable, Sequence

from attrs import Factory, define

from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.membership.sharding import ShardMap
from poplarlb.coordination.policy.policy import Policy
from poplarlb.coordination.policy.quota import QuotaLedger
from poplarlb.coordination.shards.effects import Effects, Resume, SendShard
from poplarlb.protocol.messages import ShardBody, ShardMessage, ShardSummary
from poplarlb.state import changes
from poplarlb.state.models import (
    Alternative,
    Decision,
    Reason,
    Resources,
    TaskKey,
    TaskSpec,
    Worker,
)
from poplarlb.state.shard_state import ShardState

ALTERNATIVES_KEPT = 5  # of the workers not chosen, in a recorded decision


def task_subject(key: TaskKey) -> str:
    """Return the subject of decisions about a task, as used by ``explain``."""
    return f"job/{key.team}/{key.task_id}"


@define
class ShardCore:
    """One shard under one epoch, with its state, effects and clock.

    ``now_ms`` and ``effects`` belong to the event that is being handled. ``inbox``
    holds the shard's messages to itself. ``own_workers`` is the shard's part of
    ``listed``, the worker list that it was last computed from.

    :param context: the daemon's settings, configuration view and worker list.
    :param shards: which shard each worker, task and team belongs to.
    :param acquired_ms: when this owner acquired the shard.
    :param summaries: returns the newest summary of every shard.
    :param ownership_confirmed_ms: when the last store call that confirmed the
        ownership was sent.
    :param busy_slots: returns how many requests a worker serves now.
    """

    context: NodeContext
    shards: ShardMap
    shard: str
    epoch: int
    acquired_ms: int
    state: ShardState
    policy: Policy
    summaries: Callable[[], Sequence[ShardSummary]] = tuple
    ownership_confirmed_ms: int = 0
    now_ms: int = 0
    effects: Effects = Factory(Effects)
    inbox: collections.deque[ShardMessage] = Factory(collections.deque)
    counters: collections.Counter[str] = Factory(collections.Counter)
    listed: dict[str, Worker] | None = None
    own_workers: dict[str, Worker] = Factory(dict)
    quota: QuotaLedger = None
    busy_slots: Callable[[str], int] = lambda worker_id: 0

    def __attrs_post_init__(self) -> None:
        """Create the ledger of the quota shares that the state records."""
        self.quota = QuotaLedger(self.shard, self.epoch, self.state.quota, self.shards)

    def begin(self, now_ms: int) -> None:
        """Start handling an event, with no effects yet."""
        self.now_ms = now_ms
        self.effects = Effects()

    def workers(self) -> dict[str, Worker]:
        """Return the listed workers of this shard, whatever their state."""
        if self.listed is not self.context.workers:
            self.listed = self.context.workers
            self.own_workers = {
                worker_id: worker
                for worker_id, worker in self.listed.items()
                if self.shards.of_worker(worker) == self.shard
            }
        return self.own_workers

    def change(self, change: changes.Change) -> None:
        """Apply a change and stage it for the journal."""
        self.state.apply(change)
        self.effects.changes.append(change)

    def stage_effects(self, effects: Effects) -> None:
        """Stage effects whose changes their maker has already applied to the state."""
        self.effects.changes.extend(effects.changes)
        self.effects.urgent = self.effects.urgent or effects.urgent
        for command in effects.after_commit:
            if isinstance(command, SendShard):
                self.send(command.message.recipient, command.message.body)
            else:
                self.effects.after_commit.append(command)

    def quota_allows(self, team: str, extra: Resources) -> bool:
        """Return whether the shard may reserve ``extra`` more for a team."""
        used = self.state.used_by_team.get(team, Resources())
        return self.quota.may_use(team, used, extra, self.context.view)

    def request_quota(self, team: str, extra: Resources) -> None:
        """Have the ledger request ``extra`` beyond what the team uses in this shard."""
        used = self.state.used_by_team.get(team, Resources())
        known = self.quota.needs.get(team, Resources())
        self.quota.needs[team] = used.plus(extra).elementwise_max(known)

    def after_commit(self, step: object) -> None:
        """Have the state machine resume once all changes so far are durable.

        :param step: passed to ``resume``; for example ``AttemptCommitted``, so that the
            attempt's start is sent.
        """
        self.effects.after_commit.append(Resume(step))

    def send(self, recipient: str, body: ShardBody) -> None:
        """Send a message to another shard after the commit, or to this one at once."""
        message = ShardMessage(self.shard, self.epoch, recipient, body)
        if recipient == self.shard:
            self.inbox.append(message)
        else:
            self.effects.after_commit.append(SendShard(message))

    def record_decision(
        self,
        key: TaskKey,
        action: str,
        reason: Reason,
        worker_id: str = "",
        detail: str = "",
        alternatives: Sequence[Alternative] = (),
    ) -> None:
        """Record a decision about a task and its reason."""
        decision = Decision(
            task_subject(key),
            action,
            reason,
            self.now_ms,
            self.epoch,
            self.context.view.version,
            worker_id,
            detail,
            tuple(alternatives[:ALTERNATIVES_KEPT]),
        )
        self.change(changes.DecisionTaken(decision))

    def allowed_zones(self, spec: TaskSpec) -> tuple[str, ...]:
        """Return the zones that a task may run in; empty means every zone."""
        if spec.zones:
            return spec.zones
        team = self.context.view.team(spec.key.team)
        return team.zones if team is not None else ()
