"""The peer channel of an entry VM."""

from __future__ import annotations

import random
import socket

from lovageyoke.clock import api as clock_api
from lovageyoke.config import dissemination
from lovageyoke.idempotency import messages as claim_messages
from lovageyoke.membership import messages as membership_messages
from lovageyoke.peer import codec
from lovageyoke.peer import websocket
from lovageyoke.security import tls
from lovageyoke.settings import model

CODEC = codec.Codec(
    (
        *membership_messages.MESSAGES,
        *dissemination.MESSAGES,
        *claim_messages.TYPES,
    )
)


def create_channel(
    settings: model.Settings,
    listener: socket.socket,
    clock: clock_api.Clock,
    rng: random.Random,
) -> websocket.WebsocketChannel:
    """Returns the channel to other entry VMs.

    Raises:
        SettingsError: Keys or certificates are missing or invalid.
    """
    peer_tls = settings.tls.peer
    credentials = websocket.Credentials(
        settings.peers.keys,
        tls.server_context(peer_tls, "tls.peer", require_client=True),
        tls.client_context(peer_tls, "tls.peer"),
    )
    return websocket.WebsocketChannel(
        settings.entry.entry_id,
        listener,
        CODEC,
        credentials,
        clock=clock,
        rng=rng,
    )


def contacts(settings: model.Settings) -> dict[str, str]:
    """Returns the peer addresses from the settings by entry id."""
    pairs = (each.partition("=") for each in settings.peers.static)
    return {entry_id: address for entry_id, _, address in pairs}
