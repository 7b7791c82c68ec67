"""A shard's workers: leases, reservations, reports, calls and the placement queue.

Called by ``shards.shard_state_machine``; the choice of a worker is made in ``policy``.
"""
