"""Upstream entries and configurations are decoded or rejected as a whole."""

from __future__ import annotations

import json

import hypothesis
from hypothesis import strategies as st
import pytest
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.errors import exceptions
from lovageyoke.platform import entries
from lovageyoke.routing import model

ENTRY = {
    "service": "maps",
    "address": "10.128.0.9:8080",
    "zone": "east-a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining": "1500ms",
    "sequence": 4,
    "born": 1_700_000_000_123,
}

CONFIGURATION = {
    "version": "r7",
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 1_000,
        "header_timeout": "3000ms",
        "idle_timeout": "15s",
    },
    "listeners": [
        {
            "host": "Jepu9.example",
            "rule_set": [
                {
                    "name": "a",
                    "kind": "download",
                    "target_latency": "400ms",
                    "priority": 2,
                    "match": {"prefix": "/a/"},
                    "action": {
                        "traffic_split": [
                            {"service": "maps", "weight": 90},
                            {"service": "scans", "weight": 10},
                        ],
                        "timeout": "1.2s",
                        "max_attempts": 2,
                    },
                },
                {
                    "name": "b",
                    "kind": "unsafe",
                    "match": {"prefix": "/a/b/"},
                    "action": {
                        "service": "maps",
                        "timeout": "1500ms",
                        "max_attempts": 1,
                    },
                },
            ],
        }
    ],
    "clusters": [
        {"name": "maps", "health_check": "/h", "max_connections": 240},
        {"name": "scans", "health_check": "/h", "max_connections": 240},
    ],
}


def decode(**changes: object) -> model.Upstream:
    value = json.dumps({**ENTRY, **changes}).encode()
    return entries.decode_upstream("servers/i-1", value)


def test_upstream_entry_is_decoded() -> None:
    upstream = decode()
    assert_that(upstream.key, matchers.Equals(("i-1", 1_700_000_000_123)))
    assert_that(
        (upstream.host, upstream.port), matchers.Equals(("10.128.0.9", 8080))
    )
    assert_that(upstream.cold_ms, matchers.Equals(1_500.0))
    assert_that(upstream.draining, matchers.Equals(False))
    assert_that(decode(state="draining").draining, matchers.Equals(True))


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "unwell"},
        {"slots": "6"},
        {"slots": True},
        {"slots": 0},
        {"address": "10.128.0.9"},
        {"address": 7},
        {"service": ""},
        {"zone": None},
        {"cold_remaining": "soon"},
        {"born": 1.5},
    ],
)
def test_malformed_upstream_entry_is_rejected(
    changes: dict[str, object],
) -> None:
    with pytest.raises(exceptions.DecodeError):
        decode(**changes)


@hypothesis.given(st.binary(max_size=200))
def test_arbitrary_bytes_decode_or_raise_decode_error(value: bytes) -> None:
    try:
        entries.decode_upstream("servers/i-1", value)
    except exceptions.DecodeError:
        return


def test_configuration_is_decoded() -> None:
    value = json.dumps(CONFIGURATION).encode()
    configuration = entries.decode_configuration(value)
    first, second = configuration.routes
    assert_that(configuration.version, matchers.Equals(7))
    assert_that(first.host, matchers.Equals("jepu9.example"))
    assert_that(first.idempotent, matchers.Equals(True))
    assert_that(first.timeout_ms, matchers.Equals(1_200.0))
    assert_that(
        [each.weight for each in first.targets], matchers.Equals([90.0, 10.0])
    )
    assert_that(second.idempotent, matchers.Equals(False))
    assert_that(configuration.limits.idle_timeout_ms, matchers.Equals(15_000.0))
    assert_that(
        configuration.services["maps"].health_path, matchers.Equals("/h")
    )


def test_unknown_kind_is_not_idempotent() -> None:
    raw = json.loads(json.dumps(CONFIGURATION))
    raw["listeners"][0]["rule_set"][0]["kind"] = "new"
    configuration = entries.decode_configuration(json.dumps(raw).encode())
    assert_that(configuration.routes[0].idempotent, matchers.Equals(False))


@pytest.mark.parametrize("missing", ["version", "listeners", "clusters"])
def test_incomplete_configuration_is_rejected(missing: str) -> None:
    raw = {key: each for key, each in CONFIGURATION.items() if key != missing}
    with pytest.raises(exceptions.DecodeError):
        entries.decode_configuration(json.dumps(raw).encode())


ACCOUNT = {
    "name": "north-mill",
    "api_keys": ["key-1", "key-2"],
    "priority": 1,
    "per_s": 103,
    "burst": 51.5,
}


def with_accounts(*accounts):
    return json.dumps({**CONFIGURATION, "tenants": accounts}).encode()


def test_accounts_are_decoded():
    configuration = entries.decode_configuration(with_accounts(ACCOUNT))
    expected = model.ClientAccount(
        "north-mill", ("key-1", "key-2"), 1, 103, 51.5
    )
    assert_that(configuration.accounts, matchers.Equals((expected,)))


def test_an_account_without_limits_has_none():
    configuration = entries.decode_configuration(
        with_accounts({"name": "north-mill", "api_keys": []})
    )
    (account,) = configuration.accounts
    assert_that(account.rate_per_s, matchers.Equals(0.0))
    assert_that(account.priority, matchers.Is(None))


@pytest.mark.parametrize(
    "accounts",
    [
        [ACCOUNT, {**ACCOUNT, "name": "south-mill"}],
        [ACCOUNT, {**ACCOUNT, "api_keys": ["key-3"]}],
        [{**ACCOUNT, "per_s": -1}],
        [{**ACCOUNT, "burst": "many"}],
        [{**ACCOUNT, "api_keys": "key-1"}],
        [{**ACCOUNT, "api_keys": [""]}],
        [{**ACCOUNT, "name": "two words"}],
        [{**ACCOUNT, "priority": "high"}],
    ],
)
def test_invalid_accounts_reject_the_whole_configuration(accounts):
    with pytest.raises(exceptions.DecodeError):
        entries.decode_configuration(with_accounts(*accounts))


def test_the_rate_of_cold_upstreams_is_decoded():
    raw = json.loads(json.dumps(CONFIGURATION))
    raw["clusters"][0] |= {"cold_start": "3s", "cold_per_s": 5.0}
    configuration = entries.decode_configuration(json.dumps(raw).encode())
    service = configuration.services[raw["clusters"][0]["name"]]
    assert_that(service.cold_rate_per_s, matchers.Equals(5.0))


def test_an_evacuation_is_decoded_from_its_key():
    found = entries.decode_evacuation("op/evacuate/bavaria-a")
    assert_that(found.failure_domain, matchers.Equals("bavaria-a"))


@pytest.mark.parametrize("domain", ["", "a\n", "a" * 300, "\ud800"])
def test_an_evacuation_without_a_valid_domain_is_rejected(domain):
    with pytest.raises(exceptions.DecodeError):
        entries.decode_evacuation(f"op/evacuate/{domain}")


@pytest.mark.parametrize(
    ("fields", "accounts"),
    [({}, None), ({"tenants": None}, None), ({"tenants": []}, ())],
)
def test_an_empty_list_of_accounts_differs_from_none(fields, accounts):
    value = json.dumps({**CONFIGURATION, **fields}).encode()
    found = entries.decode_configuration(value).accounts
    assert_that(found, matchers.Equals(accounts))


@pytest.mark.parametrize("accounts", [{}, "", 0, False, {"mill": {}}])
def test_accounts_of_another_type_are_rejected(accounts):
    # Guards against a malformed field that means no accounts.
    value = json.dumps({**CONFIGURATION, "tenants": accounts}).encode()
    with pytest.raises(exceptions.DecodeError):
        entries.decode_configuration(value)
