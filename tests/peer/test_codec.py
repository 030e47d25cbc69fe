"""Tests of the message codec."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st
from testtools import assertions
from testtools import matchers

from lovageyoke.errors import exceptions
from lovageyoke.peer import api
from lovageyoke.peer import codec


@attrs.frozen
class Greeting(api.Message):
    name: str
    count: int
    data: bytes


CODEC = codec.Codec((Greeting,))


@given(st.text(), st.integers(-(2**63), 2**63), st.binary())
def test_messages_survive_a_round_trip(name, count, data):
    message = Greeting(name, count, data)
    decoded = CODEC.decode(CODEC.encode(message))
    assertions.assert_that(decoded, matchers.Equals(message))


@given(st.binary())
def test_arbitrary_bytes_raise_only_decode_errors(data):
    try:
        decoded = CODEC.decode(data)
    except exceptions.DecodeError:
        return
    assertions.assert_that(decoded, matchers.IsInstance(Greeting))
