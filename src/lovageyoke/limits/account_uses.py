"""The quotas of the configured accounts, and the use of each.

The use belongs to the account, not to the version of the configuration that
lists it: an account that is removed and restored, or renamed, gets no new
tokens. The use of a removed account is kept until its tokens are complete
again.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import math
import random

from lovageyoke.limits import account_use
from lovageyoke.limits import quota
from lovageyoke.routing import model

# Tokens of an account at the start of a process; what was used before is not
# known.
START_TOKENS = 2.0
# Removed accounts whose use is kept; those removed first are dropped first.
MAX_REMOVED = 1_000
# The use of a removed account is kept for this multiple of the time in which
# an empty bucket fills, as too many requests may have been admitted.
KEPT_FILL_TIMES = 2.0
MS_PER_SECOND = 1_000.0


class AccountUses:
    """The accounts with a limit, and their use.

    Attributes:
        number_of: Returns an account's number in messages from its name.
        rng: Source of random numbers.
        accounts: The accounts with a limit in the current configuration.
        by_name: The use of these and of accounts removed recently.
        by_number: The same by number.
        removed: Names of the removed accounts, the first to be removed first.
        known_ms: Since when this process knows accounts; None before that.
    """

    def __init__(
        self, number_of: Callable[[str], int], rng: random.Random
    ) -> None:
        self.number_of = number_of
        self.rng = rng
        self.accounts: dict[str, model.ClientAccount] = {}
        self.by_name: dict[str, account_use.AccountUse] = {}
        self.by_number: dict[int, account_use.AccountUse] = {}
        self.removed: list[str] = []
        self.known_ms: float | None = None

    def apply(
        self,
        accounts: Iterable[model.ClientAccount],
        tolerance: quota.Tolerance,
        share: float,
        level_of: Callable[[account_use.AccountUse], float],
        now_ms: float,
    ) -> list[account_use.AccountUse]:
        """Applies the accounts of a configuration.

        Args:
            accounts: The accounts.
            tolerance: By how much a window may exceed a quota.
            share: Share of the rates that this process counts for.
            level_of: Returns the tokens of an account.
            now_ms: The time.

        Returns:
            The uses of accounts that were removed and are back.
        """
        returned = []
        self.accounts = {
            each.name: each for each in accounts if each.rate_per_s > 0.0
        }
        if self.accounts and self.known_ms is None:
            self.known_ms = now_ms
        for name, account in self.accounts.items():
            limit = quota.quota_of(account, tolerance)
            use = self.by_name.get(name)
            if use is None:
                use = self.new_use(account, limit, share, level_of, now_ms)
                self.by_name[name] = use
            else:
                use.bucket.set_quota(limit, now_ms)
            if use.removed_ms is not None:
                returned.append(use)
            use.api_keys = frozenset(account.api_keys)
            use.removed_ms = None
        self.update_removed(now_ms)
        return returned

    def new_use(
        self,
        account: model.ClientAccount,
        limit: quota.Quota,
        share: float,
        level_of: Callable[[account_use.AccountUse], float],
        now_ms: float,
    ) -> account_use.AccountUse:
        """Returns the use of an account that isn't known.

        It may have been used before this process knew any accounts, or under
        another name with the same keys.
        """
        known_ms = now_ms if self.known_ms is None else self.known_ms
        added = limit.per_s * (now_ms - known_ms) / MS_PER_SECOND
        tokens = min(limit.depth, START_TOKENS + added) * share
        use = account_use.AccountUse(
            account.name,
            self.number_of(account.name),
            quota.Bucket(limit, tokens, now_ms, share),
            self.rng.random(),
            self.rng.random(),
        )
        for former in self.former_uses(account):
            level = level_of(former)
            use.bucket.level = min(use.bucket.level, level)
            # Its followers take this for the collector's first report.
            use.reported_tokens = level
            use.reported_ms = now_ms
        return use

    def former_uses(
        self, account: model.ClientAccount
    ) -> list[account_use.AccountUse]:
        """Returns the uses of removed accounts that had one of the keys."""
        api_keys = set(account.api_keys)
        return [
            use
            for name, use in self.by_name.items()
            if name not in self.accounts
            and not api_keys.isdisjoint(use.api_keys)
        ]

    def update_removed(self, now_ms: float) -> None:
        """Drops the use of removed accounts whose tokens are complete."""
        for name, use in self.by_name.items():
            if name not in self.accounts and use.removed_ms is None:
                use.removed_ms = now_ms
        kept = [
            name
            for name in self.by_name
            if name not in self.accounts and not self.is_complete(name, now_ms)
        ]
        kept.sort(key=lambda name: self.by_name[name].removed_ms or -math.inf)
        self.removed = kept[-MAX_REMOVED:]
        names = {*self.accounts, *self.removed}
        self.by_name = {
            name: use for name, use in self.by_name.items() if name in names
        }
        self.by_number = {use.number: use for use in self.by_name.values()}

    def is_complete(self, name: str, now_ms: float) -> bool:
        """Returns whether a removed account has all of its tokens again."""
        use = self.by_name[name]
        limit = use.bucket.quota
        fill_ms = limit.depth / limit.per_s * MS_PER_SECOND
        removed_ms = now_ms if use.removed_ms is None else use.removed_ms
        return now_ms - removed_ms >= KEPT_FILL_TIMES * fill_ms
