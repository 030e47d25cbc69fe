"""Constraints on single values."""

from __future__ import annotations

import abc
import ipaddress
import re
from typing import Any
import urllib.parse

import attrs

CHECK = "lovageyoke.check"
REDACTED = "lovageyoke.unshown"
MAX_PORT = 65_535


class Check(abc.ABC):
    """A constraint on a value that already has the right type.

    Attributes:
        allowed: Description of allowed values, for error messages.
    """

    allowed: str

    @abc.abstractmethod
    def accepts(self, value: Any) -> bool:
        """Returns whether the value is allowed."""


class Between(Check):
    """A number within inclusive bounds."""

    def __init__(self, low: float, high: float) -> None:
        self.low = low
        self.high = high
        self.allowed = f"a number from {low} to {high}"

    def accepts(self, value: float) -> bool:
        """Returns whether the number is within the bounds."""
        return self.low <= value <= self.high


class Matches(Check):
    """A string that fully matches a regular expression."""

    def __init__(self, pattern: str, allowed: str) -> None:
        self.pattern = re.compile(pattern)
        self.allowed = allowed

    def accepts(self, value: str) -> bool:
        """Returns whether the string matches."""
        return self.pattern.fullmatch(value) is not None


class IpAddress(Check):
    """An IP address; host names are rejected."""

    allowed = "an IP number"

    def accepts(self, value: str) -> bool:
        """Returns whether the string is an IP address."""
        try:
            ipaddress.ip_address(value)
        except ValueError:
            return False
        return True


class SocketAddress(Check):
    """An address such as ``127.0.0.1:8080`` or ``[::1]:8080``."""

    allowed = "IP:PORT, with a port from 0 to 65535"

    def accepts(self, value: str) -> bool:
        """Returns whether the string is an IP address and a port."""
        host, _, port = value.rpartition(":")
        if not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
            return False
        return IpAddress().accepts(host.removeprefix("[").removesuffix("]"))


class HttpUrl(Check):
    """The base URL of an HTTP service."""

    allowed = "http://IP:PORT or https://IP:PORT"

    def accepts(self, value: str) -> bool:
        """Returns whether the string is an HTTP base URL."""
        try:
            parts = urllib.parse.urlsplit(value)
            has_port = parts.port is not None
        except ValueError:
            return False
        if parts.scheme not in {"http", "https"} or not has_port:
            return False
        return IpAddress().accepts(parts.hostname or "")


class Each(Check):
    """A sequence whose items all pass a check."""

    def __init__(self, item: Check) -> None:
        self.item = item
        self.allowed = f"a list, each item {item.allowed}"

    def accepts(self, value: tuple[Any, ...]) -> bool:
        """Returns whether every item passes."""
        return all(self.item.accepts(each) for each in value)


class Optional(Check):
    """An empty string or a value that passes a check."""

    def __init__(self, present: Check) -> None:
        self.present = present
        self.allowed = f'"" or {present.allowed}'

    def accepts(self, value: str) -> bool:
        """Returns whether the value is empty or passes."""
        return not value or self.present.accepts(value)


NAME = Matches(
    r"[a-z0-9][a-z0-9._-]{0,62}",
    "1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit",
)


def checked(
    check: Check,
    *,
    default: Any = attrs.NOTHING,
    secret: bool = False,
) -> Any:
    """Returns an attrs field with a constraint on its input.

    Args:
        check: The constraint.
        default: The default value, if any.
        secret: Whether to redact the value in error messages and reprs.
    """
    return attrs.field(
        default=default,
        repr=not secret,
        metadata={CHECK: check, REDACTED: secret},
    )
