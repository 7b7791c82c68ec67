"""The platform's store as typed calls, with leases on the harness's clock."""

import collections

from attrs import Factory, define

from poplarlb.protocol import ports


@define
class Item:
    """A key's value, version and lease."""

    value: bytes
    version: int
    lease_id: int = 0


@define
class FakeStore:
    """Compare-and-swap, prefixes and leases; every call is counted."""

    items: dict[str, Item] = Factory(dict)
    leases: dict[int, tuple[int, int]] = Factory(dict)
    revision: int = 0
    calls: collections.Counter[str] = Factory(collections.Counter)

    def execute(
        self, operation: ports.StoreOperation, now_ms: int
    ) -> ports.StoreResult:
        """Carry out one operation at an instant."""
        self.calls[type(operation).__name__] += 1
        self._expire(now_ms)
        match operation:
            case ports.StoreRead(prefix=prefix, newer_than=newer_than):
                entries = tuple(
                    ports.StoreEntry(key, item.value, item.version)
                    for key, item in sorted(self.items.items())
                    if key.startswith(prefix) and item.version > newer_than
                )
                return ports.StoreEntries(entries, self.revision)
            case ports.StoreWrite():
                return self._write(operation)
            case ports.StoreDelete(key=key, expected_version=expected):
                if self._version(key) != expected:
                    return ports.StoreWritten(False)
                self.revision += 1
                self.items.pop(key, None)
                return ports.StoreWritten(True, self.revision)
            case ports.StoreLeaseGrant(ttl_s=ttl_s):
                self.revision += 1
                self.leases[self.revision] = (ttl_s, now_ms + ttl_s * 1000)
                return ports.StoreLease(self.revision, ttl_s)
            case ports.StoreLeaseRenew(lease_id=lease_id):
                if lease_id not in self.leases:
                    return ports.StoreLease(lease_id, 0)
                ttl_s = self.leases[lease_id][0]
                self.leases[lease_id] = (ttl_s, now_ms + ttl_s * 1000)
                return ports.StoreLease(lease_id, ttl_s)

    def _version(self, key: str) -> int:
        return self.items[key].version if key in self.items else 0

    def _write(self, write: ports.StoreWrite) -> ports.StoreResult:
        if len(write.value) > 1 << 20:
            return ports.StoreFailed("value over a megabyte")
        if write.lease_id and write.lease_id not in self.leases:
            return ports.StoreFailed("no such lease")
        if self._version(write.key) != write.expected_version:
            return ports.StoreWritten(False)
        self.revision += 1
        self.items[write.key] = Item(write.value, self.revision, write.lease_id)
        return ports.StoreWritten(True, self.revision)

    def _expire(self, now_ms: int) -> None:
        lapsed = {lease for lease, (_, end) in self.leases.items() if end <= now_ms}
        if not lapsed:
            return
        for lease in lapsed:
            del self.leases[lease]
        gone = [key for key, item in self.items.items() if item.lease_id in lapsed]
        for key in gone:
            del self.items[key]
        self.revision += bool(gone)
