"""What must hold at every step of a run."""

from __future__ import annotations

import abc
import collections

import attrs

from lovageyoke.idempotency import api

AttemptKey = tuple[str, str]


class InvariantError(AssertionError):
    """An invariant was broken.

    It is no ``LovageyokeError``, so that no code under test handles it.
    """


@attrs.frozen
class Event:
    """Base of what invariants look at."""


@attrs.frozen
class RequestRan(Event):
    """An upstream ran a request.

    Attributes:
        identity: Identity of the request.
        attempt_id: The attempt that was sent.
        answer: What the upstream answered.
    """

    identity: str
    attempt_id: str
    answer: api.StoredResponse


@attrs.frozen
class NotRunAnswered(Event):
    """A caller was told that its attempt was not run.

    Attributes:
        identity: Identity of the request.
        attempt_id: The attempt.
    """

    identity: str
    attempt_id: str


@attrs.frozen
class AnswerReturned(Event):
    """A caller got an upstream's answer, its own or a stored one.

    Attributes:
        identity: Identity of the request.
        answer: The answer.
    """

    identity: str
    answer: api.StoredResponse


class Invariant(abc.ABC):
    """A statement about all events of a run.

    Attributes:
        name: Its name in reports.
        checks: How often it was checked.
    """

    name = ""

    def __init__(self) -> None:
        self.checks = 0

    @abc.abstractmethod
    def observe(self, event: Event) -> None:
        """Checks an event.

        Raises:
            InvariantError: The event breaks the invariant.
        """

    def require(self, holds: bool, event: Event) -> None:
        """Counts a check and raises if it fails."""
        self.checks += 1
        if not holds:
            raise InvariantError(f"{self.name}: {event}")


class AtMostOneRun(Invariant):
    """No identity runs twice."""

    name = "at most one run per identity"

    def __init__(self) -> None:
        super().__init__()
        self.ran: set[str] = set()

    def observe(self, event: Event) -> None:
        """Checks that the identity has not run before."""
        if isinstance(event, RequestRan):
            self.require(event.identity not in self.ran, event)
            self.ran.add(event.identity)


class NotRunNeverRan(Invariant):
    """An attempt answered not-run never runs, before or after."""

    name = "not-run never ran"

    def __init__(self) -> None:
        super().__init__()
        self.ran: set[AttemptKey] = set()
        self.denied: set[AttemptKey] = set()

    def observe(self, event: Event) -> None:
        """Checks runs against answers, whichever comes first."""
        if isinstance(event, RequestRan):
            key = (event.identity, event.attempt_id)
            self.require(key not in self.denied, event)
            self.ran.add(key)
        elif isinstance(event, NotRunAnswered):
            key = (event.identity, event.attempt_id)
            self.require(key not in self.ran, event)
            self.denied.add(key)


class AnswersMatchRuns(Invariant):
    """A returned answer is the one of the identity's run."""

    name = "returned answer equals the run's"

    def __init__(self) -> None:
        super().__init__()
        self.answers: dict[str, api.StoredResponse] = {}

    def observe(self, event: Event) -> None:
        """Checks an answer against the run."""
        if isinstance(event, RequestRan):
            self.answers.setdefault(event.identity, event.answer)
        elif isinstance(event, AnswerReturned):
            answer = self.answers.get(event.identity)
            self.require(answer == event.answer, event)


CLAIM_INVARIANTS: tuple[type[Invariant], ...] = (
    AtMostOneRun,
    NotRunNeverRan,
    AnswersMatchRuns,
)


class Ledger:
    """Shows each event to every invariant.

    Attributes:
        invariants: The invariants.
        events: Events observed by type.
    """

    def __init__(self, invariants: tuple[Invariant, ...]) -> None:
        self.invariants = invariants
        self.events: collections.Counter[str] = collections.Counter()

    def observe(self, event: Event) -> None:
        """Checks an event.

        Raises:
            InvariantError: It breaks an invariant.
        """
        self.events[type(event).__name__] += 1
        for invariant in self.invariants:
            invariant.observe(event)

    def checks(self) -> dict[str, int]:
        """Returns how often each invariant was checked."""
        return {each.name: each.checks for each in self.invariants}
