"""The use of a quota stays with its account across configurations."""

from __future__ import annotations

import random

import pytest
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.limits import account_uses
from lovageyoke.limits import quota
from lovageyoke.routing import model

TOLERANCE = quota.Tolerance(5_000.0, 0.0, 0.0)
MILL = model.ClientAccount("mill", ("mill-1", "mill-2"), None, 20.0, 40.0)
OTHER = model.ClientAccount("other", ("other-1",), None, 50.0, 0.0)


class Scene:
    """The uses of one process."""

    def __init__(self) -> None:
        self.uses = account_uses.AccountUses(
            hash,
            random.Random(1),  # noqa: S311
        )
        self.apply(0.0, MILL, OTHER)

    def apply(self, now_ms: float, *accounts: model.ClientAccount) -> None:
        self.uses.apply(
            accounts,
            TOLERANCE,
            1.0,
            lambda use: use.bucket.advance(now_ms),
            now_ms,
        )

    def tokens(self, name: str, now_ms: float) -> float:
        return self.uses.by_name[name].bucket.advance(now_ms)

    def spend(self, name: str, now_ms: float) -> None:
        self.tokens(name, now_ms)
        self.uses.by_name[name].bucket.level = 0.0


@pytest.fixture
def scene() -> Scene:
    made = Scene()
    made.spend("mill", 10_000.0)
    return made


def test_a_restored_account_has_what_it_had_and_was_added_since(
    scene: Scene,
) -> None:
    # Guards against review/9: a restored account got its burst again.
    scene.apply(10_000.0, OTHER)
    scene.apply(10_500.0, MILL, OTHER)
    assert_that(scene.tokens("mill", 10_500.0), matchers.Equals(10.0))


def test_an_account_without_a_limit_for_a_while_gets_no_new_tokens(
    scene: Scene,
) -> None:
    unlimited = model.ClientAccount("mill", MILL.api_keys)
    scene.apply(10_000.0, unlimited, OTHER)
    assert_that(scene.uses.accounts, matchers.Not(matchers.Contains("mill")))
    scene.apply(10_500.0, MILL, OTHER)
    assert_that(scene.tokens("mill", 10_500.0), matchers.Equals(10.0))


def test_a_renamed_account_takes_its_use_along(scene: Scene) -> None:
    # Guards against a new burst for the same callers under another name.
    renamed = model.ClientAccount("weaver", ("mill-2",), None, 20.0, 40.0)
    scene.apply(10_000.0, renamed, OTHER)
    assert_that(scene.tokens("weaver", 10_000.0), matchers.Equals(0.0))


def test_a_key_moved_to_an_account_that_stays_changes_no_tokens(
    scene: Scene,
) -> None:
    with_key = model.ClientAccount(
        "other", ("other-1", "mill-2"), None, 50.0, 0.0
    )
    before = scene.tokens("other", 10_000.0)
    scene.apply(10_000.0, MILL, with_key)
    assert_that(scene.tokens("other", 10_000.0), matchers.Equals(before))


def test_a_process_that_starts_between_two_versions_grants_no_burst() -> None:
    # Guards against a restart that forgets the use of a removed account.
    scene = Scene()
    scene.uses = account_uses.AccountUses(hash, random.Random(1))  # noqa: S311
    scene.apply(10_200.0, OTHER)
    scene.apply(10_700.0, MILL, OTHER)
    expected = account_uses.START_TOKENS + 10.0
    assert_that(scene.tokens("mill", 10_700.0), matchers.Equals(expected))


def test_a_new_account_has_its_burst(scene: Scene) -> None:
    new = model.ClientAccount("new", ("new-1",), None, 10.0, 50.0)
    scene.apply(10_000.0, MILL, OTHER, new)
    assert_that(scene.tokens("new", 10_000.0), matchers.Equals(50.0))


def test_the_use_of_a_removed_account_is_dropped_once_its_tokens_are_complete(
    scene: Scene,
) -> None:
    scene.apply(10_000.0, OTHER)
    fill_ms = 2_000.0
    kept_ms = 10_000.0 + account_uses.KEPT_FILL_TIMES * fill_ms
    scene.uses.update_removed(kept_ms - 1.0)
    assert_that(scene.uses.by_name, matchers.Contains("mill"))
    scene.uses.update_removed(kept_ms)
    assert_that(scene.uses.by_name, matchers.Not(matchers.Contains("mill")))
    assert_that(scene.uses.by_number, matchers.HasLength(1))


def test_the_accounts_removed_first_are_dropped_first(scene: Scene) -> None:
    # Guards against memory that grows with the versions.
    most = account_uses.MAX_REMOVED
    for index in range(most + 1):
        slow = model.ClientAccount(f"a{index}", (f"k{index}",), None, 0.001)
        scene.apply(10_000.0 + index, slow, OTHER)
    scene.apply(20_000.0, OTHER)
    assert_that(scene.uses.removed, matchers.HasLength(most))
    assert_that(scene.uses.by_name, matchers.Not(matchers.Contains("a0")))
    assert_that(scene.uses.by_name, matchers.Contains(f"a{most}"))
