"""The operators' configuration: reads, confirmation and changes.

Called by ``shards.node``; all other packages only read the view, the configuration
in force at a daemon.
"""
