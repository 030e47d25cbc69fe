"""Decoding of values that other programs wrote.

Each function returns its argument if it is valid and raises ``ValueError``
otherwise. ``total`` makes a decoder raise one error type only.
"""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import functools
import ipaddress

from lovageyoke.errors import exceptions

MAX_PORT = 65_535
MAX_INTEGER = 2**53  # Larger ones are not exact as floating-point numbers.
MAX_TEXT_CHARS = 255
MAX_DETAIL_CHARS = 200
MAX_CACHED_HOSTS = 4_096


@contextlib.contextmanager
def total(
    what: str,
    error_type: type[exceptions.LovageyokeError] = exceptions.DecodeError,
) -> Iterator[None]:
    """Turns any exception of a decoder into one error type.

    Decoders of untrusted bytes raise more than ``ValueError``; nested values,
    for example, raise ``RecursionError``.

    Args:
        what: Name of the decoded value, for the error.
        error_type: Type of the error.
    """
    try:
        yield
    except Exception as error:
        if isinstance(error, error_type):
            raise
        detail = repr(error)[:MAX_DETAIL_CHARS]
        raise error_type(f"invalid {what}: {detail}") from error


def text(value: object, most_chars: int = MAX_TEXT_CHARS) -> str:
    """Returns a non-empty string of printable characters.

    Line ends and lone surrogates are not printable.
    """
    if not isinstance(value, str) or not 0 < len(value) <= most_chars:
        raise ValueError("not a string of an allowed length")
    if not value.isprintable():
        raise ValueError("string with unprintable characters")
    return value


def identifier(value: object) -> str:
    """Returns a string that may be the value of an HTTP header."""
    checked = text(value)
    if not checked.isascii() or " " in checked:
        raise ValueError("identifier with characters other than visible ASCII")
    return checked


def integer(value: object, least: int = 0, most: int = MAX_INTEGER) -> int:
    """Returns an integer between inclusive bounds."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError("not an integer")
    if not least <= value <= most:
        raise ValueError(f"integer not between {least} and {most}")
    return value


def number(value: object, least: float, most: float) -> float:
    """Returns a number between inclusive bounds; NaN is never valid."""
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise ValueError("not a number")
    if not least <= value <= most:
        raise ValueError(f"number not between {least} and {most}")
    return float(value)


def port(value: object) -> int:
    """Returns the number of a TCP or UDP port."""
    return integer(value, 1, MAX_PORT)


@functools.lru_cache(MAX_CACHED_HOSTS)
def ip_address(value: object) -> str:
    """Returns an IP address in text form; host names are rejected."""
    if not isinstance(value, str):
        raise ValueError("not an IP address")
    ipaddress.ip_address(value)
    return value


def host_and_port(value: object) -> tuple[str, int]:
    """Returns the host and port of an address such as ``store:8541``."""
    host, _, digits = text(value).rpartition(":")
    if not host or not digits.isascii() or not digits.isdigit():
        raise ValueError("not a host and a port")
    return host, port(int(digits))


def socket_address(value: object) -> tuple[str, int]:
    """Returns the IP address and port of one such as ``10.1.0.34:8548``."""
    host, number = host_and_port(value)
    return ip_address(host), number
