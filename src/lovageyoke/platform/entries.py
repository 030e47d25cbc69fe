"""Decodes the store entries written by upstreams and operators."""

from __future__ import annotations

import json
from typing import Any

from lovageyoke.platform import durations
from lovageyoke.routing import model
from lovageyoke.routing import model_checks
from lovageyoke.schema import decoding

UPSTREAM_PREFIX = "servers/"
OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"

_STATES = {"ready": False, "draining": True}
_REPEAT_RULES = {
    "safe": model.RepeatRule.IDEMPOTENT,
    # Requests with large responses; they are safe and may be repeated.
    "download": model.RepeatRule.IDEMPOTENT,
    "unsafe": model.RepeatRule.AT_MOST_ONCE,
    # Requests with large bodies.
    "upload": model.RepeatRule.AT_MOST_ONCE,
}


@decoding.total("upstream entry")
def decode_upstream(key: str, value: bytes) -> model.Upstream:
    """Decodes the upstream of an entry under ``servers/``.

    Raises:
        DecodeError: The entry is malformed or has an invalid value.
    """
    raw = json.loads(value)
    host, port = decoding.socket_address(raw["address"])
    return model_checks.check_upstream(
        model.Upstream(
            upstream_id=key.removeprefix(UPSTREAM_PREFIX),
            # Start time in Unix milliseconds; absent from older entries.
            started_ms=raw.get("born", 0),
            service=raw["service"],
            host=host,
            port=port,
            failure_domain=raw["zone"],
            slots=raw["slots"],
            draining=_STATES[raw["state"]],
            # Remaining time of the cold start, not its total duration.
            cold_ms=durations.parse_duration_ms(
                raw.get("cold_remaining", "0ms")
            ),
            sequence=raw.get("sequence", 0),
        )
    )


@decoding.total("evacuation")
def decode_evacuation(key: str) -> model.Evacuation:
    """Decodes the evacuation of an entry under ``op/evacuate/``.

    Its key alone asks for the evacuation; the value is not read, so that a
    malformed one doesn't keep requests flowing to the failure domain.

    Raises:
        DecodeError: The key names no failure domain.
    """
    return model.Evacuation(decoding.text(key.removeprefix(EVACUATION_PREFIX)))


@decoding.total("configuration")
def decode_configuration(value: bytes) -> model.Configuration:
    """Decodes the configuration written by operators.

    Raises:
        DecodeError: The configuration is malformed.
    """
    raw = json.loads(value)
    routes = tuple(
        _route(listener["host"], rule)
        for listener in raw["listeners"]
        for rule in listener["rule_set"]
    )
    services = {each["name"]: _service(each) for each in raw["clusters"]}
    return model_checks.check_configuration(
        model.Configuration(
            durations.parse_version(raw["version"]),
            routes,
            services,
            _limits(raw.get("limits", {})),
            _accounts(raw.get("tenants")),
        )
    )


def _service(raw: dict[str, Any]) -> model.Service:
    return model.Service(
        raw["name"],
        raw.get("health_check", "/health"),
        decoding.integer(raw.get("max_connections", 0)),
        # Zero would keep a cold upstream from warming up.
        cold_rate_per_s=raw.get("cold_per_s") or None,
    )


def _accounts(raw: object) -> tuple[model.ClientAccount, ...] | None:
    if raw is None:
        return None
    if not isinstance(raw, list):
        raise ValueError("the client accounts are not a list")
    return tuple(_account(each) for each in raw)


def _account(raw: dict[str, Any]) -> model.ClientAccount:
    priority = raw.get("priority")
    api_keys = raw.get("api_keys", [])
    if not isinstance(api_keys, list):
        raise ValueError("the API keys are not a list")
    return model.ClientAccount(
        raw["name"],
        tuple(api_keys),
        None if priority is None else decoding.integer(priority),
        raw.get("per_s", 0.0),
        raw.get("burst", 0.0),
    )


def _route(host: str, rule: dict[str, Any]) -> model.Route:
    action = rule["action"]
    split = action.get("traffic_split")
    if split:
        targets = tuple(
            model.Target(each["service"], each["weight"]) for each in split
        )
    else:
        targets = (model.Target(action["service"], 1.0),)
    timeout_ms = durations.parse_duration_ms(action["timeout"])
    latency = rule.get("target_latency")
    return model.Route(
        name=rule["name"],
        host=decoding.text(host).partition(":")[0].lower(),
        # Rules match by path prefix only.
        prefix=rule["match"]["prefix"],
        repeat=_REPEAT_RULES.get(
            str(rule.get("kind")), model.RepeatRule.AT_MOST_ONCE
        ),
        targets=targets,
        timeout_ms=timeout_ms,
        target_latency_ms=(
            durations.parse_duration_ms(latency) if latency else timeout_ms
        ),
        max_attempts=max(1, decoding.integer(action.get("max_attempts", 1))),
        priority=decoding.integer(rule.get("priority", 0)),
        anonymous=bool(rule.get("anonymous", False)),
    )


def _limits(raw: dict[str, Any]) -> model.CallerLimits:
    default = model.CallerLimits()
    return model.CallerLimits(
        header_bytes=decoding.integer(
            raw.get("max_header_bytes", default.header_bytes)
        ),
        body_bytes=decoding.integer(
            raw.get("max_body_bytes", default.body_bytes)
        ),
        header_timeout_ms=_duration(
            raw, "header_timeout", default.header_timeout_ms
        ),
        idle_timeout_ms=_duration(raw, "idle_timeout", default.idle_timeout_ms),
    )


def _duration(raw: dict[str, Any], name: str, default_ms: float) -> float:
    if name not in raw:
        return default_ms
    return durations.parse_duration_ms(raw[name])
