"""Scheduling of jobs: when and where each task runs, and what follows from its end.

:mod:`dispatcher` is the facade; the daemon that owns the jobs calls
``Dispatcher.handle(event, now_ms)`` and carries out the commands that it returns.
"""
