"""Coordination: state machines that decide, without input or output."""
