"""Membership, ownership of shards, and the summaries that daemons exchange.

Called by ``shards.node``. Only ``owner_calls`` knows of requests, and only ``status``
of tasks; ``status`` and ``handover`` use ``ShardHost``, a shard owned by this daemon.
"""
