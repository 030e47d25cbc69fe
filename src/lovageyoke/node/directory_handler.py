"""Serves the address directory and the readiness check."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from lovageyoke.fleet import directory as fleet_directory
from lovageyoke.fleet import messages as fleet_messages
from lovageyoke.hop import api as hop_api
from lovageyoke.hop import messages
from lovageyoke.node import internal
from lovageyoke.node import state as node_state


@attrs.frozen
class NodeCodecs:
    """Codecs of the directory, the readiness check and the node entries.

    Attributes:
        decode_query: Decodes a directory query; returns None for any other
            request.
        encode_addresses: Encodes the directory's response.
        is_readiness: Returns whether a request is a readiness check.
        decode_node: Decodes a process's entry in the store.
        encode_node: Encodes a process's entry in the store.
        node_prefix: Key prefix of the processes' entries.
    """

    decode_query: Callable[
        [messages.Request], fleet_directory.AddressQuery | None
    ]
    encode_addresses: Callable[[list[str], float], messages.Response]
    is_readiness: Callable[[messages.Request], bool]
    decode_node: Callable[[bytes], fleet_messages.Peer]
    encode_node: Callable[[fleet_messages.Peer], bytes]
    node_prefix: str


class DirectoryHandler(internal.InternalHandler):
    """Serves directory queries and readiness checks.

    Attributes:
        node: Shared state of the process.
        codecs: Codecs of the requests and responses.
    """

    def __init__(self, node: node_state.NodeState, codecs: NodeCodecs) -> None:
        super().__init__(node)
        self.codecs = codecs

    async def handle(
        self, request: messages.Request, caller: hop_api.ResponseWriter
    ) -> None:
        """Responds to one request."""
        caller.send_response(self.respond(request))

    def respond(self, request: messages.Request) -> messages.Response:
        """Returns the response to a request."""
        if self.codecs.is_readiness(request):
            if self.node.ready:
                return messages.Response(200, b"OK", [], b"ready\n")
            return messages.Response(503, b"not-ready", [], b"not ready\n")
        query = self.codecs.decode_query(request)
        if query is None:
            return messages.Response(404, b"not-found", [], b"not found\n")
        addresses = fleet_directory.addresses(
            self.node.members,
            query,
            self.node.ready,
            self.node.clock.now_ms(),
            self.node.rng,
        )
        if not addresses:
            return messages.Response(503, b"not-ready", [], b"no address\n")
        lifetime_ms = min(
            fleet_directory.LIFETIME_MS,
            self.node.settings.bounds.lifetime_most_ms,
        )
        return self.codecs.encode_addresses(addresses, lifetime_ms)
