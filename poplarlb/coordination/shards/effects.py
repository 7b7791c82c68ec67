"""The output of a shard's state machine: changes to commit and commands to send."""

from attrs import Factory, define, frozen

from poplarlb.protocol.messages import ShardMessage
from poplarlb.protocol.ports import Command
from poplarlb.state.changes import Change


@frozen
class SendShard:
    """A command to send a message to the daemon that owns the recipient shard."""

    message: ShardMessage


@frozen
class Resume:
    """A command to call the state machine's ``resume`` with ``step`` after a commit.

    Used where a command must be checked again, or built, right before it is sent.
    """

    step: object


ShardCommand = Command | SendShard | Resume


@define
class Effects:
    """Changes to commit, and commands to carry out, that result from one event.

    Commands in ``after_commit`` wait until every change staged so far is durable;
    those in ``immediate`` do not wait. ``urgent`` requests a commit ahead of the next
    regular one.
    """

    changes: list[Change] = Factory(list)
    after_commit: list[ShardCommand] = Factory(list)
    immediate: list[ShardCommand] = Factory(list)
    urgent: bool = False

    def extend(self, other: "Effects") -> None:
        """Append the effects of ``other`` to these."""
        self.changes.extend(other.changes)
        self.after_commit.extend(other.after_commit)
        self.immediate.extend(other.immediate)
        self.urgent = self.urgent or other.urgent
