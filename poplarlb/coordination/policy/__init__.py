"""Pure choices: which worker, in which order, what to slow down or evict, which quota.

Called by ``workers`` and ``shards`` through ``policy.policy``; no part keeps a
committed state of its own.
"""
