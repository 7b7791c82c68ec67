"""The cases of the independent review."""
