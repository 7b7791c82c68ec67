"""Network connections to callers, operators, other daemons and the platform."""
