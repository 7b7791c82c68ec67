"""Routed requests: admission to endpoints, idempotency keys, retries, refusals.

Called by the gateway and by ``shards.shard``; the platform's role doesn't load it.
"""
