"""Collects the keys that earlier owners dispatched, for a new owner.

Other daemons hold them as marks: records that a key may have been dispatched.
"""

from collections.abc import Callable, Iterable

from attrs import Factory, define, frozen

from poplarlb.coordination.requests.marks import MarkedKey, MarkStore, join_records
from poplarlb.protocol import messages, ports

RESEND_MS = 200
MAX_RESEND_MS = 10_000


@frozen
class PreviousOwner:
    """The owner of a shard in the epoch before that of its new owner.

    ``owner`` is empty if it is not known. ``backups`` are the backup daemons of
    earlier epochs that may hold marks not yet collected, among them the last one
    that any earlier owner assigned.
    """

    epoch: int
    owner: str
    backups: tuple[str, ...]


@frozen
class KeyPeers:
    """What the key table of a shard's owner needs to know about other daemons.

    ``members`` returns the member ids of all other daemons, ``backup`` that of
    the backup daemon in the present owner record. ``ownership_confirmed_ms`` returns
    when the last store call that confirmed the ownership was sent.
    """

    own_id: str
    address_of: Callable[[str], str]
    incarnation_of: Callable[[str], int]
    members: Callable[[], Iterable[str]]
    backup: Callable[[], str]
    ownership_confirmed_ms: Callable[[], int]


@define
class Collection:
    """Progress of reading the marks of one member, page by page."""

    after: str = ""
    next_ms: int = 0
    wait_ms: int = RESEND_MS
    done: bool = False

    def is_due(self, now_ms: int) -> bool:
        """Return whether to ask now; if so, double the wait until asking again."""
        if self.done or now_ms < self.next_ms:
            return False
        self.next_ms = now_ms + self.wait_ms
        self.wait_ms = min(2 * self.wait_ms, MAX_RESEND_MS)
        return True


@define
class Uncertainty:
    """How long a new owner lacks knowledge of earlier epochs.

    Until ``fenced_ms`` an earlier owner may still dispatch keys. From then until
    ``until_ms`` there may be dispatched keys that this owner does not know.
    """

    fenced_ms: int = 0
    until_ms: int = 0

    def lower(self, fenced_ms: int, until_ms: int) -> bool:
        """Lower the bounds to earlier times; return whether one changed."""
        before = (self.fenced_ms, self.until_ms)
        self.fenced_ms = min(self.fenced_ms, fenced_ms)
        self.until_ms = min(self.until_ms, until_ms)
        return before != (self.fenced_ms, self.until_ms)


@define
class MarkCollector:
    """Collects the marks of every member and determines when they are complete.

    ``marked`` bounds the uncertainty about keys with a mark on a backup daemon,
    ``unmarked`` that about keys kept in an owner's memory only. ``collections``
    holds the progress at each member.

    :param window_ms: how long a key is kept at most.
    """

    shard: str
    epoch: int
    peers: KeyPeers
    window_ms: int
    previous: PreviousOwner | None = None
    marked: Uncertainty = Factory(Uncertainty)
    unmarked: Uncertainty = Factory(Uncertainty)
    collections: dict[str, Collection] = Factory(dict)

    def begin(self, marks: MarkStore, horizon_ms: int, now_ms: int) -> list[MarkedKey]:
        """Start the collection; return the records that this daemon holds itself.

        :param horizon_ms: how long an owner dispatches keys after the store last
            confirmed its ownership.
        """
        if self.previous is None:
            return []
        fenced_ms = now_ms + horizon_ms
        until_ms = fenced_ms + self.window_ms
        self.marked = Uncertainty(fenced_ms, until_ms)
        self.unmarked = Uncertainty(fenced_ms, until_ms)
        records: list[MarkedKey] = []
        while True:
            after = records[-1].name if records else ""
            page = marks.collect(self.shard, self.epoch, after)
            records.extend(join_records(page.marks, page.outcomes))
            if not page.more:
                self._update_bounds(self.peers.own_id, page, now_ms)
                return records

    def may_adopt(self, member_id: str) -> bool:
        """Return whether a daemon's marks are known, so that it may be the backup."""
        if not member_id or member_id == self.peers.own_id:
            return False
        if self.previous is None:
            return True
        return member_id in self.collections and self.collections[member_id].done

    def ask(self, now_ms: int) -> list[ports.Command]:
        """Ask every member for its next page of marks."""
        if self.previous is None:
            return []
        commands = []
        for member_id in self.peers.members():
            item = self.collections.setdefault(member_id, Collection())
            address = self.peers.address_of(member_id)
            if not address or not item.is_due(now_ms):
                continue
            message = messages.CollectMarks(self.shard, self.epoch, item.after)
            commands.append(ports.SendPeer(member_id, address, message))
        return commands

    def add_page(
        self, sender: str, page: messages.MarksCollected, now_ms: int
    ) -> list[MarkedKey] | None:
        """Record a member's page of marks; return its records.

        Returns ``None`` if the page is not the one asked for.
        """
        item = self.collections.get(sender)
        if item is None or item.done or page.after != item.after:
            return None
        records = join_records(page.marks, page.outcomes)
        if page.more and records:
            item.after, item.next_ms = records[-1].name, 0
            item.wait_ms = RESEND_MS
            return records
        item.done = True
        self._update_bounds(sender, page, now_ms)
        return records

    def _update_bounds(
        self, sender: str, page: messages.MarksCollected, now_ms: int
    ) -> None:
        previous = self.previous
        if sender not in (previous.owner, *previous.backups):
            return
        complete = page.complete and page.epoch == previous.epoch
        if not complete and (previous.epoch > 1 or len(previous.backups) > 1):
            # The previous owner may have ended before it fenced the epochs
            # before its own.
            return
        until_ms = page.uncertain_until_ms if complete else now_ms + self.window_ms
        self.marked.lower(now_ms, until_ms)
        if page.from_owner or (not complete and sender == previous.owner):
            self.unmarked.lower(now_ms, until_ms)
