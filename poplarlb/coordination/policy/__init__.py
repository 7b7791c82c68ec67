"""Decisions without I/O: placement, queue order, throttling, eviction and quotas.

``workers`` and ``shards`` call placement, throttling and eviction through
``policy.policy``, and quotas directly. Only ``quota`` changes journaled state; the
rest of the state is not stored.
"""
