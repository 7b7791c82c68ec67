"""Replicates a shard's idempotency keys from its owner to its backup daemon."""

from collections.abc import Callable

from attrs import define

from poplarlb.coordination.requests.key_takeover import RESEND_MS, KeyPeers
from poplarlb.coordination.requests.marks import KeyLedger, outcomes_of
from poplarlb.protocol import messages, ports


@define
class BackupDaemon:
    """The owner's view of the daemon that holds copies of a shard's marks.

    A mark records that a key may have been dispatched; the ledger holds all marks
    of the shard. The ledger is first sent page by page, under one ``adoption_id``;
    the backup daemon is ``ready`` once it has acknowledged the last page. ``sent``
    is page number ``page``, in flight and resent unchanged until it is
    acknowledged. The next page starts after the key ``after``.

    :param next_id: returns a number that this daemon has not used.
    """

    shard: str
    epoch: int
    peers: KeyPeers
    next_id: Callable[[], int]
    member_id: str = ""
    adoption_id: int = 0
    page: int = 0
    after: str = ""
    sent: messages.AdoptSecond | None = None
    sent_ms: int = 0
    ready: bool = False

    def restart(self, member_id: str) -> None:
        """Make a daemon the backup; the whole ledger is then sent to it."""
        self.member_id = member_id
        self.adoption_id = self.next_id()
        self.page = 0
        self.after = ""
        self.sent = None
        self.sent_ms = 0
        self.ready = False

    def send(self, message: messages.PeerMessage) -> list[ports.Command]:
        """Return the command that sends a message, if there is a backup daemon."""
        address = self.peers.address_of(self.member_id)
        if not address:
            return []
        return [ports.SendPeer(self.member_id, address, message)]

    def advance(
        self, ledger: KeyLedger, uncertain_until_ms: int, now_ms: int
    ) -> list[ports.Command]:
        """Resend the page in flight, or send the next one.

        The ledger is sent from the start again if the backup daemon has restarted.
        """
        if self.ready or now_ms < self.sent_ms + RESEND_MS:
            return []
        incarnation = self.peers.incarnation_of(self.member_id)
        if self.sent and self.sent.incarnation != incarnation:
            self.restart(self.member_id)
        if self.sent is None:
            self._make_page(ledger, uncertain_until_ms, incarnation)
        self.sent_ms = now_ms
        return self.send(self.sent)

    def _make_page(
        self, ledger: KeyLedger, uncertain_until_ms: int, incarnation: int
    ) -> None:
        page, more = ledger.page_after(self.after)
        self.after = page[-1].name if page else self.after
        self.sent = messages.AdoptSecond(
            self.shard,
            self.epoch,
            self.adoption_id,
            incarnation,
            self.page,
            not more,
            tuple(item.mark for item in page),
            outcomes_of(page),
            uncertain_until_ms,
        )

    def handle_adopted(self, sender: str, adopted: messages.SecondAdopted) -> bool:
        """Handle an acknowledgement; return whether it is for the page in flight."""
        current = (self.member_id, self.adoption_id, self.page)
        received = (sender, adopted.adoption_id, adopted.page)
        if self.ready or self.sent is None or received != current:
            return False
        self.ready = self.sent.last
        if not self.ready:
            self.sent, self.page, self.sent_ms = None, self.page + 1, 0
        return True
