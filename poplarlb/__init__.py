"""poplarlb: a scheduler for latency-critical services and batch jobs."""
