"""The era that the platform's store states in its responses."""

from __future__ import annotations

from lovageyoke.errors import exceptions
from lovageyoke.hop import messages
from lovageyoke.schema import decoding

HEADER = b"store-era"
# A larger step is taken for a damaged header, as it would make the process
# ignore all later responses.
MAX_STEP = 1_000


class EraTracker:
    """Checks the eras of responses against the highest one.

    Attributes:
        highest: The highest era so far; 0 while the store states none.
    """

    def __init__(self) -> None:
        self.highest = 0

    def check(self, response: messages.Response) -> int:
        """Returns the era of a response; it is 0 while the store states none.

        Raises:
            PlatformOutcomeUnknownError: The era is invalid, or absent although
                the store has stated one before.
            ObsoleteResponseError: The response is from an earlier era.
        """
        with decoding.total(
            "era of the store", exceptions.PlatformOutcomeUnknownError
        ):
            era = _decode(response.header(HEADER))
            if self.highest and era > self.highest + MAX_STEP:
                raise ValueError(f"{era} after {self.highest}")
            if self.highest and not era:
                raise ValueError("absent")
        if era < self.highest:
            raise exceptions.ObsoleteResponseError(
                f"response of era {era} after one of era {self.highest}"
            )
        self.highest = era
        return era


def _decode(value: bytes | None) -> int:
    if value is None:
        return 0
    if not value.isdigit():
        raise ValueError("not a number")
    return decoding.integer(int(value), 1)
