"""Requests are parsed one at a time, however their bytes arrive."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import manual_clock
from lovageyoke.errors import kinds
from lovageyoke.hop import messages
from lovageyoke.hop import request_parser
from lovageyoke.routing import model

BODIES = strategies.binary(max_size=60) | strategies.sampled_from(
    [b"", b"\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n", b"x" * 70_000]
)


class Receiver(request_parser.RequestReceiver):
    """Collects what the parser finds."""

    def __init__(self) -> None:
        self.requests: list[messages.Request] = []
        self.sizes: list[int] = []
        self.rejected: kinds.ErrorKind | None = None
        self.stopped = False

    def caller_limits(self) -> model.CallerLimits:
        return model.CallerLimits(body_bytes=100_000)

    def receive_request(self, request: messages.Request, size: int) -> None:
        self.requests.append(request)
        self.sizes.append(size)

    def expect_body(self) -> None:
        raise NotImplementedError

    def reject(self, kind: kinds.ErrorKind) -> None:
        self.rejected = self.rejected or kind

    def stop_accepting(self) -> None:
        self.stopped = True


def parser_of(receiver: Receiver) -> request_parser.RequestParser:
    return request_parser.RequestParser(receiver, manual_clock.ManualClock())


def with_length(body: bytes) -> bytes:
    if not body:
        return b"GET /g HTTP/1.1\r\n\r\n"
    return b"PUT /l HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (
        len(body),
        body,
    )


def chunked(body: bytes) -> bytes:
    half = len(body) // 2
    chunks = [each for each in (body[:half], body[half:]) if each]
    encoded = b"".join(b"%x\r\n%b\r\n" % (len(each), each) for each in chunks)
    head = b"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + encoded + b"0\r\n\r\n"


REQUESTS = strategies.lists(
    strategies.tuples(BODIES, strategies.sampled_from([with_length, chunked])),
    min_size=1,
    max_size=6,
)


@hypothesis.given(REQUESTS, strategies.lists(strategies.integers(0, 400)))
def test_pipelined_requests_are_parsed_however_they_are_split(
    requests: list, cuts: list[int]
) -> None:
    receiver = Receiver()
    parser = parser_of(receiver)
    whole = b"".join(encode(body) for body, encode in requests)
    for cut in [*sorted(cuts), len(whole)]:
        start = min(cut, len(whole))
        data, whole = whole[:start], whole[start:]
        position = 0
        while position < len(data):
            before = len(receiver.requests)
            position = parser.feed(data, position)
            # Two if the empty line between them was split.
            found = len(receiver.requests) - before
            assert_that(found, matchers.LessThan(3))
    assert_that(receiver.rejected, matchers.Is(None))
    bodies = [bytes(each.body) for each in receiver.requests]
    assert_that(bodies == [body for body, _ in requests], matchers.Equals(True))
    for request, size in zip(receiver.requests, receiver.sizes, strict=True):
        assert_that(size, matchers.GreaterThan(len(request.body)))
    assert_that(parser.in_message, matchers.Equals(False))
    assert_that(parser.held_bytes(), matchers.Equals(0))


def test_one_message_is_parsed_at_a_time() -> None:
    receiver = Receiver()
    parser = parser_of(receiver)
    data = with_length(b"") * 1_000
    end = parser.feed(data, 0)
    assert_that(receiver.requests, matchers.HasLength(1))
    assert_that(end, matchers.Equals(len(data) // 1_000))


@pytest.mark.parametrize(
    "length", [b"100001", b"9" * 30, b"18446744073709551617"]
)
def test_a_body_over_the_limit_is_rejected_with_its_head(
    length: bytes,
) -> None:
    receiver = Receiver()
    head = b"PUT /l HTTP/1.1\r\nContent-Length: %b\r\n\r\n" % length
    parser_of(receiver).feed(head, 0)
    assert_that(receiver.requests, matchers.Equals([]))
    assert_that(receiver.rejected, matchers.Not(matchers.Is(None)))


def test_nothing_is_accepted_behind_an_upgrade() -> None:
    receiver = Receiver()
    parser = parser_of(receiver)
    head = b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"
    parser.feed(head + with_length(b""), 0)
    assert_that(receiver.requests, matchers.HasLength(1))
    assert_that(receiver.stopped, matchers.Equals(True))


def test_many_small_headers_are_counted_with_their_objects() -> None:
    receiver = Receiver()
    parser = parser_of(receiver)
    parser.feed(b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 1_000, 0)
    assert_that(parser.held_bytes(), matchers.GreaterThan(200_000))
    parser.close()
    assert_that(parser.in_message, matchers.Equals(False))
