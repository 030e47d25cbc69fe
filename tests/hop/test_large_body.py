"""A large body has the bytes that were appended, in blocks."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.hop import body_writer
from lovageyoke.hop import large_body

BLOCK = large_body.BLOCK_BYTES
SIZES = strategies.lists(
    strategies.integers(0, 2 * BLOCK)
    | strategies.sampled_from([0, 1, BLOCK - 1, BLOCK, BLOCK + 1]),
    max_size=5,
)


@hypothesis.given(SIZES)
def test_all_bytes_are_kept_in_order(sizes: list[int]) -> None:
    body = large_body.LargeBody()
    parts = [bytes([index]) * size for index, size in enumerate(sizes)]
    for part in parts:
        body.append(part)
    whole = b"".join(parts)
    assert_that(bytes(body) == whole, matchers.Equals(True))
    assert_that(len(body), matchers.Equals(len(whole)))
    assert_that(body.held_bytes(), matchers.LessThan(len(whole) + BLOCK + 1))
    for each in (body, whole):
        pieces = list(body_writer.pieces_of(each))
        assert_that(b"".join(pieces) == whole, matchers.Equals(True))
