"""Tests of document encoding and plan decoding."""

from __future__ import annotations

import zlib

from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools import assertions
from testtools import matchers

from lovageyoke.config import document
from lovageyoke.config import model
from lovageyoke.config import plan
from lovageyoke.errors import exceptions

SERVICE = model.Service("a", "t", ("a.example",))
DOCUMENT = document.Document(
    3,
    {
        "a": document.ServiceState(2, 3, SERVICE),
        "b": document.ServiceState(1, 1, None),
    },
)
ARBITRARY_CBOR = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text() | st.binary(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["sequence", "entries", "records", "format", "x"]),
            inner,
            max_size=4,
        )
    ),
)


def test_document_round_trip():
    value = document.encode(DOCUMENT)
    assertions.assert_that(
        document.decode_document(value), matchers.Equals(DOCUMENT)
    )


@pytest.mark.parametrize(
    "decode", [document.decode_document, document.decode_segment]
)
@example(data=b"\xa1\x00\x00")
@given(data=st.binary() | ARBITRARY_CBOR.map(document.CONVERTER.dumps))
def test_arbitrary_bytes_raise_only_decode_errors(decode, data):
    for value in (data, zlib.compress(data)):
        try:
            decode(value)
        except exceptions.DecodeError:
            continue


@given(st.data())
def test_damaged_documents_raise_only_decode_errors(data):
    value = bytearray(document.encode(DOCUMENT))
    index = data.draw(st.integers(0, len(value) - 1))
    value[index] ^= data.draw(st.integers(1, 255))
    with pytest.raises(exceptions.DecodeError):
        document.decode_document(bytes(value))


def test_decompression_bomb_is_rejected():
    bomb = zlib.compress(bytes(document.MAX_DECODED_BYTES + 1))
    with pytest.raises(exceptions.DecodeError):
        document.decode_document(bomb)


def test_unknown_format_is_rejected():
    future = document.Document(format=document.FORMAT + 1)
    with pytest.raises(exceptions.DecodeError):
        document.decode_document(document.encode(future))


@given(st.binary() | st.text().map(str.encode))
def test_arbitrary_plan_files_raise_only_intent_errors(data):
    with pytest.raises(exceptions.IntentError):
        plan.decode(data)
