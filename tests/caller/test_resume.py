"""Tests of the arithmetic of resumed downloads."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest
from testtools import assertions
from testtools import matchers

from lovageyoke.caller import resume
from lovageyoke.transport import api

CONTENT = bytes(range(200))
REQUEST = api.Request(
    b"GET", b"/scan", ((b"range", b"bytes=1-"), (b"accept", b"*/*")), b"", True
)


def head_of(first: int, end: int, status: int = 206) -> api.ResponseHead:
    span = b"bytes %d-%d/%d" % (first, end - 1, len(CONTENT))
    headers = (
        (b"etag", b'"v1"'),
        (b"content-length", b"%d" % (end - first)),
        (b"content-range", span),
    )
    return api.ResponseHead(status, headers if status == 206 else headers[:2])


@hypothesis.given(strategies.data())
def test_parts_splice_to_exactly_the_range_that_was_asked_for(data):
    first = data.draw(strategies.integers(0, len(CONTENT) - 1))
    end = data.draw(strategies.integers(first + 1, len(CONTENT)))
    splice = resume.Splice.of(REQUEST, head_of(first, end))
    received = b""
    while splice.position < end:
        count = data.draw(strategies.integers(1, end - splice.position))
        received += CONTENT[splice.position : splice.position + count]
        splice.advance(count)
        if splice.position == end:
            break
        headers = dict(splice.next_request().headers)
        assertions.assert_that(
            headers[b"range"],
            matchers.Equals(b"bytes=%d-%d" % (splice.position, end - 1)),
        )
        accepted = splice.accepts(head_of(splice.position, end))
        assertions.assert_that(accepted, matchers.Is(True))
    assertions.assert_that(received, matchers.Equals(CONTENT[first:end]))


@pytest.mark.parametrize(
    "head",
    [
        head_of(0, 200, status=200),
        head_of(51, 200),
        head_of(50, 199),
        api.ResponseHead(206, head_of(50, 200).headers[1:]),
        api.ResponseHead(
            206, ((b"etag", b'"v2"'), *head_of(50, 200).headers[1:])
        ),
        api.ResponseHead(
            206,
            (*head_of(50, 200).headers[:2], (b"content-range", b"bytes */9")),
        ),
    ],
)
def test_a_response_that_does_not_continue_exactly_is_refused(head):
    splice = resume.Splice.of(REQUEST, head_of(0, 200, status=200))
    splice.advance(50)
    assertions.assert_that(splice.accepts(head), matchers.Is(False))


@pytest.mark.parametrize("etag", [b'W/"v1"', b"v1", b"", b'"v"1"'])
def test_without_a_strong_validator_nothing_is_resumed(etag):
    head = api.ResponseHead(200, ((b"etag", etag), (b"content-length", b"200")))
    assertions.assert_that(resume.Splice.of(REQUEST, head), matchers.Is(None))
