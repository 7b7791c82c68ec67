"""Starts that got no answer, and are sent again only if they would be sent now."""

import unittest

from attrs import Factory, define

from poplarlb.coordination.jobs import events
from tests.coordination.jobs.job_world import JobWorld, make_job


@define(eq=False)
class SilentStartWorld(JobWorld):
    """A world in which no start reaches its worker; ``sent`` are their times."""

    sent: list[float] = Factory(list)

    def _call(self, command, owner, action, sent_ms: int) -> None:
        if isinstance(command, events.StartRun):
            self.sent.append(self.now_ms)
            self._fail_later(command, owner, sent_ms)
            return
        super()._call(command, owner, action, sent_ms)


class RepeatedStartTest(unittest.TestCase):
    """What forbids a start also forbids to send it again."""

    def count_sends_after(self, change) -> int:
        """Return how often starts are sent after a change that follows the first."""
        world = SilentStartWorld()
        world.new_owner()
        world.add_workers(1)
        world.run(200)
        world.submit(make_job())
        world.run(200)
        self.assertTrue(world.sent)
        change(world)
        changed_ms = world.now_ms
        world.run(4_000)
        return sum(sent_ms > changed_ms for sent_ms in world.sent)

    def test_they_are_repeated_if_nothing_changes(self) -> None:
        """Otherwise the other tests would show nothing."""
        self.assertGreater(self.count_sends_after(lambda world: None), 0)

    # Guards against a repeated start at a worker that has begun to drain.
    def test_worker_drains(self) -> None:
        """No start is sent once the owner knows of it."""

        def drain(world) -> None:
            world.workers["w0"].draining = True
            world.relist("w0")

        self.assertEqual(self.count_sends_after(drain), 0)

    # Guards against a repeated start in a zone that has been taken out.
    def test_zone_is_taken_out(self) -> None:
        """No start is sent once the owner knows of it."""

        def evacuate(world) -> None:
            world.feed(events.ZonesOut(frozenset(["z1"])))

        self.assertEqual(self.count_sends_after(evacuate), 0)

    # Guards against a repeated start by a view that is too old to show either.
    def test_view_grows_old(self) -> None:
        """No start is sent once the view of the store is out of date."""

        def stop_confirming(world) -> None:
            world.views_confirmed = False
            world.run(world.policy.max_view_age_ms)

        self.assertEqual(self.count_sends_after(stop_confirming), 0)


if __name__ == "__main__":
    unittest.main()
