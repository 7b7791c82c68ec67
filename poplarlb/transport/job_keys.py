"""The keys that the daemons keep in the store.

===================  ==========================================================
``holder``           the owner of the jobs; bound to its lease, so it vanishes
``chain``            epoch and number of the owner's last commit; every commit
                     is made under its revision, which fences earlier owners
``in/job/ID``        an accepted job, written once by the daemon that accepted
``in/cancel/ID``     a cancelled job, written by the daemon that was asked
``progress/ID``      what has become of a job, written by the owner
``waiting``          jobs that haven't begun, by queue, and when that was true,
                     written by the owner once a second
``strongest``        processors of the strongest daemon that ever started; daemons
                     far below it let others claim the ownership first
``lapses``           workers that don't answer, and how long their leases last
                     at most, written by the owner once a second
``learned``          what the owner has learned of images, for the next owner
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
LAPSES = "lapses"
LEARNED = "learned"
