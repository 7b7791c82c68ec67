"""The operators' configuration: reading it, confirming it, and changing it.

Called by ``shards.node``; every other package only reads the view.
"""
