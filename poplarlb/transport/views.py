"""JSON forms of what callers and operators send and get."""

import base64
import typing

import cattrs
from cattrs.preconf.json import make_converter

from poplarlb import exceptions
from poplarlb.exceptions import BadRequestError
from poplarlb.protocol import api

_CONVERTER = make_converter(forbid_extra_keys=True)
_CONVERTER.register_unstructure_hook(
    bytes, lambda data: base64.b64encode(data).decode()
)
_HTTP_STATUS = {
    kind.code: kind.http_status
    for kind in vars(exceptions).values()
    if isinstance(kind, type) and issubclass(kind, exceptions.PoplarlbError)
}


def to_json(result: api.ApiResult) -> dict[str, typing.Any]:
    """Return the JSON object for an answer."""
    return _CONVERTER.unstructure(result)


def status_of(result: api.ApiResult) -> int:
    """Return the HTTP status for an answer."""
    if isinstance(result, api.Fault):
        return _HTTP_STATUS.get(result.code, 500)
    return 200


def parse_change(table: dict) -> api.ApplyTemplates:
    """Return the operators' change that a JSON object describes.

    :raises BadRequestError: if it describes anything else.
    """
    try:
        return _CONVERTER.structure(table, api.ApplyTemplates)
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        faults = cattrs.transform_error(error)
        raise BadRequestError("; ".join(faults)) from error
