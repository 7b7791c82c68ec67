"""What the owner knows of each worker: its runs, room, clock and lease."""

import enum
import math

from attrs import Factory, define

from poplarlb.coordination.jobs.events import WorkerListing
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.state.jobs import Task
from poplarlb.state.models import Resources


class RunPhase(enum.Enum):
    """What is known of a run."""

    COMMITTING = "committing"  # its record is on its way to the store
    SENT = "sent"  # the start has no answer yet
    RUNNING = "running"  # the worker confirmed it
    UNSETTLED = "unsettled"  # the start got no answer; it may be carried out yet
    INHERITED = "inherited"  # an earlier owner placed it


@define(eq=False, slots=True)
class Run:
    """One run of a task at a worker; it holds room until its end is certain."""

    task: Task
    number: int
    worker_id: str
    phase: RunPhase
    placed_ms: int
    sent_ms: int = 0
    sendings: int = 0
    resumed: bool = False  # it began from a checkpoint
    ticket: str = ""  # of the advice service, where the queue needs one
    confirmed_ms: int = 0  # when the worker's answer to the start came
    stopping: str = ""  # why it is to be stopped
    stop_sent_ms: int = 0
    stop_confirmed_ms: int = 0
    percent: int = 0
    figure: float = 0.0
    paced_ms: int = 0  # since when it has been paced to a crawl
    learned_ms: int = 0
    over_ms: int = 0  # since when a serving task's tail has been over its target
    progress_ms: int = 0  # when the percent last changed
    pace: int = 100
    pace_sent: int = 100
    wanted_pace: int = 100

    @property
    def key(self) -> tuple[str, int]:
        """Return the name and number that the worker knows it by."""
        return self.task.name, self.number

    @property
    def current(self) -> bool:
        """Tell whether the task's record names this run."""
        task = self.task
        return task.run == self.number and task.worker_id == self.worker_id


@define(eq=False, slots=True)
class WorkerState:
    """One worker id through all its lives."""

    worker_id: str
    unknown_until_ms: int = 0  # earlier owners' leases are over by then
    listing: WorkerListing | None = None  # the last one, also after it is gone
    listed: bool = False
    life: int = 0
    fenced: bool = False  # it has answered a look of this epoch
    clock_ms: int = 0
    clock_at_ms: int = 0
    lease_end_ms: int = 0  # on the worker's clock
    answered_ms: int = 0
    missed: int = 0  # looks in a row that got no answer
    look_sent_ms: int = 0  # 0: no look is out
    next_look_ms: int = 0
    seen: int = 0  # ends up to this number are in the store
    heard: int = 0  # ends up to this number have been taken in
    runs: dict[tuple[str, int], Run] = Factory(dict)
    reserved: Resources = Resources()
    paced_ms: int = 0  # when the paces of its filling runs were last set
    filling_cpu: int = 0  # what filling tasks would use at full speed
    serving: int = 0  # runs that have a target
    serving_cpu: int = 0  # what they have reserved
    left: list[tuple[str, float, int]] = Factory(list)  # image, processors, when ended
    paused_until_ms: int = 0
    failures: int = 0  # failed ends in a row
    stray_stops: dict[tuple[str, int], int] = Factory(dict)
    loose: dict[tuple[str, int], int] = Factory(dict)  # late until: unanswered starts

    # --- room -------------------------------------------------------------------------

    def add(self, run: Run) -> None:
        """Reserve room for a run."""
        self.runs[run.key] = run
        run.task.held += 1
        spec = run.task.spec
        self.reserved = self.reserved.plus(spec.reserved)
        self.filling_cpu += spec.size.cpu_millis if spec.fills else 0
        self.serving += bool(spec.target_ms)
        self.serving_cpu += spec.size.cpu_millis if spec.target_ms else 0

    def remove(self, run: Run) -> None:
        """Free a run's room."""
        if self.runs.pop(run.key, None) is None:
            return
        run.task.held -= 1
        spec = run.task.spec
        self.reserved = self.reserved.minus(spec.reserved)
        self.filling_cpu -= spec.size.cpu_millis if spec.fills else 0
        self.serving -= bool(spec.target_ms)
        self.serving_cpu -= spec.size.cpu_millis if spec.target_ms else 0

    def free(self) -> Resources:
        """Return the room that nothing holds."""
        return self.listing.capacity.minus(self.reserved)

    def serving_images(self) -> set[str]:
        """Return the images of the serving tasks that are here."""
        if not self.serving:
            return set()
        specs = (run.task.spec for run in self.runs.values())
        return {spec.image for spec in specs if spec.target_ms}

    def serving_steps(self) -> dict[tuple[str, int, int], str]:
        """Return the image of each step that has serving tasks here."""
        if not self.serving:
            return {}
        tasks = (run.task for run in self.runs.values())
        return {task.step_key: task.spec.image for task in tasks if task.spec.target_ms}

    def filling_mix(self) -> dict[str, float]:
        """Return the share of the processors of each filling image at full pace."""
        mix: dict[str, float] = {}
        if not self.filling_cpu:
            return mix
        capacity = max(self.listing.capacity.cpu_millis, 1)
        for run in self.runs.values():
            spec = run.task.spec
            if spec.fills:
                share = spec.size.cpu_millis / capacity
                mix[spec.image] = mix.get(spec.image, 0.0) + share
        return mix

    # --- clock and lease --------------------------------------------------------------

    def hear_clock(self, clock_ms: int, now_ms: int) -> None:
        """Take the worker's clock from an answer."""
        self.clock_ms = clock_ms
        self.clock_at_ms = now_ms
        self.answered_ms = now_ms
        self.missed = 0

    def new_lease_end(self, policy: JobPolicy, now_ms: int) -> int:
        """Return the end of a lease that begins now, and remember it."""
        end_ms = self.clock_ms + (now_ms - self.clock_at_ms) + policy.lease_ms
        self.lease_end_ms = max(self.lease_end_ms, end_ms)
        return self.lease_end_ms

    def lease_rest_ms(self, policy: JobPolicy, now_ms: int) -> int:
        """Return for how long something may still run here without a renewal."""
        if not self.fenced:
            return max(self.unknown_until_ms - now_ms, 0)
        lease_ms = self.lease_end_ms + policy.lease_margin_ms - self.clock_ms
        longest_ms = math.ceil(lease_ms / (1 - policy.clock_slack))
        return max(self.clock_at_ms + longest_ms - now_ms, 0)

    def lease_is_over(self, policy: JobPolicy, now_ms: int) -> bool:
        """Tell whether everything on the worker has certainly been killed."""
        return not self.lease_rest_ms(policy, now_ms)

    def is_silent(self, policy: JobPolicy, now_ms: int) -> bool:
        """Tell whether the worker has not answered for long, or can't be asked."""
        return (
            self.missed > 0 or self.listing is None
        ) and now_ms - self.answered_ms > policy.silent_ms

    def begin_life(self, life: int) -> None:
        """Forget what only held in the worker's earlier life."""
        self.life = life
        self.seen = 0
        self.heard = 0
        self.lease_end_ms = 0
        self.failures = 0
        self.stray_stops.clear()

    def note_loose(self, key: tuple[str, int], until_ms: int, now_ms: int) -> None:
        """Remember a start without an answer, which may be carried out until then."""
        self.loose = {item: end for item, end in self.loose.items() if end > now_ms}
        self.loose[key] = until_ms

    @property
    def is_reachable(self) -> bool:
        """Tell whether the worker stays and answers this epoch."""
        return (
            self.listed
            and not self.listing.draining
            and self.fenced
            and self.life >= self.listing.life
            and not self.missed
        )

    def is_usable(self, now_ms: int) -> bool:
        """Tell whether new runs may be placed here."""
        return self.is_reachable and now_ms >= self.paused_until_ms
