"""Adapters to the users' platform: its settings, wire format and calls.

These modules decode what the platform sends into the package's own types. No other
module of the package uses a name of the platform's wire format.
"""
