"""Admission never exceeds a worker's slots; refusals name a retry delay."""

import collections
import random
import unittest

from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.requests.admission import Admission, Endpoint
from poplarlb.coordination.requests.grants import MAX_GRANT_MS, GrantRegistry
from poplarlb.coordination.requests.health import EJECTION_MS
from poplarlb.coordination.requests.service_queue import ServiceQueue
from poplarlb.protocol import api, messages, ports
from poplarlb.settings import Settings
from poplarlb.state.models import Reason, Resources, WorkClass, Worker
from poplarlb.state.templates import ConfigView, ServiceTemplate, TeamTemplate
from tests.coordination.requests.key_world import without
from tests.harness.fuzzing import count_failing_walks

SHARD = "kochi/0"
GATEWAYS = ("d0", "d1", "d2")


def make_endpoints(count: int, services: tuple[str, ...] = ("orders",)):
    """Return endpoints of some services on the same workers."""
    size = Resources(16_000, 60_000)
    workers = [
        Worker(f"w{number}", "kochi", "r0", f"127.0.0.1:{number}", size)
        for number in range(count)
    ]
    return [Endpoint("dairy", name, worker) for worker in workers for name in services]


def make_context(queue_limit: int = 4) -> NodeContext:
    """Return a context with one team and two services."""
    context = NodeContext(Settings("d0", "kochi"))
    services = tuple(
        ServiceTemplate(name, 1, Resources(1, 1), queue_limit=queue_limit)
        for name in ("orders", "stock")
    )
    team = TeamTemplate("dairy", ("kochi",), Resources(1, 1), services=services)
    context.view = ConfigView(1, (team,))
    return context


class Gateways:
    """Simulated gateways and workers of one owner, with an exact count of slots.

    ``using`` holds the grants in use by request id, ``busy`` the requests at each
    worker, and ``network`` the owner's answers that were not delivered yet.
    """

    def __init__(self, seed: int, workers: int = 2, queue_limit: int = 4) -> None:
        """Start with the first owner, which has no takeover to wait for."""
        self.rng = random.Random(seed)
        self.context = make_context(queue_limit)
        self.now_ms = 10_000_000
        self.epoch = 1
        self.endpoints = make_endpoints(workers, ("orders", "stock"))
        self.admission = self.make_owner()
        self.registries = {name: GrantRegistry(name, 0) for name in GATEWAYS}
        self.using: dict[str, api.Grant] = {}
        self.busy: collections.Counter[str] = collections.Counter()
        self.asked: dict[int, api.AdmitRequest] = {}
        self.answers: dict[str, api.ApiResult] = {}
        self.network: list[tuple[int, api.ApiResult]] = []
        self.number = 0

    def make_owner(self) -> Admission:
        """Return the admission of an owner with the current epoch."""
        admission = Admission(self.context, SHARD, self.epoch, members=3)
        admission.set_endpoints(self.endpoints, self.now_ms)
        return admission

    def ask(self, gateway: str, service: str, timeout_ms: int, **named) -> str:
        """Send a request for a slot through a gateway."""
        self.number += 1
        name = f"{gateway}-{self.number}"
        deadline_ms = self.now_ms + timeout_ms
        body = api.AdmitRequest(
            name, "dairy", service, deadline_ms, gateway=gateway, **named
        )
        self.asked[self.number] = body
        self.run(ports.ApiRequested(self.number, body))
        return name

    def run(self, event: ports.Event) -> None:
        """Pass an event to the owner and put its answers on the network."""
        for command in self.admission.handle(event, self.now_ms):
            if command.call_id in self.asked:
                self.network.append((command.call_id, command.result))

    def deliver(self, index: int) -> None:
        """Deliver one answer to its gateway, which uses the grant unless it is late."""
        if not self.network:
            return
        call_id, result = self.network.pop(index % len(self.network))
        body = self.asked[call_id]
        result = self.registries[body.gateway].accept(("dairy", body.service), result)
        self.answers[body.request_id] = result
        if isinstance(result, api.Grant):
            if self.now_ms < min(result.use_before_ms, body.deadline_ms):
                self.begin(result)
            else:
                self.finish(result, "unused")

    def begin(self, grant: api.Grant) -> None:
        """Use a slot; check the worker's limit."""
        self.using[grant.request_id] = grant
        self.busy[grant.worker_id] += 1
        assert self.busy[grant.worker_id] <= 8, f"{grant.worker_id} has over 8"

    def finish(self, grant: api.Grant, result: str = "ok") -> None:
        """Release a slot."""
        if self.using.pop(grant.request_id, None):
            self.busy[grant.worker_id] -= 1
        gateway = grant.request_id.partition("-")[0]
        self.registries[gateway].finish(grant.request_id)
        body = api.FinishRequest(grant.request_id, SHARD, grant.worker_id, 20, result)
        self.run(ports.ApiRequested(-1, body))

    def pass_time(self, elapsed_ms: int) -> None:
        """Advance the clock; gateways abandon requests at their deadlines."""
        self.now_ms += elapsed_ms
        late = [g for g in self.using.values() if self.now_ms >= g.deadline_ms]
        for grant in late:
            self.using.pop(grant.request_id)
            self.busy[grant.worker_id] -= 1
            if self.rng.random() < 0.5:
                self.using[grant.request_id] = grant
                self.busy[grant.worker_id] += 1
                self.finish(grant, "unknown")
        self.run(ports.Tick())

    def move(self, alive: bool) -> None:
        """Move the shard to a new owner; the old owner may be dead."""
        old = self.admission
        self.epoch += 1
        self.admission = self.make_owner()
        self.admission.begin_takeover(GATEWAYS, {}, self.now_ms)
        self.admission.takeover.previous_owner = "d0"
        if alive and not old.takeover.unreported:
            report = messages.GrantsReported(
                SHARD, self.epoch, 0, old.slots.outstanding(), whole=True
            )
            self.run(ports.PeerReceived("d0", report))

    def report(self, gateway: str) -> None:
        """Let a gateway report the slots that it uses to the owner."""
        wanted = messages.GrantsWanted(SHARD, self.epoch)
        report = self.registries[gateway].report(wanted)
        self.run(ports.PeerReceived(gateway, report))


def run_random(seed: int, steps: int = 250) -> Gateways:
    """Run a random sequence of requests, lost answers and takeovers."""
    world = Gateways(seed)
    rng = world.rng
    for _ in range(steps):
        gateway = rng.choice(GATEWAYS)
        match rng.choices(range(6), (40, 40, 25, 6, 2, 4))[0]:
            case 0:
                service = rng.choice(("orders", "stock"))
                world.ask(gateway, service, rng.choice((100, 2_000, 20_000)))
            case 1:
                world.deliver(rng.randrange(20))
            case 2:
                if world.using:
                    name = rng.choice(sorted(world.using))
                    result = rng.choice(("ok", "ok", "ok", "failed", "unknown"))
                    world.finish(world.using[name], result)
            case 3:
                world.pass_time(rng.choice((10, 50, 500, 5_000)))
            case 4:
                world.move(rng.random() < 0.5)
            case 5:
                world.report(gateway)
    return world


def raise_limit(original):
    """Return ``update`` with each worker's slot limit too high by one."""

    def update(self, wanted):
        original(self, wanted)
        for item in self.listed:
            item.limit += 1

    return update


def assume_all_free(self, members, restarted, now_ms):
    """Assume at a takeover that all slots are free."""
    self.takeover.unreported = {}


def accept_any_grant(self, service, result):
    """Accept grants of deposed owners too."""
    if isinstance(result, api.Grant):
        self.grants[result.request_id] = result
    return result


def release_all_slots(self, now_ms):
    """Release all slots, also those that gateways still use."""
    for slot in list(self.slots.granted.values()):
        self.slots.release(slot)
    return []


INJECTED_FAULTS = {
    "one slot too many": (
        ServiceQueue,
        "update",
        raise_limit(ServiceQueue.update),
    ),
    "takeover assumes that all slots are free": (
        Admission,
        "begin_takeover",
        assume_all_free,
    ),
    "slots released on a tick": (Admission, "_tick", release_all_slots),
}


def delay_old_grants() -> None:
    """Deliver an old owner's grants after the takeover has completed."""
    world = Gateways(1)
    for number in range(16):
        world.ask(GATEWAYS[number % 3], "orders", 20_000)
    world.move(alive=False)
    for gateway in GATEWAYS:
        world.report(gateway)
    for number in range(16):
        world.ask(GATEWAYS[number % 3], "orders", 20_000)
    while world.network:
        world.deliver(0)


class AdmissionTest(unittest.TestCase):
    """Slot limits, the queue, ejection, endpoints that leave, and takeover."""

    def test_never_over_admits(self) -> None:
        """No worker ever has more requests than slots."""
        self.assertEqual(count_failing_walks(run_random, 150), 0)

    def test_injected_faults(self) -> None:
        """Each injected fault exceeds the slots in some random run."""
        for name, (target, method, fault) in INJECTED_FAULTS.items():
            with self.subTest(name):
                mutated = without(target, method, fault)(count_failing_walks)
                self.assertGreater(mutated(run_random, 60), 0)

    def test_old_grants_are_refused(self) -> None:
        """A gateway that has reported accepts no grant of the previous owner."""
        delay_old_grants()
        with self.assertRaises(AssertionError):
            without(GrantRegistry, "accept", accept_any_grant)(delay_old_grants)()

    def fill(self, world: Gateways, service: str = "orders") -> None:
        """Use every slot of every worker."""
        for number in range(8 * len(world.endpoints) // 2):
            world.ask(GATEWAYS[number % 3], service, 20_000)
        while world.network:
            world.deliver(0)
        self.assertEqual(sum(world.busy.values()), 16)

    def test_queue_by_deadline_then_class(self) -> None:
        """The earliest deadline is served first; on a tie the higher class."""
        world = Gateways(1)
        self.fill(world)
        late = world.ask("d0", "orders", 9_000)
        patient = world.ask("d0", "orders", 5_000, work_class=WorkClass.PATIENT)
        first = world.ask("d0", "stock", 5_000)
        for wanted in (first, patient, late):
            grant = next(iter(world.using.values()))
            world.finish(grant)
            world.deliver(0)
            self.assertIsInstance(world.answers.get(wanted), api.Grant)

    def test_refused_immediately(self) -> None:
        """A request that can't be served in time is refused at once, with a delay."""
        world = Gateways(1)
        self.fill(world)
        late = world.ask("d0", "orders", 1)
        names = [world.ask("d0", "orders", 9_000 + n * 100) for n in range(6)]
        while world.network:
            world.deliver(0)
        self.assertEqual(world.answers[late].reason, Reason.DEADLINE)
        refused = [name for name in names if name in world.answers]
        self.assertEqual(refused, names[4:])
        for name in refused:
            fault = world.answers[name]
            self.assertEqual((fault.code, fault.reason), ("not_run", "queue_full"))
            self.assertGreater(fault.retry_after_ms, 0)
        world.pass_time(8_990)
        while world.network:
            world.deliver(0)
        self.assertEqual(world.answers[names[0]].reason, Reason.DEADLINE)
        body = api.Explain(f"request/{names[0]}", SHARD)
        answer = world.admission.handle(ports.ApiRequested(1, body), world.now_ms)
        self.assertEqual(answer[0].result.decisions[0].reason, Reason.DEADLINE)

    def test_failing_endpoint_is_ejected_and_probed(self) -> None:
        """Failures eject at most half of the endpoints; a probe restores one."""
        world = Gateways(1, workers=4)
        serving = world.admission.services[("dairy", "orders")].endpoints
        for _ in range(100):
            name = world.ask("d0", "orders", 5_000)
            world.deliver(0)
            grant = world.answers[name]
            fails = grant.worker_id in ("w0", "w1", "w2")
            world.finish(grant, "failed" if fails else "ok")
        ejected = sorted(n for n, item in serving.items() if item.health.ejected)
        self.assertEqual(len(ejected), 2)
        world.pass_time(EJECTION_MS)
        probes = []
        for _ in range(3):
            name = world.ask("d0", "orders", 5_000)
            world.deliver(0)
            probes.append(world.answers[name])
        probed = [grant.worker_id for grant in probes]
        self.assertEqual(sorted(probed[:2]), ejected)
        self.assertNotIn(probed[2], ejected)
        world.finish(probes[0])
        self.assertFalse(serving[probed[0]].health.ejected)
        self.assertTrue(serving[probed[1]].health.ejected)

    def test_unlisted_endpoint_gets_nothing_new(self) -> None:
        """An unlisted endpoint gets no grant; its slots in use stay counted."""
        world = Gateways(1)
        self.fill(world)
        remaining = [e for e in world.endpoints if e.worker.worker_id != "w0"]
        world.admission.set_endpoints(remaining, world.now_ms)
        name = world.ask("d0", "orders", 9_000)
        old = next(g for g in world.using.values() if g.worker_id == "w0")
        world.finish(old)
        self.assertNotIn(name, world.answers)
        world.admission.set_endpoints(world.endpoints, world.now_ms)
        self.assertEqual(world.admission.slots.in_use["w0"], 7)

    def test_new_owner_waits_for_reports(self) -> None:
        """Slots stay reserved for an unresponsive member until its grants expire."""
        world = Gateways(1)
        self.fill(world)
        world.move(alive=False)
        for gateway in GATEWAYS[1:]:
            world.report(gateway)
        lost = world.ask("d1", "orders", 20_000)
        self.assertFalse(world.network)
        world.pass_time(MAX_GRANT_MS + 2_000)
        self.assertNotIn(lost, world.using)
        again = world.ask("d1", "orders", 5_000)
        while world.network:
            world.deliver(0)
        self.assertIsInstance(world.answers[again], api.Grant)

    def test_fallback_shares_sum_to_all_slots(self) -> None:
        """Without owner and store, the members' shares add up to all slots."""
        grant = api.Grant("r", SHARD, 1, "w0", "127.0.0.1:1", 0, 0)
        granted = 0
        for name in GATEWAYS:
            registry = GrantRegistry(name, 0)
            registry.accept(("dairy", "orders"), grant)
            registry.finish("r")
            for number in range(20):
                body = api.AdmitRequest(f"{name}-{number}", "dairy", "orders", 100)
                result = registry.admit_from_share(body, list(GATEWAYS), 0)
                granted += isinstance(result, api.Grant)
        self.assertEqual(granted, 8)
