"""Transport: sockets towards callers, operators, daemons and the platform."""
