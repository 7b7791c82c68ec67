"""The users' platform: its settings, wire names and calls, and nothing else.

Everything here decodes once into the product's types; no other module of the package
knows a name of the wire.
"""
