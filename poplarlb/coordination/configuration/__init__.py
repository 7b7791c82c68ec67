"""The operators' configuration: reads, confirmation and changes.

Called by ``shards.node``; all other packages only read the view.
"""
