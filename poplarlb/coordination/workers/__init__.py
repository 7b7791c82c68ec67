"""What a shard knows of its workers and places there: leases, reports, calls, queue.

Called by ``shards.shard``; the choice of a worker stands in ``policy``.
"""
