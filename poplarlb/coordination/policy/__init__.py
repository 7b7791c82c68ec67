"""Decisions without I/O: placement, queue order, throttling, eviction and quotas.

Called by ``workers`` and ``shards`` through ``policy.policy``. Only ``quota`` changes
journaled state; the rest of the state is learned and not stored.
"""
