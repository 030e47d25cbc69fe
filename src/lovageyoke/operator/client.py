"""Client of the operator API."""

from __future__ import annotations

from collections.abc import Mapping
import json
import ssl
from typing import Any
import urllib.parse

import httpx

from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds

TIMEOUT_S = 30.0


class OperatorClient:
    """Calls the operator API of one entry VM.

    Attributes:
        base_url: The URL of the API.
    """

    def __init__(
        self,
        base_url: str,
        token: str,
        tls: ssl.SSLContext | None = None,
        transport: httpx.BaseTransport | None = None,
    ) -> None:
        self.base_url = base_url
        self._client = httpx.Client(
            base_url=base_url,
            headers={"authorization": f"Bearer {token}"},
            timeout=TIMEOUT_S,
            trust_env=False,
            verify=tls if tls is not None else True,
            transport=transport,
        )

    def close(self) -> None:
        """Closes the HTTP connections."""
        self._client.close()

    def plan(self, intent_text: bytes) -> dict[str, Any]:
        """Returns the plan for an intent."""
        return self._request_dict("POST", "/v1/plans", content=intent_text)

    def undo(self, service: str) -> dict[str, Any]:
        """Returns the plan that undoes the last change of a service."""
        return self._request_dict("POST", f"/v1/undo/{_quote(service)}")

    def drain(
        self, service: str, upstream_id: str, draining: bool
    ) -> dict[str, Any]:
        """Returns the plan that drains an upstream or ends its drain."""
        path = f"/v1/drain/{_quote(service)}/{_quote(upstream_id)}"
        params = {"draining": str(draining).lower()}
        return self._request_dict("POST", path, params=params)

    def confirm(self, plan: bytes, force: bool) -> dict[str, Any]:
        """Applies a plan and returns its audit record."""
        params = {"force": str(force).lower()}
        return self._request_dict(
            "POST", "/v1/confirmations", params=params, content=plan
        )

    def services(self) -> list[dict[str, Any]]:
        """Returns the services in force."""
        return self._request_list("/v1/services", {})

    def service_intent(self, name: str) -> str:
        """Returns the intent of a service in force as TOML."""
        return self._request("GET", f"/v1/services/{_quote(name)}").text

    def status(self) -> dict[str, Any]:
        """Returns the state of the entry VM."""
        return self._request_dict("GET", "/v1/status")

    def addresses(self) -> dict[str, Any]:
        """Returns the addresses given to callers."""
        return self._request_dict("GET", "/v1/addresses")

    def audit(self, query: Mapping[str, str | int]) -> list[dict[str, Any]]:
        """Returns audit records, newest last."""
        return self._request_list("/v1/audit", query)

    def _request_dict(
        self,
        method: str,
        path: str,
        params: Mapping[str, str | int] | None = None,
        content: bytes = b"",
    ) -> dict[str, Any]:
        found = _parse(self._request(method, path, params, content))
        if not isinstance(found, dict):
            raise exceptions.DecodeError("the response is not a JSON object")
        return found

    def _request_list(
        self, path: str, params: Mapping[str, str | int]
    ) -> list[dict[str, Any]]:
        found = _parse(self._request("GET", path, params))
        if not isinstance(found, list):
            raise exceptions.DecodeError("the response is not a JSON array")
        return found

    def _request(
        self,
        method: str,
        path: str,
        params: Mapping[str, str | int] | None = None,
        content: bytes = b"",
    ) -> httpx.Response:
        try:
            response = self._client.request(
                method, path, params=params, content=content
            )
        except httpx.HTTPError as error:
            raise exceptions.OperatorError(
                f"no response from {self.base_url}: {error}",
                kinds.ErrorKind.PEER_UNAVAILABLE,
            ) from error
        if response.is_success:
            return response
        raise _error(response)


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="")


def _parse(response: httpx.Response) -> object:
    try:
        return json.loads(response.content)
    except ValueError as error:
        raise exceptions.DecodeError(
            "the response is not valid JSON"
        ) from error


def _error(response: httpx.Response) -> exceptions.LovageyokeError:
    try:
        body = json.loads(response.content)
        kind = kinds.ErrorKind(body["type"].rpartition(":")[2])
        detail = str(body["detail"])
        problems = tuple(str(each) for each in body.get("problems", ()))
    except (ValueError, KeyError, TypeError, AttributeError):
        return exceptions.OperatorError(
            f"the operator API returned status {response.status_code}",
            kinds.ErrorKind.INTERNAL,
        )
    if problems:
        return exceptions.ValidationError(problems, kind)
    return exceptions.OperatorError(detail, kind)
