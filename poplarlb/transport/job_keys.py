"""Keys in the store that the daemons share; the owner decides about all jobs.

===================  ==========================================================
``holder``           the owner of the jobs; bound to the owner's lease, so that it
                     is deleted when the lease expires
``chain``            epoch and number of the owner's last commit; every commit
                     expects its revision, which fences earlier owners
``in/job/ID``        an accepted job, written once by the daemon that accepted it
``in/cancel/ID``     a cancellation, written by the daemon that received it
``progress/ID``      the progress of a job, written by the owner
``waiting``          number of jobs not yet begun in each queue, with the time of
                     the count, written by the owner once a second
``strongest``        highest number of processors of any daemon so far; daemons
                     far below it let others claim the ownership first
``lapses``           unresponsive workers and the latest expiry of their leases,
                     written by the owner once a second
``late-calls``       calls to workers that may still be carried out late, and for how
                     long, written by the owner once a second while there are any
``errors``           number of unexpected errors that each job has caused, written by
                     an owner that gives up the ownership after one
``learned``          interference that the owner has learned for images, for the
                     next owner
===================  ==========================================================
"""

HOLDER = "holder"
CHAIN = "chain"
INBOX = "in/"
JOBS = "in/job/"
CANCELS = "in/cancel/"
PROGRESS = "progress/"
STRONGEST = "strongest"
WAITING = "waiting"
UNRESPONSIVE_WORKERS = "lapses"
LATE_CALLS = "late-calls"
LEARNED = "learned"
ERRORS = "errors"
