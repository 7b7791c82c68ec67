"""Stand-ins of the platform's store and workers, and daemons as processes."""
