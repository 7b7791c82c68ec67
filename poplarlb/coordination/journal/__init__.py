"""A shard's committed changes in the store: group commit, fencing, snapshots, recovery.

Called by ``shards.shard_host``; the content of the records is opaque to this package.
"""
