"""A shard's committed changes in the store: group commit, fencing, snapshots, recovery.

Called by ``shards.shard_host``; nothing here knows what a record means.
"""
