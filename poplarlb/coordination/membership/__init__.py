"""Who the daemons are, which of them owns what, and what they tell each other.

Called by ``shards.node``; nothing here knows of tasks or requests.
"""
