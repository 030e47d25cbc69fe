"""Finds the client account of a request by its API key."""

from __future__ import annotations

from collections.abc import Iterable

from lovageyoke.routing import model

DIGEST_MASK = 2**64 - 1


class AccountTable:
    """Maps API keys to client accounts.

    Attributes:
        by_key: The accounts by key, as sent in a header.
    """

    def __init__(self, accounts: Iterable[model.ClientAccount]) -> None:
        self.by_key: dict[bytes, model.ClientAccount] = {
            api_key.encode(): account
            for account in accounts
            for api_key in account.api_keys
        }

    def find(self, api_keys: list[bytes]) -> model.ClientAccount | None:
        """Returns the account of a request, None if none is identified.

        Args:
            api_keys: Values of all of its API key headers. More than one
                identify nobody, even if they are equal.
        """
        if len(api_keys) != 1:
            return None
        return self.by_key.get(api_keys[0].strip(b" \t"))


def digest(salt: bytes, api_key: bytes) -> str:
    """Returns a digest that stands for an unknown key in the log.

    Built-in hashing is SipHash with a random key for each process; hashlib
    would load OpenSSL, which takes some megabytes.

    Args:
        salt: Random bytes that are never logged.
        api_key: The key.
    """
    return f"{hash(salt + api_key) & DIGEST_MASK:016x}"
