"""Tests of the client for endpoints with addresses that others spoiled."""

import time
import types
import unittest

from poplarlb.protocol import api
from poplarlb.transport.endpoints import (
    EndpointClient,
    OutgoingRequest,
    RequestNotSentError,
)

ODD_ADDRESSES = (
    "",
    "127.0.0.1",
    "127.0.0.1:x",
    "127.0.0.1:-1",
    "127.0.0.1:99999",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1:1_0",
    "127.0.0.1:80\r\nX: y",
    "a b:80",
    "\ud800:80",
    "x" * 300 + ":80",
    "a..b:80",
    "[::1:80",
)


class EndpointClientTest(unittest.TestCase):
    """Requests that can't be sent."""

    def test_odd_address_counts_as_not_sent(self) -> None:
        """Guards against an address that fails a request instead of its attempt."""
        body = types.SimpleNamespace(content=b"", length=0)
        client = EndpointClient()
        for address in ODD_ADDRESSES:
            for fresh in (True, False):
                deadline_ms = int(time.time() * 1000) + 5_000
                request = OutgoingRequest("GET", "/x", (), body, deadline_ms)
                grant = api.Grant("r1", "kochi/0", 1, "w1", address, deadline_ms)
                shown = ascii(address)[:40]
                with self.subTest(shown, fresh=fresh):
                    with self.assertRaises(RequestNotSentError) as caught:
                        client.send(grant, request, 100, fresh)
                    self.assertLess(len(str(caught.exception)), 500)
        self.assertEqual(client.pools, {})


if __name__ == "__main__":
    unittest.main()
