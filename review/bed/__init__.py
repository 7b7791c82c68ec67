"""Stand-ins of the platform, its workers and its callers; the standard library only."""
