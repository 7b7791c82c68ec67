"""Validators of single settings, for use with attrs."""

import ipaddress
import re

import attrs
from attrs import frozen


@frozen
class Between:
    """Checks that a number is between two bounds, both included."""

    low: float
    high: float

    def __call__(
        self, instance: object, attribute: attrs.Attribute, value: float
    ) -> None:
        """Raise ``ValueError`` if the value is out of bounds."""
        if not self.low <= value <= self.high:
            raise ValueError(f"must be between {self.low} and {self.high}")


NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
NAME_RULE = "must be lower-case letters, digits and hyphens, at most 63"
LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")
PORT_LIMIT = 65_535


def check_name(instance: object, attribute: attrs.Attribute, value: str) -> None:
    """Raise ``ValueError`` if the value does not match ``NAME_PATTERN``."""
    if not NAME_PATTERN.fullmatch(value):
        raise ValueError(NAME_RULE)


def check_names(instance: object, attribute: attrs.Attribute, value: tuple) -> None:
    """Raise ``ValueError`` unless all match ``NAME_PATTERN`` and none is repeated."""
    if not all(NAME_PATTERN.fullmatch(item) for item in value):
        raise ValueError(f"each {NAME_RULE}")
    if len(set(value)) != len(value):
        raise ValueError("must not contain duplicates")


def check_address(instance: object, attribute: attrs.Attribute, value: str) -> None:
    """Raise ``ValueError`` if the value is not an IP address and a port."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        is_valid = port.isascii() and port.isdigit() and int(port) <= PORT_LIMIT
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ValueError("must be an IP address and a port, such as 10.0.0.5:8080")


def check_optional_address(
    instance: object, attribute: attrs.Attribute, value: str
) -> None:
    """Raise ``ValueError`` unless the value is empty or an IP address and a port."""
    if value:
        check_address(instance, attribute, value)


def check_addresses(instance: object, attribute: attrs.Attribute, value: tuple) -> None:
    """Raise ``ValueError`` if a value is not an IP address and a port."""
    for item in value:
        check_address(instance, attribute, item)


def check_level(instance: object, attribute: attrs.Attribute, value: str) -> None:
    """Raise ``ValueError`` if the value is not a log level."""
    if value not in LOG_LEVELS:
        raise ValueError(f"must be one of {', '.join(LOG_LEVELS)}")
