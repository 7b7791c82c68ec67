"""A fake of the platform's store at the level of typed calls, on a simulated clock."""

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
    """Supports compare-and-swap, reads by prefix and leases; counts its calls."""

    items: dict[str, Item] = Factory(dict)
    leases: dict[int, tuple[int, int]] = Factory(dict)
    revision: int = 0
    calls: collections.Counter[str] = Factory(collections.Counter)

    def execute(
        self, operation: ports.StoreOperation, now_ms: int
    ) -> ports.StoreResult:
        """Carry out one operation at ``now_ms``."""
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
            return ports.StoreFailed("value larger than 1 MiB")
        if write.lease_id and write.lease_id not in self.leases:
            return ports.StoreFailed("no such lease")
        if self._version(write.key) != write.expected_version:
            return ports.StoreWritten(False)
        self.revision += 1
        self.items[write.key] = Item(write.value, self.revision, write.lease_id)
        return ports.StoreWritten(True, self.revision)

    def _expire(self, now_ms: int) -> None:
        expired = {lease for lease, (_, end) in self.leases.items() if end <= now_ms}
        if not expired:
            return
        for lease in expired:
            del self.leases[lease]
        orphaned_keys = [
            key for key, item in self.items.items() if item.lease_id in expired
        ]
        for key in orphaned_keys:
            del self.items[key]
        self.revision += bool(orphaned_keys)
