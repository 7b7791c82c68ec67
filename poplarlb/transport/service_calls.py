"""Parses and validates callers' requests to services."""

import hashlib
import re

from attrs import frozen
from cheroot.server import HTTPRequest

from poplarlb.coordination.requests.grants import MAX_GRANT_MS
from poplarlb.exceptions import BadRequestError, NotFoundError
from poplarlb.settings import RequestSettings
from poplarlb.state.models import WorkClass
from poplarlb.state.templates import ServiceTemplate
from poplarlb.transport.bodies import RequestBody
from poplarlb.transport.endpoints import NOT_FORWARDED, forwarded_headers

PREFIX = "/v1/services/"

_METHOD = re.compile(r"[A-Z]{1,20}")
_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
_KEY = re.compile(r"[A-Za-z0-9._:/+=-]{1,128}")
_TARGET = re.compile(r"[!-~]{1,8000}")
_DOTS = re.compile(r"(?:\.|%2e){1,2}", re.IGNORECASE)


@frozen
class ServiceCall:
    """A caller's parsed request to a service.

    ``target`` is the path and query for the endpoint. ``idempotent`` is set by the
    service's template. ``key`` is the idempotency key, or empty; ``first_sending`` is
    true if the caller numbers this sending of the key 1.
    """

    request_id: str
    team: str
    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: RequestBody
    deadline_ms: int
    idempotent: bool
    work_class: WorkClass
    key: str = ""
    first_sending: bool = False


def parse_call(
    request: HTTPRequest,
    target: tuple[str, str, str],
    template: ServiceTemplate,
    settings: RequestSettings,
    request_id: str,
    received_ms: int,
) -> ServiceCall:
    """Return the parsed request.

    :param target: the result of ``parse_target``.
    :raises PoplarlbError: if the request is invalid; the detail names the fault.
    """
    team, service, rest = target
    method = request.method.decode("latin-1")
    if not _METHOD.fullmatch(method) or method in ("CONNECT", "TRACE"):
        raise BadRequestError("the method can't be forwarded")
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in request.inheaders.items()
    }
    forwarded = forwarded_headers(
        ((name.title(), value) for name, value in headers.items()), NOT_FORWARDED
    )
    key = headers.get("idempotency-key", "")
    if "idempotency-key" in headers and not _KEY.fullmatch(key):
        raise BadRequestError(f"Idempotency-Key: allowed: {_KEY.pattern}")
    return ServiceCall(
        request_id,
        team,
        service,
        method,
        f"/service/{team}/{service}/{rest}",
        (*forwarded, ("Poplarlb-Request-Id", request_id)),
        RequestBody.from_request(request, settings.body_limit_bytes),
        received_ms + parse_timeout(headers, settings.default_timeout_ms),
        template.idempotent,
        parse_class(headers),
        key,
        parse_attempt(headers) == 1,
    )


def parse_target(uri: str) -> tuple[str, str, str]:
    """Return the team, the service and the remaining path with the query of a URI.

    :raises NotFoundError: if the URI is not the path of a service.
    :raises BadRequestError: if the URI is too long or has a forbidden character, or
        if its path has a ``.`` or ``..`` part, also percent-encoded, that the
        endpoint could resolve to another path.
    """
    if not _TARGET.fullmatch(uri) or "#" in uri or "\\" in uri:
        raise BadRequestError("the target is too long or contains forbidden characters")
    if not uri.startswith(PREFIX):
        raise NotFoundError(uri.partition("?")[0])
    path, separator, query = uri[len(PREFIX) :].partition("?")
    team, _, remainder = path.partition("/")
    service, _, rest = remainder.partition("/")
    if not _NAME.fullmatch(team) or not _NAME.fullmatch(service):
        raise NotFoundError(f"{PREFIX}TEAM/SERVICE: allowed: {_NAME.pattern}")
    if any(_DOTS.fullmatch(part) for part in (team, service, *rest.split("/"))):
        raise BadRequestError("a path that contains . or .. is not forwarded")
    return team, service, rest + separator + query


def parse_timeout(headers: dict[str, str], default_ms: int) -> int:
    """Return the caller's timeout in milliseconds, or the default without one.

    :raises BadRequestError: if the header is out of range.
    """
    text = headers.get("poplarlb-timeout-ms")
    if text is None:
        return min(default_ms, MAX_GRANT_MS)
    if not re.fullmatch(r"[0-9]{1,6}", text) or not 1 <= int(text) <= MAX_GRANT_MS:
        raise BadRequestError(f"Poplarlb-Timeout-Ms: from 1 to {MAX_GRANT_MS}")
    return int(text)


def parse_class(headers: dict[str, str]) -> WorkClass:
    """Return the work class of the request; latency-critical without one.

    :raises BadRequestError: if the class is unknown.
    """
    text = headers.get("poplarlb-class", WorkClass.LATENCY_CRITICAL.value)
    try:
        return WorkClass(text)
    except ValueError as error:
        allowed = ", ".join(item.value for item in WorkClass)
        raise BadRequestError(f"Poplarlb-Class: allowed: {allowed}") from error


def parse_attempt(headers: dict[str, str]) -> int:
    """Return the caller's attempt number for the key, or 0 if it sent none.

    :raises BadRequestError: if it is not a number of up to four digits.
    """
    text = headers.get("poplarlb-attempt", "0")
    if not re.fullmatch(r"[0-9]{1,4}", text):
        raise BadRequestError("Poplarlb-Attempt: a number from 1 to 9999")
    return int(text)


def digest_of(call: ServiceCall) -> bytes:
    """Return the digest that detects reuse of a key for a different request."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (call.method, call.target):
        digest.update(part.encode() + b"\n")
    digest.update(call.body.content or b"")
    return digest.digest()
