"""The exceptions of poplarlb, each with a stable error code and an HTTP status."""


class PoplarlbError(Exception):
    """The base class of the errors that poplarlb raises.

    :param detail: a description of the error.
    """

    code = "internal"
    http_status = 500

    def __init__(self, detail: str = "") -> None:
        """Set the detail."""
        super().__init__(detail)
        self.detail = detail


class SettingsError(PoplarlbError):
    """The settings are unreadable, invalid, or differ from those of stored data.

    ``detail`` lists every fault.
    """

    code = "bad_settings"


class BadRequestError(PoplarlbError):
    """A caller's or operator's input is malformed."""

    code = "bad_request"
    http_status = 400


class TooLargeError(PoplarlbError):
    """A body, a header or a list exceeds its limit."""

    code = "too_large"
    http_status = 413


class RequestTimeoutError(PoplarlbError):
    """A caller's request was not fully received in time."""

    code = "request_timeout"
    http_status = 408


class MethodNotAllowedError(PoplarlbError):
    """The path exists, but does not support this method."""

    code = "method_not_allowed"
    http_status = 405


class RefusedError(PoplarlbError):
    """A call was refused or failed, with a fault from the daemon's state machines.

    :param fault: the ``api.Fault`` that is returned to the caller.
    """

    def __init__(self, fault) -> None:
        """Set the fault and its detail."""
        super().__init__(fault.detail)
        self.fault = fault


class UnauthorizedError(PoplarlbError):
    """The operators' secret is missing or wrong."""

    code = "unauthorized"
    http_status = 401


class NotFoundError(PoplarlbError):
    """There is no such job, template, service or worker."""

    code = "not_found"
    http_status = 404


class ConflictError(PoplarlbError):
    """Another change came first, or an id is already used for something else."""

    code = "conflict"
    http_status = 409


class RateLimitedError(PoplarlbError):
    """Too many calls; this one was not run and may be retried later."""

    code = "rate_limited"
    http_status = 429


class NotRunError(PoplarlbError):
    """The work was refused and certainly has not run; it may be retried."""

    code = "not_run"
    http_status = 503


class OutcomeUnknownError(PoplarlbError):
    """The work may or may not have run; a retry is safe only if it is idempotent."""

    code = "outcome_unknown"
    http_status = 502


class ProtocolError(PoplarlbError):
    """A message between daemons is malformed, outdated or for another recipient."""

    code = "bad_message"
    http_status = 400


class StoreUnavailableError(PoplarlbError):
    """The platform's store did not answer; the outcome of a write is ambiguous."""

    code = "store_unavailable"
    http_status = 503


class WorkerUnreachableError(PoplarlbError):
    """A worker did not answer; the outcome of the call is ambiguous."""

    code = "worker_unreachable"
    http_status = 503


class CallNotSentError(PoplarlbError):
    """No connection could be made; the call was certainly not executed."""

    code = "call_not_sent"
    http_status = 503


class CallUnansweredError(PoplarlbError):
    """No answer came; the call may have been executed, or may be executed later."""

    code = "call_unanswered"
    http_status = 504


class StoreRefusedError(PoplarlbError):
    """The store refused a call without any effect."""

    code = "store_refused"
    http_status = 503


class HistoryGoneError(PoplarlbError):
    """The store no longer keeps the changes that a watch asked for."""

    code = "history_gone"
    http_status = 503


class OldEpochError(PoplarlbError):
    """A worker refused a call because it has seen a higher epoch."""

    code = "old_epoch"
    http_status = 409


class BadAnswerError(PoplarlbError):
    """An answer or a record of the platform could not be decoded."""

    code = "bad_answer"
    http_status = 502


class DeposedError(PoplarlbError):
    """Another daemon has taken over the ownership of the jobs."""

    code = "deposed"
    http_status = 503
