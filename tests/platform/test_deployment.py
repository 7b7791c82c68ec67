"""Tests of the helpers that run daemons and fakes in one process."""

import unittest

from tests.platform.deployment import free_address

ADDRESSES = 500


class FreeAddressTest(unittest.TestCase):
    """Addresses that are handed out before a server listens on them."""

    # Two daemons of a soak got the same port, and the second one couldn't start.
    def test_no_address_is_returned_twice(self) -> None:
        """All addresses differ, although no server listens on them yet."""
        addresses = {free_address() for _ in range(ADDRESSES)}
        self.assertEqual(len(addresses), ADDRESSES)


if __name__ == "__main__":
    unittest.main()
