"""The exceptions of poplarlb, each with a stable code and an HTTP status."""


class PoplarlbError(Exception):
    """The root of all errors that poplarlb raises on purpose.

    :param detail: what went wrong, for a person.
    """

    code = "internal"
    http_status = 500

    def __init__(self, detail: str = "") -> None:
        """Keep the detail beside the class's code."""
        super().__init__(detail)
        self.detail = detail


class SettingsError(PoplarlbError):
    """The settings file has faults; ``detail`` lists every one."""

    code = "bad_settings"


class BadRequestError(PoplarlbError):
    """A caller's or operator's input is malformed."""

    code = "bad_request"
    http_status = 400


class TooLargeError(PoplarlbError):
    """A body, header or list is over its limit."""

    code = "too_large"
    http_status = 413


class RequestTimeoutError(PoplarlbError):
    """A caller's request did not come whole in time."""

    code = "request_timeout"
    http_status = 408


class MethodNotAllowedError(PoplarlbError):
    """The path exists, but not for this method."""

    code = "method_not_allowed"
    http_status = 405


class RefusedError(PoplarlbError):
    """A call was refused or failed; carries the whole fault.

    :param fault: what is told to the caller.
    """

    def __init__(self, fault) -> None:
        """Keep the fault."""
        super().__init__(fault.detail)
        self.fault = fault


class UnauthorizedError(PoplarlbError):
    """The shared secret is missing or wrong."""

    code = "unauthorized"
    http_status = 401


class NotFoundError(PoplarlbError):
    """No such job, template, service or worker."""

    code = "not_found"
    http_status = 404


class ConflictError(PoplarlbError):
    """Another change won, or an id is in use for something else."""

    code = "conflict"
    http_status = 409


class RateLimitedError(PoplarlbError):
    """Too many calls; nothing was run, and it may be sent again later."""

    code = "rate_limited"
    http_status = 429


class NotRunError(PoplarlbError):
    """The work was refused and certainly has not run; it may be sent again."""

    code = "not_run"
    http_status = 503


class OutcomeUnknownError(PoplarlbError):
    """The work may or may not have run; it must not be repeated blindly."""

    code = "outcome_unknown"
    http_status = 502


class ProtocolError(PoplarlbError):
    """A message between daemons is malformed, too old or misdirected."""

    code = "bad_message"
    http_status = 400


class StoreUnavailableError(PoplarlbError):
    """The platform's store did not answer; the effect of a write is unknown."""

    code = "store_unavailable"
    http_status = 503


class WorkerUnreachableError(PoplarlbError):
    """A worker did not answer; the effect of the call is unknown."""

    code = "worker_unreachable"
    http_status = 503


class CallNotSentError(PoplarlbError):
    """No connection could be made, so the call was certainly not executed."""

    code = "call_not_sent"
    http_status = 503


class CallUnansweredError(PoplarlbError):
    """No answer came; the call may have been executed or may be later."""

    code = "call_unanswered"
    http_status = 504


class StoreRefusedError(PoplarlbError):
    """The store refused a call before doing anything."""

    code = "store_refused"
    http_status = 503


class HistoryGoneError(PoplarlbError):
    """The store no longer has the history that a watch asked for."""

    code = "history_gone"
    http_status = 503


class OldEpochError(PoplarlbError):
    """A worker has seen a higher epoch than the caller's."""

    code = "old_epoch"
    http_status = 409


class BadAnswerError(PoplarlbError):
    """An answer of the platform could not be decoded."""

    code = "bad_answer"
    http_status = 502


class DeposedError(PoplarlbError):
    """Another daemon has become the owner of the jobs."""

    code = "deposed"
    http_status = 503
