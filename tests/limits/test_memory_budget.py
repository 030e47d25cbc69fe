"""The largest holders give up first, and ordinary ones last."""

from __future__ import annotations

from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.limits import memory_budget

LARGE = memory_budget.LARGE_BYTES


class Holder(memory_budget.Holder):
    """Frees all that it holds, or nothing."""

    def __init__(
        self, budget: memory_budget.MemoryBudget, name: str, frees: bool = True
    ) -> None:
        self.budget = budget
        self.name = name
        self.frees = frees
        budget.add(self, 0)

    def reclaimable_bytes(self) -> int:
        return self.charged_bytes if self.frees else 0

    def give_up(self) -> str:
        self.budget.charge(self, 0)
        return self.name


def test_the_largest_give_up_until_the_budget_suffices() -> None:
    budget = memory_budget.MemoryBudget(100 * LARGE)
    holders = [Holder(budget, f"h{size}") for size in (20, 30, 10, 25)]
    for holder, size in zip(holders, (20, 30, 10, 25), strict=True):
        budget.charge(holder, size * LARGE)
    # 80 of 100 may be used by large holders.
    assert_that(budget.relieved, matchers.Equals({"h30": 1}))
    assert_that(budget.used_bytes, matchers.Equals(55 * LARGE))
    assert_that(budget.peak_bytes, matchers.Equals(85 * LARGE))


def test_small_holders_keep_the_rest_of_the_budget() -> None:
    budget = memory_budget.MemoryBudget(100 * LARGE)
    busy = Holder(budget, "busy", frees=False)
    budget.charge(busy, 80 * LARGE)
    small = [Holder(budget, "small") for _ in range(30)]
    for holder in small[:20]:
        budget.charge(holder, LARGE)
    assert_that(budget.relieved, matchers.Equals({}))
    budget.charge(small[20], LARGE)
    assert_that(budget.relieved, matchers.Equals({"small": 1}))
    assert_that(budget.used_bytes, matchers.Equals(100 * LARGE))


def test_a_large_holder_gives_up_for_small_ones() -> None:
    budget = memory_budget.MemoryBudget(100 * LARGE)
    large = Holder(budget, "large")
    budget.charge(large, 70 * LARGE)
    for _ in range(12):
        budget.charge(Holder(budget, "small"), LARGE)
    assert_that(budget.relieved, matchers.Equals({"large": 1}))


def test_what_can_not_be_given_up_counts() -> None:
    budget = memory_budget.MemoryBudget(100 * LARGE)
    budget.take(79 * LARGE)
    assert_that(budget.is_short(), matchers.Equals(False))
    budget.charge(Holder(budget, "body"), 2 * LARGE)
    assert_that(budget.relieved, matchers.Equals({"body": 1}))
    budget.take(-79 * LARGE)
    assert_that(budget.used_bytes, matchers.Equals(0))


def test_a_removed_holder_is_not_counted_any_more() -> None:
    budget = memory_budget.MemoryBudget(100 * LARGE)
    holder = Holder(budget, "h")
    budget.charge(holder, 50 * LARGE)
    budget.remove(holder)
    budget.remove(holder)
    assert_that(budget.used_bytes, matchers.Equals(0))
    assert_that(budget.large | budget.holders, matchers.Equals(set()))


def test_the_budget_leaves_room_for_the_process_itself() -> None:
    limits = {
        size: memory_budget.for_process(size * 1_000_000).limit_bytes
        for size in (60, 152, 552)
    }
    assert_that(
        limits,
        matchers.Equals({60: 15_000_000, 152: 104_000_000, 552: 504_000_000}),
    )
    # One body of the default limit fits into the smallest VMs.
    largest = 67_108_864 * 9 // 8
    assert_that(
        memory_budget.for_process(152_000_000).large_limit_bytes,
        matchers.GreaterThan(largest),
    )
