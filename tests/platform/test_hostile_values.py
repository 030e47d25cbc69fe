"""No value that another program wrote makes a decoder fail otherwise."""

from __future__ import annotations

import json
from typing import Any

import attrs
import cbor2
import hypothesis
from hypothesis import strategies as st
import pytest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import positions
from lovageyoke.errors import exceptions
from lovageyoke.fleet import codec
from lovageyoke.fleet import messages
from lovageyoke.fleet import snapshot
from lovageyoke.hop import messages as hop_messages
from lovageyoke.platform import entries
from lovageyoke.platform import headers
from lovageyoke.platform import nodes
from lovageyoke.platform import store_client

NESTED = b"[" * 4_000
ENTRY: dict[str, Any] = {
    "service": "maps",
    "address": "10.128.0.9:8080",
    "zone": "east-a",
    "slots": 6,
    "state": "ready",
    "cold_remaining": "1500ms",
    "born": 1_700_000_000_123,
}
NODE: dict[str, Any] = {
    "id": "n1",
    "host": "10.0.0.1",
    "port": 7540,
    "callers": "10.0.0.1:80",
    "failure_domain": "a",
}
RULE: dict[str, Any] = {
    "name": "a",
    "kind": "safe",
    "match": {"prefix": "/a/"},
    "action": {"service": "maps", "timeout": "1s"},
}
CONFIGURATION: dict[str, Any] = {
    "version": "r7",
    "listeners": [{"host": "h.example", "rule_set": [RULE]}],
    "clusters": [{"name": "maps"}],
}
# The replacements include numbers that no float holds and text that can't be
# encoded.
ODD_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**23, 10**400, -1, 0, 65_536, 99_999])
    | st.floats()
    | st.text(st.characters(exclude_categories=()), max_size=20)
    | st.sampled_from(["10.0.0.1:0", "a..b:80", "10.0.0.1:" + "9" * 4_200]),
    lambda each: (
        st.lists(each, max_size=3)
        | st.dictionaries(st.text(max_size=9), each, max_size=3)
    ),
    max_leaves=5,
)


def decode_upstream(value: bytes) -> object:
    return entries.decode_upstream("servers/i-1", value)


DECODERS = {
    "upstream": decode_upstream,
    "configuration": entries.decode_configuration,
    "process": nodes.decode_node,
    "message": codec.decode,
}
TEMPLATES = [
    ("upstream", ENTRY),
    ("process", NODE),
    ("configuration", CONFIGURATION),
]


def decodes(name: str, value: bytes) -> bool:
    """Returns whether a value decodes; anything but DecodeError is raised."""
    try:
        DECODERS[name](value)
    except exceptions.DecodeError:
        return False
    return True


def paths(value: object) -> list[tuple[Any, ...]]:
    """Returns the paths of all values in a JSON document."""
    if isinstance(value, dict):
        pairs = list(value.items())
    elif isinstance(value, list):
        pairs = list(enumerate(value))
    else:
        return [()]
    found: list[tuple[Any, ...]] = [()]
    for key, each in pairs:
        found += [(key, *rest) for rest in paths(each)]
    return found


def replaced(document: Any, path: tuple[Any, ...], value: object) -> Any:
    """Returns a copy of a document with the value at a path replaced."""
    if not path:
        return value
    copy = json.loads(json.dumps(document))
    inner = copy
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return copy


@pytest.mark.parametrize("name", DECODERS)
@pytest.mark.parametrize(
    "value",
    [
        NESTED,
        b'{"a":' * 4_000,
        b"1e999",
        b"9" * 10_000,
        b'"' + b"a" * 1_000_000 + b'"',
        b"\x81" * 60_000,
        b"\xff",
    ],
    ids=["arrays", "objects", "inf", "digits", "long", "cbor", "byte"],
)
def test_an_unreadable_value_is_a_decode_error(name: str, value: bytes) -> None:
    assert_that(decodes(name, value), matchers.Equals(False))


@pytest.mark.parametrize("name", DECODERS)
@hypothesis.given(value=st.binary(max_size=200))
def test_arbitrary_bytes_are_a_value_or_a_decode_error(
    name: str, value: bytes
) -> None:
    decodes(name, value)


@pytest.mark.parametrize(("name", "template"), TEMPLATES)
@hypothesis.given(data=st.data())
def test_an_odd_field_is_a_valid_value_or_a_decode_error(
    name: str, template: dict[str, Any], data: st.DataObject
) -> None:
    path = data.draw(st.sampled_from(paths(template)))
    odd = replaced(template, path, data.draw(ODD_VALUES))
    decodes(name, json.dumps(odd).encode())


@hypothesis.given(data=st.data())
def test_what_is_decoded_can_be_sent_to_other_processes(
    data: st.DataObject,
) -> None:
    path = data.draw(st.sampled_from(paths(ENTRY)))
    odd = json.dumps(replaced(ENTRY, path, data.draw(ODD_VALUES))).encode()
    try:
        upstream = entries.decode_upstream("servers/i-1", odd)
    except exceptions.DecodeError:
        return
    whole = snapshot.Snapshot(
        positions.at(7), 5, (snapshot.Entry("i", positions.at(7), upstream),)
    )
    assembler = snapshot.SnapshotAssembler()
    (part,) = snapshot.pack(whole)
    sent = codec.decode(codec.encode(part))
    assert isinstance(sent, messages.SnapshotPart)
    assert_that(assembler.add(sent), matchers.Equals(whole))


@pytest.mark.parametrize("name", ["upstream", "process"])
@pytest.mark.parametrize("host", ["a\0b", "\ud800", "a..b", "h" * 70_000])
def test_a_host_that_no_socket_accepts_is_rejected(
    name: str, host: str
) -> None:
    entry = {**ENTRY, "address": f"{host}:80"}
    raw = entry if name == "upstream" else {**NODE, "host": host}
    assert_that(decodes(name, json.dumps(raw).encode()), matchers.Equals(False))


@pytest.mark.parametrize("port", [0, 65_536, 99_999, "9" * 4_200])
def test_a_port_out_of_range_is_rejected(port: object) -> None:
    entry = {**ENTRY, "address": f"10.0.0.1:{port}"}
    value = json.dumps(entry).encode()
    assert_that(decodes("upstream", value), matchers.Equals(False))


@pytest.mark.parametrize(
    "changes",
    [
        {"slots": 10**23},
        {"slots": 10**400},
        {"born": 10**400},
        {"born": -1},
        {"cold_remaining": "9" * 400 + "s"},
        {"service": "m" * 1_000_000},
        {"service": "\ud800"},
        {"zone": "a\nb"},
    ],
)
def test_a_field_out_of_range_is_rejected(changes: dict[str, Any]) -> None:
    value = json.dumps({**ENTRY, **changes}).encode()
    assert_that(decodes("upstream", value), matchers.Equals(False))


@pytest.mark.parametrize("upstream_id", ["", "a\r\nX-A: 1", "\ud800", "a b"])
def test_an_upstream_id_that_is_no_header_value_is_rejected(
    upstream_id: str,
) -> None:
    with pytest.raises(exceptions.DecodeError):
        entries.decode_upstream(
            f"servers/{upstream_id}", json.dumps(ENTRY).encode()
        )


@pytest.mark.parametrize(
    "weights",
    [
        [float("nan"), 1],
        [float("inf"), 1],
        [-1, 2],
        [0, 0],
        ["1", 1],
        [True, 1],
    ],
)
def test_a_configuration_with_invalid_weights_is_rejected(
    weights: list[object],
) -> None:
    split = [{"service": "maps", "weight": each} for each in weights]
    action = {"traffic_split": split, "timeout": "1s"}
    raw = replaced(
        CONFIGURATION, ("listeners", 0, "rule_set", 0, "action"), action
    )
    value = json.dumps(raw).encode()
    assert_that(decodes("configuration", value), matchers.Equals(False))


def test_a_configuration_with_a_route_to_an_unknown_service_is_rejected() -> (
    None
):
    value = json.dumps({**CONFIGURATION, "clusters": []}).encode()
    assert_that(decodes("configuration", value), matchers.Equals(False))


def test_a_host_with_a_port_and_capitals_matches_as_without() -> None:
    raw = replaced(CONFIGURATION, ("listeners", 0, "host"), "H.Example:80")
    configuration = entries.decode_configuration(json.dumps(raw).encode())
    assert_that(configuration.routes[0].host, matchers.Equals("h.example"))


@pytest.mark.parametrize("value", [b"1,2," + b"9" * 400, b"9" * 4_400, b"1_0"])
def test_a_load_with_too_many_digits_counts_as_absent(value: bytes) -> None:
    assert_that(headers.decode_load(b"3,0,6," + value), matchers.Is(None))


@pytest.mark.parametrize("value", [b"inf", b"nan", b"1e999"])
def test_a_deadline_that_is_not_finite_counts_as_absent(value: bytes) -> None:
    assert_that(headers.decode_deadline(value), matchers.Is(None))


@pytest.mark.parametrize(
    "body",
    [
        NESTED,
        b"[]",
        b'{"at": 1e999}',
        b'{"at": "7"}',
        b'{"items": 7}',
        b'{"items": [7]}',
        b'{"items": [{"revision": 1}]}',
        b'{"items": [{"key": "a", "revision": "x"}]}',
        b'{"items": [{"key": "a", "revision": 1e999}]}',
        b'{"items": [{"key": 7, "revision": 1}]}',
    ],
)
@pytest.mark.anyio
async def test_an_invalid_response_of_the_store_is_a_platform_error(
    body: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    client = store_client.StoreClient("127.0.0.1", 9)
    serve(client, body, monkeypatch)
    with pytest.raises(exceptions.PlatformOutcomeUnknownError):
        await client.list_items("servers/")


@pytest.mark.anyio
async def test_an_item_with_an_unencodable_key_leaves_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    client = store_client.StoreClient("127.0.0.1", 9)
    keys = ["servers/a", "servers/\ud800"]
    items = [{"key": key, "value": "eA==", "revision": 3} for key in keys]
    serve(client, json.dumps({"items": items, "at": 4}).encode(), monkeypatch)
    listing = await client.list_items("servers/")
    found = [each.key for each in listing.items]
    assert_that(found, matchers.Equals(["servers/a"]))


def serve(
    client: store_client.StoreClient,
    body: bytes,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Lets a client receive one response to all of its calls."""

    class Connection:
        def usable(self) -> bool:
            return True

    async def connection() -> Connection:
        return Connection()

    async def exchange(*args: object) -> hop_messages.Response:
        return hop_messages.Response(200, b"OK", [], body)

    monkeypatch.setattr(client, "connection", connection)
    monkeypatch.setattr(client, "exchange", exchange)


@pytest.mark.parametrize("seconds", [b"9" * 400, b"9" * 5_000])
def test_a_keep_alive_timeout_with_too_many_digits_counts_as_absent(
    seconds: bytes,
) -> None:
    found = hop_messages.keep_alive_timeout_ms(
        [(b"keep-alive", b"timeout=" + seconds)]
    )
    assert_that(found, matchers.Is(None))


@pytest.mark.parametrize(
    "change",
    [
        {"port": 99_999},
        {"host": "a..b"},
        {"host": "h" * 70},
        {"node_id": "a\nb"},
    ],
)
def test_a_message_that_names_an_unreachable_peer_is_rejected(
    change: dict[str, Any],
) -> None:
    peer = messages.Peer("n1", "10.0.0.1", 7540, "10.0.0.1:80", "a")
    state = messages.MemberState(attrs.evolve(peer, **change), 1, 1)
    datagram = codec.encode(messages.Introduction((state,)))
    assert_that(decodes("message", datagram), matchers.Equals(False))


def test_a_message_with_huge_numbers_is_rejected() -> None:
    datagram = cbor2.dumps([codec.FORMAT, 4, 10**400])
    assert_that(decodes("message", datagram), matchers.Equals(False))


@hypothesis.given(st.text(st.characters(exclude_categories=()), max_size=300))
def test_any_key_of_an_evacuation_decodes_or_is_a_decode_error(
    domain: str,
) -> None:
    # An operator's odd key must not end the watch of a process.
    try:
        found = entries.decode_evacuation(entries.EVACUATION_PREFIX + domain)
    except exceptions.DecodeError:
        return
    assert_that(found.failure_domain, matchers.Equals(domain))
    entry = snapshot.Entry("e", positions.at(7), found)
    for part in snapshot.pack(snapshot.Snapshot(positions.at(7), 5, (entry,))):
        codec.decode(codec.encode(part))
