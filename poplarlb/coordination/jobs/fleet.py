"""The owner's state of each worker: its runs, free capacity, clock and lease."""

import enum
from collections import Counter
from itertools import chain

from attrs import Factory, define, field

from poplarlb.coordination.jobs.events import WorkerListing
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.state.jobs import Task
from poplarlb.state.models import Resources

UNKNOWN_THROTTLE = -1  # must be sent: a call has failed, or an earlier owner sent it


class RunPhase(enum.Enum):
    """How far the start of a run is known to have got."""

    COMMITTING = "committing"  # its record is yet to be written to the store
    SENT = "sent"  # the start has no answer yet
    RUNNING = "running"  # the worker confirmed it
    AMBIGUOUS = "ambiguous"  # the start got no clear answer; it may be carried out
    INHERITED = "inherited"  # placed by an earlier owner, not confirmed since


@define(eq=False, slots=True)
class Run:
    """One run of a task at a worker; holds a reservation until its end is certain.

    Throttles are percentages of the processors that the run would use; 100 is none.
    """

    task: Task
    number: int
    worker_id: str
    phase: RunPhase
    placed_ms: int
    sent_ms: int = 0  # when the start was last sent
    times_sent: int = 0
    lease_end_ms: int = 0  # of the start last sent, on the worker's clock
    resumed: bool = False  # began from a checkpoint
    # A best-effort run placed where it may interfere, as its job has starved.
    last_resort: bool = False
    ticket: str = ""  # by which the advice service permits the start; empty: not needed
    confirmed_ms: int = 0  # when the worker confirmed the start
    # When another incarnation than the known one answered the start; 0: none has, or a
    # poll has listed the run since.
    answered_elsewhere_ms: int = 0
    stopping: str = ""  # why it is to be stopped; empty: it is not
    stop_sent_ms: int = 0  # when the stop was last sent; 0: never
    stop_confirmed_ms: int = 0  # when the worker first answered a stop; 0: not yet
    percent_done: int = 0  # of the task's work
    # Tail latency in ms of a serving run; thousandths of a processor that a best-effort
    # run uses.
    measurement: float = 0.0
    low_throttle_since_ms: int = 0  # 0: not throttled below LOW_THROTTLE_PERCENT
    learned_ms: int = 0  # when the interference model last used its measurement
    over_target_since_ms: int = 0  # of a serving task's tail latency; 0: within target
    # When percent_done or the checkpoint last changed, or the run was listed while it
    # was throttled.
    progress_ms: int = 0
    percent_changes: int = 0  # of percent_done, as listed
    percent_changed_ms: int = 0
    longest_percent_ms: float = 0.0  # that one of its percents took; 0: not known
    listed_checkpoint: str = ""
    throttle_percent: int = 100  # in force
    sent_throttle_percent: int = 100  # last sent; or UNKNOWN_THROTTLE
    # The lowest that a serving task at the worker requires, of those considered so far.
    wanted_throttle_percent: int = 100
    # The task's name and the run's number, which name the run at the worker.
    key: tuple[str, int] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Compute the key, which never changes."""
        self.key = self.task.name, self.number

    @property
    def current(self) -> bool:
        """Return whether this is the run that the task's record names."""
        task = self.task
        return task.run == self.number and task.worker_id == self.worker_id


@define(eq=False, slots=True)
class WorkerState:
    """One worker, through all its incarnations."""

    worker_id: str
    inherited_leases_until_ms: int = 0  # leases of earlier owners have expired by then
    listing: WorkerListing | None = None  # the last one; kept when it is removed
    listed: bool = False
    unlisted_ms: int = 0  # when its entry was removed; 0: never
    incarnation: int = 0  # when it started, UTC ms; 0: not known yet
    fenced: bool = False  # has answered a poll of this epoch, so refuses earlier ones
    clock_ms: int = 0  # the worker's clock at clock_at_ms
    clock_at_ms: int = 0
    # How much longer leases last by the answers to starts, and when that was read.
    answer_delay_ms: int = 0
    answer_delayed_ms: int = 0
    # Latest end, on the worker's clock, of a lease that was or may have been granted.
    lease_end_ms: int = 0
    # Until then a start that was sent to an earlier incarnation may be carried out by
    # the present one, and grant a lease by the earlier one's clock.
    misdirected_until_ms: int = 0
    answered_ms: int = 0  # when it last answered a poll
    polled_ms: int = 0  # when the last poll was sent that it answered
    missed_polls: int = 0  # polls in a row that got no answer
    poll_sent_ms: int = 0  # 0: no poll is in flight
    next_poll_ms: int = 0
    stored_end: int = 0  # run ends up to this number are in the store
    applied_end: int = 0  # run ends up to this number have been applied
    runs: dict[tuple[str, int], Run] = Factory(dict)
    reserved: Resources = Resources()
    throttled_ms: int = 0  # when the throttles of its best-effort runs were last set
    # Thousandths of a processor that best-effort runs would use if not throttled; those
    # placed as a last resort don't count, as they make way for all others.
    best_effort_cpu: int = 0
    last_resort_runs: int = 0
    last_resort_ms: int = 0  # when one was last placed; 0: never
    serving_runs: int = 0  # runs that have a target
    serving_cpu: int = 0  # thousandths of a processor that these runs reserve
    # Numbers of runs by step; the image of each step with serving runs; by image,
    # thousandths of a processor that best-effort runs would use if not throttled, and
    # numbers of best-effort runs, both without those placed as a last resort.
    step_runs: dict[tuple[str, int, int], int] = Factory(dict)
    serving_steps: dict[tuple[str, int, int], str] = Factory(dict)
    best_effort_images: dict[str, int] = Factory(dict)
    best_effort_runs: Counter[str] = Factory(Counter)
    # Best-effort runs that ended beside serving ones: image, thousandths of a processor
    # used, when ended.
    recently_ended: list[tuple[str, float, int]] = Factory(list)
    paused_until_ms: int = 0  # gets no new runs until then
    failures: int = 0  # failed or stalled runs since the last run that was done
    held_for: Task | None = None  # gets no new runs, as this task is to run isolated
    isolated_run: Run | None = None
    # Runs to stop that hold no reservation: when the stop was last sent; 0: not yet.
    orphan_stops: dict[tuple[str, int], int] = Factory(dict)
    # By run key: until when the worker may still carry out a start that got no answer.
    unanswered_starts: dict[tuple[str, int], int] = Factory(dict)
    # Until then another incarnation may carry out, or has carried out, a call that
    # renews its leases.
    late_renewals_until_ms: int = 0
    poll_renews: bool = False  # the poll in flight renews the leases

    # --- capacity ---------------------------------------------------------------------

    def add(self, run: Run) -> None:
        """Reserve capacity for a run."""
        self.runs[run.key] = run
        task = run.task
        task.reserved_runs += (run,)
        spec, step = task.spec, task.step_key
        self.reserved = self.reserved.plus(spec.reserved)
        self.step_runs[step] = self.step_runs.get(step, 0) + 1
        cpu_millis = spec.size.cpu_millis
        if run.last_resort:
            self.last_resort_runs += 1
            self.last_resort_ms = run.placed_ms
        elif spec.fills:
            self.best_effort_cpu += cpu_millis
            used = self.best_effort_images.get(spec.image, 0)
            self.best_effort_images[spec.image] = used + cpu_millis
            self.best_effort_runs[spec.image] += 1
        if spec.target_ms:
            self.serving_runs += 1
            self.serving_cpu += cpu_millis
            self.serving_steps[step] = spec.image

    def remove(self, run: Run) -> None:
        """Release a run's reservation."""
        if self.runs.pop(run.key, None) is None:
            return
        task = run.task
        task.reserved_runs = tuple(
            other for other in task.reserved_runs if other is not run
        )
        spec, step = task.spec, task.step_key
        self.reserved = self.reserved.minus(spec.reserved)
        remaining = self.step_runs.pop(step) - 1
        if remaining:
            self.step_runs[step] = remaining
        cpu_millis = spec.size.cpu_millis
        if run.last_resort:
            self.last_resort_runs -= 1
        elif spec.fills:
            self.best_effort_cpu -= cpu_millis
            self.best_effort_images[spec.image] -= cpu_millis
            self.best_effort_runs[spec.image] -= 1
            if not self.best_effort_runs[spec.image]:
                del self.best_effort_images[spec.image]
                del self.best_effort_runs[spec.image]
        if spec.target_ms:
            self.serving_runs -= 1
            self.serving_cpu -= cpu_millis
            if not remaining:
                del self.serving_steps[step]

    def free_capacity(self) -> Resources:
        """Return the capacity that is not reserved."""
        return self.listing.capacity.minus(self.reserved)

    def best_effort_mix(self) -> dict[str, float]:
        """Return the share of processors by best-effort image, as if not throttled."""
        capacity = max(self.listing.capacity.cpu_millis, 1)
        return {
            image: cpu_millis / capacity
            for image, cpu_millis in self.best_effort_images.items()
        }

    # --- clock and lease --------------------------------------------------------------

    def update_clock(self, clock_ms: int, policy: JobPolicy, now_ms: int) -> None:
        """Record the worker's clock from its answer to a poll.

        A lease that ends too late by the worker's clock is shortened to its limit, so
        that bounds what calls of earlier owners, or calls that were sent to an earlier
        incarnation, have granted until then.
        """
        if not self.fenced or self.clock_at_ms <= self.misdirected_until_ms:
            self.lease_end_ms = max(self.lease_end_ms, clock_ms + policy.lease_limit_ms)
        self.fenced = True
        self.clock_ms = clock_ms
        self.clock_at_ms = now_ms
        self.answered_ms = now_ms
        self.missed_polls = 0

    def clock_now_ms(self, now_ms: int) -> int:
        """Return what the worker's clock shows now, by its last answer to a poll."""
        return self.clock_ms + (now_ms - self.clock_at_ms)

    def new_lease_end(self, policy: JobPolicy, now_ms: int) -> int:
        """Return and record the end, on the worker's clock, of a lease granted now.

        It may be before that of another lease, which the worker then keeps.
        """
        end_ms = self.clock_now_ms(now_ms) + policy.lease_ms
        self.lease_end_ms = max(self.lease_end_ms, end_ms)
        return end_ms

    def note_start_clock(
        self, clock_ms: int | None, sent_ms: int, policy: JobPolicy, now_ms: int
    ) -> bool:
        """Return whether the known incarnation may have answered a start.

        If it may, its leases cover the run. Otherwise another one has granted a lease
        of up to the workers' limit, by a clock of its own, and prolonged all others.

        :param clock_ms: the worker's clock in the answer; None without one.
        """
        if clock_ms is not None:
            # How much longer leases last by this answer than by that to the last poll.
            longer_ms = now_ms - self.clock_at_ms
            longer_ms += policy.max_duration_ms(self.clock_ms - clock_ms)
            longer_ms -= policy.max_duration_ms(0)
            if longer_ms <= now_ms - sent_ms + policy.lease_margin_ms:
                if longer_ms > self.answer_delay_ms:
                    self.answer_delay_ms, self.answer_delayed_ms = longer_ms, now_ms
                return True
        self.late_renewals_until_ms = max(self.late_renewals_until_ms, now_ms)
        return False

    def lease_remaining_ms(self, policy: JobPolicy, now_ms: int) -> int:
        """Return how long a run may go on at most if its lease isn't renewed."""
        if not self.fenced:
            end_ms = self.inherited_leases_until_ms
            if self.misdirected_until_ms:
                limit_ms = policy.max_duration_ms(policy.lease_limit_ms)
                end_ms = max(end_ms, self.misdirected_until_ms + limit_ms)
            return max(end_ms - now_ms, 0)
        end_ms = self.clock_at_ms + policy.max_duration_ms(
            self.lease_end_ms - self.clock_ms
        )
        end_ms += self.answer_delay_ms
        if self.misdirected_until_ms > self.clock_at_ms:
            # Several such calls may prolong the leases, each before their end.
            limit_ms = policy.max_duration_ms(policy.lease_limit_ms)
            end_ms = max(end_ms, self.misdirected_until_ms + limit_ms)
        return max(end_ms - now_ms, 0)

    def lease_expired(self, policy: JobPolicy, now_ms: int) -> bool:
        """Return whether all runs at the worker have certainly been killed."""
        return not self.lease_remaining_ms(policy, now_ms)

    def restarted_run_ms(self, run: Run, policy: JobPolicy, now_ms: int) -> int:
        """Return how long a run at a silent worker may go on if that has restarted.

        The next incarnation may have answered the run's start, or may carry out one
        that got no answer, and later calls for the earlier one that renew its lease.
        """
        until_ms = 0
        if run.phase in (RunPhase.SENT, RunPhase.AMBIGUOUS):
            until_ms = run.sent_ms + policy.max_call_delay_ms
        may_be_up = self.may_be_up(policy, now_ms)
        if may_be_up:
            until_ms = max(until_ms, self.unanswered_starts.get(run.key, 0))
        if until_ms <= self.polled_ms:
            until_ms = 0
        until_ms = max(until_ms, run.answered_elsewhere_ms)
        if not until_ms:
            return 0
        # Without an entry no incarnation is up, unless one has just answered.
        if may_be_up or run.answered_elsewhere_ms:
            until_ms = max(until_ms, self.late_calls_until_ms(policy))
            until_ms += policy.max_duration_ms(policy.lease_limit_ms)
        return max(until_ms - now_ms, 0)

    def may_be_up(self, policy: JobPolicy, now_ms: int) -> bool:
        """Return whether the worker has an entry, or may get it back.

        An entry that expired while the store was down is back soon if the worker is up.
        """
        return self.listed or now_ms < self.unlisted_ms + policy.entry_return_ms

    def late_calls_until_ms(self, policy: JobPolicy) -> int:
        """Return until when calls without an answer may grant leases at the worker."""
        sent_ms = [
            run.sent_ms
            for run in self.runs.values()
            if run.phase in (RunPhase.SENT, RunPhase.AMBIGUOUS)
        ]
        if self.poll_renews:
            sent_ms.append(self.poll_sent_ms)
        return max(
            chain(
                (self.late_renewals_until_ms,),
                (call_ms + policy.max_call_delay_ms for call_ms in sent_ms),
                self.unanswered_starts.values(),
            )
        )

    def is_unresponsive(self, policy: JobPolicy, now_ms: int) -> bool:
        """Return whether the worker has not answered for ``unresponsive_ms``.

        Its last poll must have failed, or it must be without a listing to poll it at.
        """
        return (
            self.missed_polls > 0 or self.listing is None
        ) and now_ms - self.answered_ms > policy.unresponsive_ms

    def begin_incarnation(self, incarnation: int) -> None:
        """Reset what applied to the worker's earlier incarnation only."""
        self.incarnation = incarnation
        self.stored_end = 0
        self.applied_end = 0
        self.lease_end_ms = 0
        self.failures = 0
        self.orphan_stops.clear()

    def note_misdirected_calls(self, policy: JobPolicy) -> None:
        """Note until when calls to the last incarnation may still be carried out."""
        self.misdirected_until_ms = max(
            self.misdirected_until_ms,
            self.clock_at_ms,
            self.late_calls_until_ms(policy),
        )

    def add_unanswered_start(
        self, key: tuple[str, int], until_ms: int, policy: JobPolicy, now_ms: int
    ) -> None:
        """Record a start without an answer, which may be carried out until a time.

        It is kept while the lease may last that it has granted then.
        """
        oldest_ms = now_ms - policy.max_duration_ms(policy.lease_limit_ms)
        self.unanswered_starts = {
            item: end for item, end in self.unanswered_starts.items() if end > oldest_ms
        }
        self.unanswered_starts[key] = max(
            self.unanswered_starts.get(key, until_ms), until_ms
        )

    @property
    def is_reachable(self) -> bool:
        """Return whether the worker is listed, not draining, and answers this epoch."""
        return (
            self.listed
            and not self.listing.draining
            and self.fenced
            and self.incarnation >= self.listing.incarnation
            and not self.missed_polls
        )

    def is_usable(self, now_ms: int) -> bool:
        """Return whether new runs may be placed at the worker."""
        return self.is_reachable and now_ms >= self.paused_until_ms
