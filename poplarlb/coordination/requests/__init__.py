"""Routed requests: admission to endpoints, idempotency keys, retries, refusals.

Called by the gateway and by ``shards.shard_state_machine``; not loaded in the
platform's role.
"""
