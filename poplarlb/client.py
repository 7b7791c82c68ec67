"""A client of the daemons' HTTP API that tries one daemon after another."""

import http
import json
import os
import random
import time
import urllib.parse

import urllib3
from attrs import Factory, define, frozen

from poplarlb import exceptions
from poplarlb.exceptions import (
    BadRequestError,
    NotRunError,
    OutcomeUnknownError,
    PoplarlbError,
)

DAEMONS_VARIABLE = "POPLARLB_DAEMONS"
SECRET_VARIABLE = "POPLARLB_OPERATOR_SECRET"
AUTHORITY_VARIABLE = "POPLARLB_TLS_AUTHORITY"
ATTEMPT_HEADER = "Poplarlb-Attempt"
CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 35.0
MAX_ROUNDS = 8  # each round tries every daemon once
ROUND_PAUSE_S = 0.5  # plus up to as much at random
# Error codes of calls that were certainly not run, and of those that may have run.
NOT_RUN_CODES = frozenset({"not_run", "rate_limited"})
UNKNOWN_CODES = frozenset({"outcome_unknown", "store_unavailable"})

_ERRORS = {
    kind.code: kind
    for kind in vars(exceptions).values()
    if isinstance(kind, type) and issubclass(kind, PoplarlbError)
    if "code" in vars(kind)  # one without its own can't be named by a response
}


@frozen
class Answer:
    """The HTTP response of a daemon, whose address is ``daemon``."""

    status: int
    headers: dict[str, str]
    body: bytes
    daemon: str

    def table(self) -> dict:
        """Return the JSON object in the body; an empty dict if there is none."""
        try:
            value = json.loads(self.body)
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}


@define
class Client:
    """Calls daemons in the order given until one runs or refuses a call.

    :param daemons: addresses as ``host:port`` or ``https://host:port``.
    :param secret: the operators' secret, sent with every call if set.
    :param authority: file with the certificates of a private TLS authority.
    """

    daemons: list[str]
    secret: str = ""
    authority: str = ""
    pool: urllib3.PoolManager = Factory(
        lambda self: urllib3.PoolManager(
            retries=False, ca_certs=self.authority or None
        ),
        takes_self=True,
    )

    @classmethod
    def from_environment(cls, daemons: str = "") -> "Client":
        """Return a client with the secret and TLS authority set in the environment.

        :param daemons: comma-separated addresses; empty for those of the environment.
        """
        listed = daemons or os.environ.get(DAEMONS_VARIABLE, "")
        addresses = [item.strip() for item in listed.split(",") if item.strip()]
        return cls(
            addresses,
            os.environ.get(SECRET_VARIABLE, ""),
            os.environ.get(AUTHORITY_VARIABLE, ""),
        )

    def with_scheme(self, address: str) -> str:
        """Return an address with ``https://`` if a configured address has it."""
        secure = any(item.startswith("https://") for item in self.daemons)
        return f"https://{address}" if secure else address

    def call(
        self, method: str, path: str, table: dict | None = None, repeatable: bool = True
    ) -> dict:
        """Call one daemon after another until one runs or refuses the call.

        Returns the JSON object of the response.

        :param table: the JSON body, if there is one.
        :param repeatable: whether a call with an unknown outcome may be retried;
            true for reads and for changes that carry an id.
        :raises PoplarlbError: if the call was refused, no daemon ran it, or its
            outcome is unknown.
        """
        body = None if table is None else json.dumps(table).encode()
        answer = self.send(method, path, body, {}, repeatable)
        found = answer.table()
        if answer.status >= http.HTTPStatus.BAD_REQUEST:
            raise to_error(answer.status, found)
        return found

    def send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        repeatable: bool,
    ) -> Answer:
        """Return the response, whatever its status.

        A call that was certainly not run is retried at the next address; if it still
        was not run after ``MAX_ROUNDS`` rounds, the last response is returned. A call
        whose outcome is unknown is retried only if it is repeatable; that a later
        attempt was not run doesn't tell what became of it, so that is retried too.
        The attempt header, if given, is incremented
        after each attempt that may have been dispatched.

        :raises BadRequestError: if there is no address.
        :raises NotRunError: if no daemon could be reached in ``MAX_ROUNDS`` rounds.
        :raises OutcomeUnknownError: if a call that is not repeatable may have been
            run but got no response, or if the outcome of a repeatable one is still
            unknown after ``MAX_ROUNDS`` rounds.
        """
        if not self.daemons:
            raise BadRequestError(
                f"no daemon given: set --daemons host:port,... or {DAEMONS_VARIABLE}"
            )
        last: Answer | None = None
        unknown = ""
        ambiguous_attempts = 0
        for attempt in range(MAX_ROUNDS * len(self.daemons)):
            daemon = self.daemons[attempt % len(self.daemons)]
            if attempt and attempt % len(self.daemons) == 0:
                time.sleep(ROUND_PAUSE_S * (1 + random.random()))
            sent_headers = dict(headers)
            if ATTEMPT_HEADER in headers:
                sent_headers[ATTEMPT_HEADER] = str(ambiguous_attempts + 1)
            try:
                last = self.send_once(daemon, method, path, body, sent_headers)
            except NotRunError:
                continue
            except OutcomeUnknownError as error:
                ambiguous_attempts += 1
                unknown = error.detail
                if not repeatable:
                    raise
                continue
            code = last.table().get("code", "")
            if code in UNKNOWN_CODES and repeatable:
                ambiguous_attempts += 1
                unknown = str(last.table().get("detail", ""))
                continue
            if code not in NOT_RUN_CODES:
                return last
        if unknown:
            raise OutcomeUnknownError(unknown)
        if last is not None:
            return last
        raise NotRunError(f"none of {', '.join(self.daemons)} could be reached")

    def send_once(
        self,
        daemon: str,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Return the response of one daemon.

        :raises NotRunError: if no connection could be made.
        :raises OutcomeUnknownError: if the call failed later, or timed out.
        """
        base = daemon if "://" in daemon else f"http://{daemon}"
        sent = dict(headers or {})
        if self.secret:
            sent.setdefault("Authorization", f"Bearer {self.secret}")
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        try:
            answer = self.pool.request(
                method, base + path, body=body, headers=sent, timeout=timeout
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise NotRunError(f"{daemon}: {error}") from error
        except urllib3.exceptions.HTTPError as error:
            raise OutcomeUnknownError(f"{daemon}: {error}") from error
        return Answer(answer.status, dict(answer.headers), answer.data, daemon)


def to_error(status: int, table: dict) -> PoplarlbError:
    """Return the exception for the JSON body of an error response."""
    kind = _ERRORS.get(table.get("code", ""), PoplarlbError)
    parts = [str(table[key]) for key in ("reason", "detail") if table.get(key)]
    return kind(": ".join(parts) or f"status {status}")


def quote(*parts: str) -> str:
    """Return the path below ``/v1`` with the given parts, each percent-encoded."""
    return "/v1/" + "/".join(urllib.parse.quote(str(part), safe="") for part in parts)
