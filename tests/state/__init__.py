"""Tests of the data model and of a shard's state."""
