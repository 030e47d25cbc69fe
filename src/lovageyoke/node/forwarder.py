"""Routes callers' requests, forwards them and returns the responses."""

from __future__ import annotations

import math
import os
from typing import Any

import attrs

from lovageyoke.errors import kinds
from lovageyoke.errors import table
from lovageyoke.hop import answers
from lovageyoke.hop import api as hop_api
from lovageyoke.hop import messages
from lovageyoke.limits import retry_after
from lovageyoke.node import outcomes
from lovageyoke.node import race as node_race
from lovageyoke.node import state as node_state
from lovageyoke.observe import exposition
from lovageyoke.routing import account_table
from lovageyoke.routing import model

DEFAULT_DEADLINE_MS = 60_000.0  # For requests without a deadline header.
MAX_RATE_RETRY_AFTER_MS = 5_000.0  # If all upstreams have rate limits.

Kind = kinds.ErrorKind


@attrs.define
class Counters:
    """Counters of the forwarder since the process started.

    Attributes:
        requests: Requests received.
        answers: Responses to callers, by status.
        errors: Error responses created by this process, by kind.
        abandoned: Requests cancelled because the caller disconnected.
        request_ms: Time from arrival to the final response.
        wait_ms: Time from arrival to the first attempt.
    """

    requests: int = 0
    answers: dict[int, int] = attrs.field(factory=dict)
    errors: dict[str, int] = attrs.field(factory=dict)
    abandoned: int = 0
    request_ms: exposition.Histogram = attrs.field(factory=exposition.Histogram)
    wait_ms: exposition.Histogram = attrs.field(factory=exposition.Histogram)


class Forwarder(hop_api.RequestHandler):
    """Forwards the requests of callers to upstreams.

    Attributes:
        node: Shared state of the process.
        decode_deadline: Decodes the deadline header of a request.
        counters: Counters for the metrics.
        races: Requests in progress, by ``id`` of the request object.
        key_salt: Salt of the digests of unknown API keys in the log.
    """

    def __init__(
        self,
        node: node_state.NodeState,
        decode_deadline: node_state.DecodeDeadline,
    ) -> None:
        self.node = node
        self.decode_deadline = decode_deadline
        self.counters = Counters()
        self.races: dict[int, node_race.Race] = {}
        self.key_salt = os.urandom(16)

    async def handle(
        self, request: messages.Request, caller: hop_api.ResponseWriter
    ) -> None:
        """Forwards one request and responds to its caller."""
        self.counters.requests += 1
        route = self.route_of(request)
        if isinstance(route, kinds.ErrorKind):
            self.send_error(request, caller, route, None)
            return
        account = self.account_of(request, route)
        if isinstance(account, kinds.ErrorKind):
            self.send_error(request, caller, account, None)
            return
        if account is not None and account.priority is not None:
            route = attrs.evolve(route, priority=account.priority)
        name = account.name if account else ""
        retry_ms = self.node.quotas.try_admit(name)
        if retry_ms is not None:
            self.send_error(
                request,
                caller,
                Kind.QUOTA_USED_UP,
                None,
                retry_after_ms=retry_ms,
                account=name,
            )
            return
        service = self.node.dealer.pick(route, self.node.rng.random())
        now_ms = self.node.clock.now_ms()
        self.node.retry_budget(service).record_request(now_ms)
        race = self.create_race(request, route, service, caller, account)
        if not self.can_answer(race):
            self.node.quotas.refund(name)
            self.send_error(request, caller, Kind.LEAVING, race)
            return
        self.races[id(request)] = race
        try:
            outcome = await race.run()
        except BaseException:
            self.counters.abandoned += 1
            if race.sends == 0:
                self.node.quotas.refund(name)
            self.log_outcome(race, "abandoned")
            if caller.streaming:
                caller.abort()
            raise
        finally:
            del self.races[id(request)]
        took_ms = self.node.clock.now_ms() - request.arrived_ms
        self.counters.request_ms.record(took_ms)
        if race.first_sent_ms is not None:
            wait_ms = race.first_sent_ms - request.arrived_ms
            self.counters.wait_ms.record(wait_ms)
        self.send_outcome(race, outcome, caller)

    def report_error(self, request: messages.Request, error: Exception) -> None:
        """Logs an internal error of this process."""
        identity = request.header(self.node.client.names.request_id) or b""
        self.node.log.failure(
            "fault", error, request=identity.decode("latin-1")
        )

    def limits(self) -> model.CallerLimits:
        """Returns the caller limits of the current configuration."""
        configuration = self.node.configuration
        return configuration.limits if configuration else model.CallerLimits()

    def may_cancel(self, request: messages.Request) -> bool:
        """Returns whether to cancel a request whose caller disconnected."""
        race = self.races.get(id(request))
        if race is None:
            return True
        # A request that must run at most once is cancelled only before it
        # is sent; after that it is completed.
        return race.sending.repeatable or not race.was_sent()

    def may_overlap(self, request: messages.Request) -> bool:
        """Returns whether a request may run beside others of its connection.

        A request without a route is refused at once, one at a time.
        """
        route = self.route_of(request)
        return isinstance(route, model.Route) and route.idempotent

    def leaving(self) -> bool:
        """Returns whether to close connections after the next response."""
        return self.node.leaving

    def route_of(
        self, request: messages.Request
    ) -> model.Route | kinds.ErrorKind:
        """Returns the route of a request, or an error kind if none applies."""
        if self.node.table is None or not self.node.upstreams_known:
            return Kind.NOT_CONFIGURED
        hosts = [value for name, value in request.headers if name == b"host"]
        if len(hosts) != 1:
            return Kind.BAD_REQUEST
        route = self.node.table.find(hosts[0].decode("latin-1"), request.path)
        return Kind.UNKNOWN_SERVICE if route is None else route

    def account_of(
        self, request: messages.Request, route: model.Route
    ) -> model.ClientAccount | kinds.ErrorKind | None:
        """Returns the account of a request, or an error if it needs one.

        Returns:
            The account, None if the route needs none.
        """
        if self.node.accounts is None or route.anonymous:
            return None
        account = self.node.accounts.find(self.api_keys(request))
        return Kind.UNKNOWN_ACCOUNT if account is None else account

    def api_keys(self, request: messages.Request) -> list[bytes]:
        """Returns the API keys that a request states."""
        header = self.node.client.names.api_key
        return [value for name, value in request.headers if name == header]

    def can_answer(self, race: node_race.Race) -> bool:
        """Returns whether a request will be answered before a planned stop."""
        stop = self.node.shutdown
        return stop is None or stop.accepts(
            race.arrived_ms, race.sending.deadline_ms
        )

    def create_race(
        self,
        request: messages.Request,
        route: model.Route,
        service: str,
        caller: hop_api.ResponseWriter,
        account: model.ClientAccount | None,
    ) -> node_race.Race:
        """Creates the race that answers a request."""
        caller_deadline_ms = self.decode_deadline(
            request.header(self.node.client.names.deadline)
        )
        wait_ms = min(
            route.timeout_ms,
            DEFAULT_DEADLINE_MS
            if caller_deadline_ms is None
            else caller_deadline_ms,
        )
        name = account.name if account else ""
        sending = self.node.client.prepare(
            request,
            route.idempotent,
            request.arrived_ms + wait_ms,
            name if self.node.had_accounts else None,
        )
        waited_ms = self.node.caller_waits.record(
            route.name, caller_deadline_ms
        )
        return node_race.Race(
            self.node,
            sending,
            route,
            service,
            caller,
            waited_ms=waited_ms,
            account=account.name if account else None,
        )

    def send_outcome(
        self,
        race: node_race.Race,
        outcome: outcomes.Outcome,
        caller: hop_api.ResponseWriter,
    ) -> None:
        """Sends the outcome of a request to its caller."""
        response = outcome.response
        if response is None:
            kind = outcome.kind or Kind.INTERNAL
            if table.response_for(kind).outcome is table.Outcome.NOT_RUN:
                self.node.quotas.refund(race.sending.account)
            if caller.streaming:
                self.log_outcome(race, kind.value)
                caller.abort()
                return
            self.send_error(race.sending.request, caller, kind, race)
            return
        self.count_answer(response.status)
        if (
            response.status >= messages.FIRST_SERVER_ERROR_STATUS
            or race.sends > 1
        ):
            self.log_outcome(race, f"status {response.status}")
        if response.streamed:
            caller.end_response()
        else:
            caller.send_response(response)

    def send_error(
        self,
        request: messages.Request,
        caller: hop_api.ResponseWriter,
        kind: kinds.ErrorKind,
        race: node_race.Race | None,
        *,
        retry_after_ms: float | None = None,
        account: str = "",
    ) -> None:
        """Responds with an error created by this process.

        Args:
            request: The request.
            caller: Its connection.
            kind: The error.
            race: The race of the request, None if there was none.
            retry_after_ms: When to retry, None for an estimate.
            account: Name of the account, if it is known without a race.
        """
        if retry_after_ms is None:
            retry_after_ms = self.retry_after_ms(kind, race)
        response = answers.error_response(kind, retry_after_ms)
        identity = request.header(self.node.client.names.request_id)
        if identity is not None:
            response.headers.append(
                (self.node.client.names.request_id, identity)
            )
        self.count_answer(response.status)
        name = kind.value
        self.counters.errors[name] = self.counters.errors.get(name, 0) + 1
        if race is not None:
            self.log_outcome(race, name)
        else:
            self.node.log.event(
                "refused",
                request=(identity or b"").decode("latin-1"),
                kind=name,
                account=account or None,
                path=request.path[:200],
                configuration=self.version(),
                **self.unknown_key(request, kind),
            )
        caller.send_response(response)

    def unknown_key(
        self, request: messages.Request, kind: kinds.ErrorKind
    ) -> dict[str, Any]:
        """Returns the log fields of an unknown key; none holds the key."""
        if kind is not Kind.UNKNOWN_ACCOUNT:
            return {}
        api_keys = self.api_keys(request)
        stated = b",".join(api_keys)
        return {
            "api_keys": len(api_keys),
            "key_digest": account_table.digest(self.key_salt, stated),
        }

    def retry_after_ms(
        self, kind: kinds.ErrorKind, race: node_race.Race | None
    ) -> float | None:
        """Returns the delay after which a refused caller should retry.

        The delay follows the expected time until the requests queued now have
        started, but at most a third of the caller's time left. Rate limits of
        all upstreams may require a longer one.
        """
        if table.response_for(kind).retry_after_s is None:
            return None
        # Another process can serve the request while this one is leaving.
        if race is None or kind is Kind.LEAVING:
            return retry_after.delay_ms(0.0, math.inf, self.node.rng)
        left_ms = race.sending.deadline_ms - self.node.clock.now_ms()
        limited_ms = self.node.rate_limiter.retry_after_ms(race.service)
        if limited_ms is not None:
            wait_ms = min(limited_ms, MAX_RATE_RETRY_AFTER_MS)
            return wait_ms * self.node.rng.uniform(1.0, 1.4)
        queue = self.node.queue(race.service)
        expected_ms = 0.0
        if queue.queued:
            expected_ms = queue.expected_wait_ms(
                race.route.priority, race.account
            )
        return retry_after.delay_ms(expected_ms, left_ms, self.node.rng)

    def count_answer(self, status: int) -> None:
        """Counts a response by status."""
        answers = self.counters.answers
        answers[status] = answers.get(status, 0) + 1

    def version(self) -> int:
        """Returns the version of the current configuration, 0 for none."""
        configuration = self.node.configuration
        return configuration.version if configuration else 0

    def log_outcome(self, race: node_race.Race, outcome: str) -> None:
        """Logs the outcome and the attempts of a request."""
        identity = race.sending.request_id or b""
        now_ms = self.node.clock.now_ms()
        self.node.log.event(
            "request",
            request=identity.decode("latin-1"),
            outcome=outcome,
            route=race.route.name,
            service=race.service,
            account=race.sending.account or None,
            configuration=self.version(),
            took_ms=round(now_ms - race.arrived_ms),
            waited_before_ms=round(race.waited_ms),
            deadline_ms=round(race.sending.deadline_ms - race.arrived_ms),
            story=race.steps,
        )
