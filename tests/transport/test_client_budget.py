"""Tests of the limits on all clients of a process together."""

import unittest

from attrs import Factory, define

from poplarlb.transport.client_budget import ClientBudget, ClientHolding, ClientLimits


@define(eq=False)
class Shedding:
    """A budget whose clients record that they were shed."""

    budget: ClientBudget
    shed: list[str] = Factory(list)
    reports: list[tuple[str, int]] = Factory(list)

    def add(
        self, name: str, since_s: float, droppable: int, handled: int = 0
    ) -> ClientHolding:
        """Add a client; it is removed when it is shed."""
        holding = ClientHolding(lambda: self._drop(name, holding), since_s)
        self.budget.on_shed = lambda limit, shed: self.reports.append(
            (limit, len(shed))
        )
        self.budget.add(holding, since_s)
        self.budget.resize(holding, droppable, handled)
        return holding

    def _drop(self, name: str, holding: ClientHolding) -> None:
        self.shed.append(name)
        self.budget.remove(holding)


def shedding(**limits: int) -> Shedding:
    """Return a budget with some limits, and room for the rest."""
    return Shedding(ClientBudget(ClientLimits(**limits)))


class ClientBudgetTest(unittest.TestCase):
    """Which holdings are shed, and when."""

    def test_nothing_is_shed_within_the_limits(self) -> None:
        """Exactly as much as the limits allow."""
        clients = shedding(memory_bytes=100, connections=2)
        clients.add("a", 0, 50)
        clients.add("b", 0, 50)
        clients.budget.enforce(10)
        self.assertEqual((clients.shed, clients.reports), ([], []))

    def test_old_and_large_holdings_go_first(self) -> None:
        """A large request that has just begun outlasts a smaller one that stalls."""
        clients = shedding(memory_bytes=100)
        clients.add("new", 9.9, 60)
        clients.add("stalled", 0, 40)
        clients.add("small", 0, 1)
        clients.budget.enforce(10)
        self.assertEqual(clients.shed, ["stalled"])
        self.assertEqual(clients.reports, [("memory_bytes", 1)])

    def test_a_tenth_is_freed_at_once(self) -> None:
        """Not one holding for each byte over the limit."""
        clients = shedding(memory_bytes=80)
        for number in range(9):
            clients.add(str(number), number, 9)
        clients.budget.enforce(10)
        self.assertEqual(clients.shed, ["0", "1"])
        self.assertEqual(clients.budget.used_bytes, 63)

    def test_requests_in_progress_stay(self) -> None:
        """They may have had an effect, and closing frees nothing of theirs."""
        clients = shedding(memory_bytes=100, connections=1)
        clients.add("handled", 0, 0, 500)
        clients.add("other", 5, 1)
        clients.budget.enforce(10)
        self.assertEqual(clients.shed, ["other"])
        self.assertEqual(clients.budget.find_exceeded(), "memory_bytes")

    def test_too_many_connections(self) -> None:
        """The one that has been idle longest makes room, and the newest stays."""
        clients = shedding(connections=3)
        for number in range(4):
            clients.add(str(number), number, 10)
        clients.budget.enforce(10)
        self.assertEqual(clients.shed, ["0", "1"])
        self.assertEqual(clients.reports, [("connections", 2)])

    def test_requests_at_once(self) -> None:
        """No further request is handled beyond the limit."""
        clients = shedding(requests=2)
        clients.budget.handled = 2
        self.assertEqual(clients.budget.find_exceeded(), "requests")
        clients.budget.handled = 1
        self.assertEqual(clients.budget.find_exceeded(), "")

    def test_machines(self) -> None:
        """The sums fit a machine's memory and descriptors, also the smallest."""
        for memory_mb, descriptors in ((160, 4_096), (552, 8_192), (80, 400), (10, 0)):
            limits = ClientLimits.for_machine(memory_mb, descriptors)
            self.assertLessEqual(limits.memory_bytes, memory_mb * 250_000)
            self.assertGreaterEqual(limits.connections, 1)
            if descriptors > 200:
                sockets = limits.connections + limits.requests + limits.accepts
                self.assertLessEqual(sockets, 0.9 * (descriptors - 200))
        self.assertEqual(ClientLimits.for_machine(160, 4_096), ClientLimits())


if __name__ == "__main__":
    unittest.main()
