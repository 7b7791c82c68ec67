"""Stand-ins of the platform's store, workers and clients for the review's cases."""
