"""The machine of a whole daemon and those of its shards, which drive all other parts.

Called by the transport layer; decisions themselves stand in the other packages.
"""
