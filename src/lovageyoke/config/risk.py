"""Checks a change for risks and for faults that prevent it from working."""

from __future__ import annotations

from collections.abc import Iterator

from lovageyoke.config import model

RISKY_DECREASE_RATIO = 0.5
LIMIT_FIELDS = (
    "deadline_ms",
    "max_queue",
    "queue_timeout_ms",
    "max_body_bytes",
)


def risks(
    before: model.Service | None, after: model.Service | None
) -> tuple[str, ...]:
    """Returns what the operator should review before confirming."""
    if before is None:
        return ()
    if after is None:
        return (f"removes service {before.name}",)
    return (
        *_upstream_risks(before, after),
        *_rule_risks(before, after),
        *_limit_risks(before, after),
        *_routing_risks(before, after),
        *_selector_risks(before, after),
    )


def faults(after: model.Service | None) -> tuple[str, ...]:
    """Returns why the service can't work; such a plan requires force."""
    if after is None:
        return ()
    return tuple(_faults(after))


def _faults(after: model.Service) -> Iterator[str]:
    if not after.upstreams:
        yield "upstreams: the service has none, so no request can be served"
    elif all(each.draining for each in after.upstreams):
        yield "upstreams: all are draining, so no request can be served"
    if not after.hosts and not after.path_prefixes:
        yield "hosts: no host or path prefix selects the service"
    if after.limits.queue_timeout_ms > after.limits.deadline_ms:
        yield (
            f"limits.queue_timeout_ms: {after.limits.queue_timeout_ms} exceeds "
            f"the deadline of {after.limits.deadline_ms}"
        )
    for index, rule in enumerate(after.unrepeatable):
        if rule.retention_ms < after.limits.deadline_ms:
            yield (
                f"unrepeatable[{index}].retention_ms: {rule.retention_ms} is "
                f"less than the deadline of {after.limits.deadline_ms}"
            )


def _upstream_risks(
    before: model.Service, after: model.Service
) -> Iterator[str]:
    old = [each for each in before.upstreams if not each.draining]
    new = [each for each in after.upstreams if not each.draining]
    if old and not new:
        yield "removes the last upstream that takes work"
        return
    old_slots = sum(each.slots for each in old)
    new_slots = sum(each.slots for each in new)
    if new_slots <= old_slots * RISKY_DECREASE_RATIO and old_slots:
        yield f"halves the slots or more: {old_slots} -> {new_slots}"
    old_domains = {each.failure_domain for each in old}
    new_domains = {each.failure_domain for each in new}
    if len(new_domains) == 1 < len(old_domains):
        yield f"leaves one failure domain: {new_domains.pop()}"


def _rule_risks(before: model.Service, after: model.Service) -> Iterator[str]:
    kept = {_rule_key(rule): rule for rule in after.unrepeatable}
    for rule in before.unrepeatable:
        name = f"{' '.join(rule.methods)} {rule.path_prefix}"
        found = kept.get(_rule_key(rule))
        if found is None:
            yield f"drops the at-most-once rule of {name}"
            continue
        if _identity(found) != _identity(rule):
            yield f"changes where the identity of {name} is"
        if found.retention_ms < rule.retention_ms:
            yield (
                f"shortens the retention of {name}: "
                f"{rule.retention_ms} -> {found.retention_ms} ms"
            )


def _rule_key(rule: model.UnrepeatableRule) -> tuple[tuple[str, ...], str]:
    return (tuple(sorted(rule.methods)), rule.path_prefix)


def _identity(rule: model.UnrepeatableRule) -> tuple[str, tuple[str, ...]]:
    return (rule.identity_header, rule.identity_fields)


def _limit_risks(before: model.Service, after: model.Service) -> Iterator[str]:
    for field in LIMIT_FIELDS:
        old = getattr(before.limits, field)
        new = getattr(after.limits, field)
        if old and new <= old * RISKY_DECREASE_RATIO:
            yield f"halves limits.{field} or more: {old} -> {new}"


def _routing_risks(
    before: model.Service, after: model.Service
) -> Iterator[str]:
    old = before.routing.probes_per_s
    new = after.routing.probes_per_s
    if new > old:
        yield f"raises the probe budget: {old:g} -> {new:g} a second"
    if after.limits.retry_ratio > before.limits.retry_ratio:
        yield (
            f"raises the retry budget: {before.limits.retry_ratio:g} -> "
            f"{after.limits.retry_ratio:g}"
        )


def _selector_risks(
    before: model.Service, after: model.Service
) -> Iterator[str]:
    for host in sorted(set(before.hosts) - set(after.hosts)):
        yield f"no longer serves host {host}"
    prefixes = set(before.path_prefixes) - set(after.path_prefixes)
    for prefix in sorted(prefixes):
        yield f"no longer serves path prefix {prefix}"
    if before.team != after.team:
        yield f"moves the service from team {before.team} to {after.team}"
