"""Marks of idempotency keys: records that a key may have been dispatched."""

import itertools
from collections.abc import Callable, Iterator

from attrs import Factory, define

from poplarlb.protocol import messages, ports

PAGE_MARKS = 64
# A page ends with the record that reaches this size.
PAGE_BYTES = 400_000
# Marks that a backup daemon holds for one shard.
MARKS_LIMIT = 100_000


def name_key(team: str, service: str, key: str) -> str:
    """Return the name of a key within its home shard."""
    return f"{team}/{service}/{key}"


@define
class MarkedKey:
    """A key that may have been dispatched, and its outcome once known."""

    mark: messages.MarkKey
    outcome: messages.KeyOutcome | None = None

    @property
    def name(self) -> str:
        """The key's name within its home shard."""
        return name_key(self.mark.team, self.mark.service, self.mark.key)

    @property
    def size_bytes(self) -> int:
        """The approximate size of the record in a message."""
        return (
            300 + len(self.mark.key) + (len(self.outcome.body) if self.outcome else 0)
        )


@define
class KeyLedger:
    """The marked keys of one shard.

    ``complete_epoch`` is the latest epoch whose dispatched keys are all recorded;
    0 means that keys of any epoch may be missing. Keys from before the takeover
    by that epoch may be missing until ``uncertain_until_ms``. ``from_owner`` is
    set if a deposed owner left the ledger and no key that earlier owners kept in
    memory only can be missing.
    """

    shard: str
    complete_epoch: int = 0
    uncertain_until_ms: int = 0
    from_owner: bool = False
    keys: dict[str, MarkedKey] = Factory(dict)

    def drop_expired(self, now_ms: int) -> None:
        """Remove the keys whose retention window has passed."""
        expired = [n for n, item in self.keys.items() if now_ms >= item.mark.expires_ms]
        for name in expired:
            del self.keys[name]

    def merge(self, item: MarkedKey) -> bool:
        """Add a record from another ledger; return whether this ledger changed."""
        own = self.keys.get(item.name)
        if own is None:
            self.keys[item.name] = item
            return True
        same = own.mark.request_id == item.mark.request_id
        if same and own.outcome is None and item.outcome is not None:
            own.outcome = item.outcome
            return True
        return False

    def page_after(self, after: str) -> tuple[list[MarkedKey], bool]:
        """Return the records that follow ``after``, and whether more follow."""
        names = sorted(name for name in self.keys if name > after)
        page = list(_first_page(self.keys[name] for name in names))
        return page, len(page) < len(names)


def _first_page(items: Iterator[MarkedKey]) -> Iterator[MarkedKey]:
    total = 0
    for item in itertools.islice(items, PAGE_MARKS):
        yield item
        total += item.size_bytes
        if total >= PAGE_BYTES:
            return


def join_records(
    marks: tuple[messages.MarkKey, ...], outcomes: tuple[messages.KeyOutcome, ...]
) -> list[MarkedKey]:
    """Return the records that a message's marks and outcomes describe."""
    known = {
        (name_key(item.team, item.service, item.key), item.request_id): item
        for item in outcomes
    }
    return [
        MarkedKey(
            mark,
            known.get((name_key(mark.team, mark.service, mark.key), mark.request_id)),
        )
        for mark in marks
    ]


def outcomes_of(records: list[MarkedKey]) -> tuple[messages.KeyOutcome, ...]:
    """Return the outcomes that are known among the records."""
    return tuple(item.outcome for item in records if item.outcome is not None)


@define
class Adoption:
    """An owner's ledger while the backup daemon receives its pages."""

    epoch: int
    adoption_id: int
    next_page: int = 0
    keys: dict[str, MarkedKey] = Factory(dict)


@define
class MarkStore:
    """Holds marks as a backup daemon, and the ledgers of shards that it owned earlier.

    A mark is refused if a later epoch of the shard is known, so that a deposed
    owner can't dispatch any more keys. ``epochs`` holds the latest known epoch of
    each shard.

    :param incarnation: this daemon's own incarnation.
    :param known_epoch: returns a shard's epoch as read from the store by this
        incarnation; ``None`` before the first read.
    :param address_of: returns a member's peer address.
    """

    incarnation: int
    known_epoch: Callable[[str], int | None]
    address_of: Callable[[str], str]
    ledgers: dict[str, KeyLedger] = Factory(dict)
    epochs: dict[str, int] = Factory(dict)
    adoptions: dict[str, Adoption] = Factory(dict)

    def fence(self, shard: str, epoch: int) -> None:
        """Refuse marks of epochs before ``epoch`` from now on."""
        self.epochs[shard] = max(epoch, self.epochs.get(shard, 0))

    def retain(self, ledger: KeyLedger) -> None:
        """Keep the ledger of a shard that this daemon owned until now."""
        held = self.ledgers.get(ledger.shard)
        if held is None or held.complete_epoch <= ledger.complete_epoch:
            self.ledgers[ledger.shard] = ledger

    def handle(self, event: ports.Event, now_ms: int) -> list[ports.Command]:
        """Answer owners' messages; drop expired marks on a tick."""
        match event:
            case ports.PeerReceived(sender=sender, message=message):
                answer = self._answer(message)
                address = self.address_of(sender)
                if answer is None or not address:
                    return []
                return [ports.SendPeer(sender, address, answer)]
            case ports.Tick():
                for ledger in self.ledgers.values():
                    ledger.drop_expired(now_ms)
        return []

    def _answer(self, message: messages.PeerMessage) -> messages.PeerMessage | None:
        match message:
            case messages.AdoptSecond():
                return self._adopt(message)
            case messages.MarkKey():
                return self._mark(message)
            case messages.KeyOutcome():
                self._record_outcome(message)
            case messages.CollectMarks(shard=shard, epoch=epoch, after=after):
                return self.collect(shard, epoch, after)
        return None

    def _adopt(self, page: messages.AdoptSecond) -> messages.SecondAdopted | None:
        known = self.known_epoch(page.shard)
        if known is None or page.incarnation != self.incarnation:
            return None
        self.fence(page.shard, known)
        if page.epoch < self.epochs[page.shard]:
            return messages.SecondAdopted(
                page.shard, self.epochs[page.shard], page.adoption_id, -1
            )
        self.fence(page.shard, page.epoch)
        adoption = self.adoptions.get(page.shard)
        if adoption is None or (adoption.epoch, adoption.adoption_id) < (
            page.epoch,
            page.adoption_id,
        ):
            adoption = Adoption(page.epoch, page.adoption_id)
            self.adoptions[page.shard] = adoption
        if adoption.adoption_id != page.adoption_id or page.page > adoption.next_page:
            return None
        if page.page == adoption.next_page:
            self._add_page(adoption, page)
        return messages.SecondAdopted(
            page.shard, page.epoch, page.adoption_id, page.page
        )

    def _add_page(self, adoption: Adoption, page: messages.AdoptSecond) -> None:
        adoption.next_page += 1
        records = join_records(page.marks, page.outcomes)
        adoption.keys.update({item.name: item for item in records})
        if page.last:
            self.ledgers[page.shard] = KeyLedger(
                page.shard, page.epoch, page.uncertain_until_ms, False, adoption.keys
            )
            adoption.keys = {}

    def _mark(self, mark: messages.MarkKey) -> messages.KeyMarked:
        epoch = self.epochs.get(mark.shard, 0)
        ledger = self.ledgers.get(mark.shard)
        held = (
            mark.epoch == epoch
            and ledger is not None
            and not ledger.from_owner
            and ledger.complete_epoch == epoch
            and self._store_mark(ledger, mark)
        )
        return messages.KeyMarked(mark.shard, epoch, mark.mark_id, held)

    def _store_mark(self, ledger: KeyLedger, mark: messages.MarkKey) -> bool:
        name = name_key(mark.team, mark.service, mark.key)
        held = ledger.keys.get(name)
        if held is None and len(ledger.keys) >= MARKS_LIMIT:
            return False
        if held is not None:
            newest = (held.mark.epoch, held.mark.mark_id)
            if newest > (mark.epoch, mark.mark_id):
                return False
            if held.mark.request_id == mark.request_id:
                held.mark = mark
                return True
        ledger.keys[name] = MarkedKey(mark)
        return True

    def _record_outcome(self, outcome: messages.KeyOutcome) -> None:
        ledger = self.ledgers.get(outcome.shard)
        name = name_key(outcome.team, outcome.service, outcome.key)
        held = ledger.keys.get(name) if ledger else None
        if held is None or held.mark.request_id != outcome.request_id:
            return
        if outcome.used:
            held.outcome = outcome
        else:
            del ledger.keys[name]

    def collect(
        self, shard: str, epoch: int, after: str
    ) -> messages.MarksCollected | None:
        """Return a page of a shard's marks for a new owner.

        Marks of earlier epochs are refused from now on. Returns ``None`` if a later
        epoch is known.
        """
        if epoch < self.epochs.get(shard, 0):
            return None
        self.fence(shard, epoch)
        ledger = self.ledgers.get(shard, KeyLedger(shard))
        page, more = ledger.page_after(after)
        return messages.MarksCollected(
            shard,
            ledger.complete_epoch,
            tuple(item.mark for item in page),
            outcomes_of(page),
            more,
            ledger.complete_epoch > 0,
            after,
            ledger.from_owner,
            ledger.uncertain_until_ms,
        )
