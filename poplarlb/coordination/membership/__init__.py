"""Membership, ownership of shards, and the summaries that daemons exchange.

Called by ``shards.node``; nothing here knows of tasks or requests.
"""
