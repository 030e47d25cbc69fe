"""Authentication and authorization of operators."""

from __future__ import annotations

import collections
import hashlib
import hmac

from lovageyoke.clock import api as clock_api
from lovageyoke.config import model
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.settings import model as settings_model
from lovageyoke.store import rates

ANY = "*"
BEARER = "bearer "
FAILURES_PER_S = 0.2
MAX_FAILURE_BURST = 5.0
MAX_TRACKED_SOURCES = 1_024
MAX_TOKEN_CHARACTERS = 512


class Authenticator:
    """Authenticates operators by their bearer tokens.

    Only hashes of tokens are stored. Every hash is compared in constant time,
    and a source address with too many failures is rejected before its token
    is checked.

    Attributes:
        operators: The operators and their scopes.
    """

    def __init__(
        self,
        operators: tuple[settings_model.Operator, ...],
        clock: clock_api.Clock,
    ) -> None:
        self.operators = operators
        self._clock = clock
        self._failures: collections.OrderedDict[str, rates.TokenBucket] = (
            collections.OrderedDict()
        )

    def authenticate(
        self, authorization: str, source: str
    ) -> settings_model.Operator:
        """Returns the operator identified by the token of a request.

        Args:
            authorization: Value of the Authorization header, or "".
            source: IP address that the request came from.

        Raises:
            OperatorError: Kind UNAUTHENTICATED for a missing or unknown
                token, RATE_LIMITED after too many failures.
        """
        self._check_rate_limit(source)
        operator = self._find(authorization)
        if operator is None:
            self._count_failure(source)
            raise exceptions.OperatorError(
                "the request bears no valid token",
                kinds.ErrorKind.UNAUTHENTICATED,
            )
        return operator

    def _find(self, authorization: str) -> settings_model.Operator | None:
        if not authorization.lower().startswith(BEARER):
            return None
        token = authorization[len(BEARER) :].strip()
        if not token or len(token) > MAX_TOKEN_CHARACTERS:
            return None
        digest = hashlib.sha256(token.encode()).hexdigest()
        found = None
        for operator in self.operators:
            if hmac.compare_digest(operator.token_sha256, digest):
                found = operator
        return found

    def _check_rate_limit(self, source: str) -> None:
        bucket = self._failures.get(source)
        if bucket is None or bucket.has_token(self._clock.now_ms()):
            return
        raise exceptions.OperatorError(
            "too many failed attempts from this address",
            kinds.ErrorKind.RATE_LIMITED,
        )

    def _count_failure(self, source: str) -> None:
        bucket = self._failures.pop(source, None)
        if bucket is None:
            bucket = rates.TokenBucket(FAILURES_PER_S, MAX_FAILURE_BURST)
        bucket.take(self._clock.now_ms())
        self._failures[source] = bucket
        if len(self._failures) > MAX_TRACKED_SOURCES:
            self._failures.popitem(last=False)


def can_read(operator: settings_model.Operator, service: model.Service) -> bool:
    """Returns whether a service is within the scope of an operator."""
    in_teams = ANY in operator.teams or service.team in operator.teams
    in_services = ANY in operator.services or service.name in operator.services
    return in_teams and in_services


def require_read(
    operator: settings_model.Operator, service: model.Service | None
) -> None:
    """Checks that a service, if given, is within the scope of an operator.

    Raises:
        OperatorError: Kind FORBIDDEN.
    """
    if service is not None and not can_read(operator, service):
        raise _forbidden(
            f"service {service.name!r} of team {service.team!r} is outside "
            f"the scope of {operator.name}"
        )


def require_editor(operator: settings_model.Operator) -> None:
    """Checks that an operator may change services.

    Raises:
        OperatorError: Kind FORBIDDEN.
    """
    if operator.role is not settings_model.Role.EDITOR:
        raise _forbidden(f"{operator.name} may only read")


def _forbidden(detail: str) -> exceptions.OperatorError:
    return exceptions.OperatorError(detail, kinds.ErrorKind.FORBIDDEN)
