"""Tests of the protocol's codec."""
