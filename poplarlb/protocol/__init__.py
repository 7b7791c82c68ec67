"""Typed messages, events and commands, their codec, and the store's interface."""
