"""The state machines of a daemon and of its shards, which drive all other parts.

Called by the transport layer; the decisions are made in the other packages.
"""
