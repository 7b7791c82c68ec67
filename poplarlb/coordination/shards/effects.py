"""What a shard's machine wants done, in relation to its journal."""

from attrs import Factory, define, frozen

from poplarlb.protocol.messages import ShardMessage
from poplarlb.protocol.ports import Command
from poplarlb.state.changes import Change


@frozen
class SendShard:
    """Send a message to whichever daemon owns the recipient shard."""

    message: ShardMessage


@frozen
class Resume:
    """Call the machine's ``resume`` with ``step`` once the changes are durable.

    Used where a command must be checked again, or built, right before it is sent.
    """

    step: object


ShardCommand = Command | SendShard | Resume


@define
class Effects:
    """Changes to commit, and commands to release.

    ``after_commit`` waits until every change staged so far is durable;
    ``at_once`` does not wait. ``urgent`` asks for a commit before the next
    regular one.
    """

    changes: list[Change] = Factory(list)
    after_commit: list[ShardCommand] = Factory(list)
    at_once: list[ShardCommand] = Factory(list)
    urgent: bool = False

    def extend(self, other: "Effects") -> None:
        """Append the other's effects to these."""
        self.changes.extend(other.changes)
        self.after_commit.extend(other.after_commit)
        self.at_once.extend(other.at_once)
        self.urgent = self.urgent or other.urgent
