"""Tests of the adapters to the users' platform."""
