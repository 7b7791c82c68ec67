"""Turns the entries that operators and workers write in the store into events."""

from collections.abc import Callable

from attrs import Factory, define

from poplarlb.coordination.jobs import events
from poplarlb.event_log import EventLog
from poplarlb.exceptions import BadAnswerError
from poplarlb.platform.wire import decode_config, decode_listing
from poplarlb.protocol.store import StoredChange
from poplarlb.state.jobs import OperatorConfig

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
EVACUATIONS_PREFIX = "op/evacuate/"
WORKERS_PREFIX = "servers/"
MAX_COMPARED_KEYS = 32  # rows of one transaction


@define(eq=False)
class PlatformWorkerDirectory:
    """Decodes the entries by which workers register in the store.

    ``unusable`` holds the reason that was logged for each entry that can't be used.
    """

    log: EventLog
    prefix: str = WORKERS_PREFIX
    unusable: dict[str, str] = Factory(dict)

    def decode(self, change: StoredChange) -> events.Event:
        """Return the event for a changed entry.

        An entry that can't be used counts as removed. It is logged once, however often
        it is written, until it can be used or has another fault.
        """
        worker_id = change.key.removeprefix(WORKERS_PREFIX)
        if change.value is None:
            self.unusable.pop(worker_id, None)
            return events.WorkerUnlisted(worker_id)
        try:
            listing = decode_listing(worker_id, change.value)
        except BadAnswerError as error:
            self._note_unusable(worker_id, error.detail, change)
            return events.WorkerUnlisted(worker_id)
        self.unusable.pop(worker_id, None)
        return events.WorkerListed(listing)

    def _note_unusable(self, worker_id: str, reason: str, change: StoredChange) -> None:
        if self.unusable.get(worker_id) == reason:
            return
        self.unusable[worker_id] = reason
        self.log.write(
            "entry_unusable", key=change.key, revision=change.revision, error=reason
        )


@define(eq=False)
class OperatorView:
    """The operator's latest configuration and the zones taken out of service.

    A zone is out of service while its entry below ``op/evacuate/`` exists.
    ``config_revision`` is the store's revision of the configuration's last change.
    ``unreadable_revision`` is that of a newer one that can't be decoded; 0 if there is
    none.

    :param on_event: called with an event for each change.
    """

    log: EventLog
    on_event: Callable[[events.Event], None]
    config: OperatorConfig | None = None
    config_revision: int = 0
    unreadable_revision: int = 0
    zones_out: set[str] = Factory(set)

    def on_change(self, change: StoredChange) -> None:
        """Apply a changed entry.

        A configuration of a lower or the same version is ignored. One that was deleted
        or can't be decoded ends the one before: nothing is decided by either.
        """
        if change.key == CONFIG_KEY:
            self._apply_config(change.value, change.revision)
        elif change.key.startswith(EVACUATIONS_PREFIX):
            zone = change.key.removeprefix(EVACUATIONS_PREFIX)
            if change.value is None:
                self.zones_out.discard(zone)
            else:
                self.zones_out.add(zone)
            self.log.write(
                "zones_out", zones=sorted(self.zones_out), revision=change.revision
            )
            self.on_event(events.ZonesOut(frozenset(self.zones_out)))

    @property
    def is_config_known(self) -> bool:
        """Whether there is a configuration, and the newest one could be decoded."""
        return self.config is not None and not self.unreadable_revision

    def _apply_config(self, value: bytes | None, revision: int) -> None:
        try:
            if value is None:
                raise BadAnswerError("the configuration was deleted")
            config = decode_config(value)
        except BadAnswerError as error:
            self.unreadable_revision = revision
            self.log.write("config_unreadable", error=error.detail, revision=revision)
            self.on_event(events.ConfigUnreadable())
            return
        was_unreadable, self.unreadable_revision = self.unreadable_revision, 0
        if self.config is not None and config.version <= self.config.version:
            self.log.write(
                "config_ignored",
                version=config.version,
                revision=revision,
                version_in_force=self.config.version,
            )
            if was_unreadable:
                self.on_event(events.ConfigChanged(self.config))
            return
        self.config = config
        self.config_revision = revision
        self.log.write(
            "config_changed",
            version=config.version,
            revision=revision,
            queues=len(config.queues),
            faults=[item.fault for item in config.queues if item.fault],
        )
        self.on_event(events.ConfigChanged(config))


def operator_keys(zones: tuple[str, ...]) -> tuple[str, ...]:
    """Return the keys of the operator that this daemon goes by.

    Empty if they are too many to be compared in one transaction.
    """
    keys = (CONFIG_KEY, *(EVACUATIONS_PREFIX + zone for zone in zones))
    return keys if len(keys) <= MAX_COMPARED_KEYS else ()
