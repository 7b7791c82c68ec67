"""Routed requests: admission to endpoints, idempotency keys, retries, refusals.

Called by the gateway and by ``shards``; not loaded by ``poplarlb.platform``.
"""
