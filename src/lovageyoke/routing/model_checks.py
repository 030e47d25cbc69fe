"""Value ranges of upstreams and configurations from other programs.

A value out of range would fail later, when a request is forwarded, a message
is encoded or a line is logged.
"""

from __future__ import annotations

from collections.abc import Iterable

from lovageyoke.routing import model
from lovageyoke.schema import decoding

MAX_SLOTS = 1_000_000
MAX_COLD_MS = 86_400_000.0
MAX_WEIGHT = 1e9
MAX_PREFIX_CHARS = 4_096
MAX_API_KEY_CHARS = 4_096
MAX_RATE_PER_S = 1e9


def check_upstream(upstream: model.Upstream) -> model.Upstream:
    """Returns the upstream if all of its fields are valid.

    Raises:
        ValueError: A field has another type or is out of range.
    """
    decoding.identifier(upstream.upstream_id)
    decoding.integer(upstream.started_ms)
    decoding.text(upstream.service)
    decoding.ip_address(upstream.host)
    decoding.port(upstream.port)
    decoding.text(upstream.failure_domain)
    decoding.integer(upstream.slots, 1, MAX_SLOTS)
    decoding.number(upstream.cold_ms, 0.0, MAX_COLD_MS)
    decoding.integer(upstream.sequence)
    if not isinstance(upstream.draining, bool):
        raise ValueError("the draining state is not a boolean")
    return upstream


def check_configuration(
    configuration: model.Configuration,
) -> model.Configuration:
    """Returns the configuration if all of it is valid.

    Raises:
        ValueError: A value is out of range, a route leads to a service that
            the configuration doesn't define, or two accounts have the same
            name or key.
    """
    for service in configuration.services.values():
        decoding.text(service.name)
        decoding.identifier(service.health_path)
        if service.cold_rate_per_s is not None:
            decoding.number(service.cold_rate_per_s, 0.0, MAX_RATE_PER_S)
    for route in configuration.routes:
        check_route(route, configuration.services)
    check_accounts(configuration.accounts or ())
    return configuration


def check_accounts(accounts: Iterable[model.ClientAccount]) -> None:
    """Checks the client accounts of a configuration.

    Raises:
        ValueError: An account is invalid, or shares its name or a key with
            another one.
    """
    names: set[str] = set()
    api_keys: set[str] = set()
    for account in accounts:
        # The name is sent as a header value.
        name = decoding.identifier(account.name)
        if name in names:
            raise ValueError(f"two accounts named {name!r}")
        names.add(name)
        for api_key in set(account.api_keys):
            decoding.text(api_key, MAX_API_KEY_CHARS)
            if api_key in api_keys:
                raise ValueError(f"account {name!r} shares a key with another")
            api_keys.add(api_key)
        decoding.number(account.rate_per_s, 0.0, MAX_RATE_PER_S)
        decoding.number(account.burst, 0.0, MAX_RATE_PER_S)


def check_route(route: model.Route, services: dict[str, model.Service]) -> None:
    """Checks a route of a configuration with the given services.

    Raises:
        ValueError: The route is invalid.
    """
    decoding.text(route.name)
    decoding.text(route.host)
    prefix = decoding.text(route.prefix, MAX_PREFIX_CHARS)
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError("prefix without a slash at its start or end")
    if route.timeout_ms <= 0.0:
        raise ValueError("timeout of zero")
    weights = [
        decoding.number(target.weight, 0.0, MAX_WEIGHT)
        for target in route.targets
    ]
    if sum(weights) <= 0.0:
        raise ValueError("no target with a positive weight")
    for target in route.targets:
        if target.service not in services:
            raise ValueError(f"unknown service {target.service!r}")
