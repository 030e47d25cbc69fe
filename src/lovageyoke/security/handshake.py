"""Mutual proof of a shared key, and seals for the messages that follow.

Both sides draw a nonce, so no proof or sealed message of one connection is
good on another. Each direction has a key of its own and numbers its messages.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import TypeVar

import attrs
import cattrs
from cattrs.preconf import cbor2 as cattrs_cbor2

from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds

NONCE_BYTES = 32
KEY_ID_BYTES = 8
SEAL_BYTES = 16
COUNTER_BYTES = 8
MAX_KEYS = 8
MAX_HANDSHAKE_BYTES = 1_024
PROTOCOL = b"lovageyoke peer 1"

CONVERTER = cattrs_cbor2.make_converter()

MessageT = TypeVar("MessageT")


@attrs.frozen
class Hello:
    """First message, from the connecting side.

    Attributes:
        entry_id: Who connects.
        target_id: Whom it wants to reach.
        nonce: Its nonce.
        key_ids: Names of the keys that it has, the newest first.
    """

    entry_id: str
    target_id: str
    nonce: bytes
    key_ids: tuple[bytes, ...]


@attrs.frozen
class Challenge:
    """Answer of the accepting side.

    Attributes:
        nonce: Its nonce.
        key_id: The key that it chose.
        proof: Proof that it has the key.
    """

    nonce: bytes
    key_id: bytes
    proof: bytes


@attrs.frozen
class Proof:
    """Last message, from the connecting side.

    Attributes:
        proof: Proof that it has the key.
    """

    proof: bytes


def key_id(key: str) -> bytes:
    """Returns the public name of a key."""
    digest = hashlib.sha256(b"lovageyoke key id\0" + key.encode())
    return digest.digest()[:KEY_ID_BYTES]


def encode(message: Hello | Challenge | Proof) -> bytes:
    """Returns a handshake message as CBOR."""
    return CONVERTER.dumps(message)


class Sealer:
    """Adds a seal to each message of one direction."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._count = 0

    def seal(self, data: bytes) -> bytes:
        """Returns ``data`` with its seal in front."""
        return self._next_seal(data) + data

    def open(self, sealed: bytes) -> bytes:
        """Returns the data of the next sealed message.

        Raises:
            DecodeError: It was changed, replayed, reordered or cut out.
        """
        data = sealed[SEAL_BYTES:]
        expected = self._next_seal(data)
        if not hmac.compare_digest(expected, sealed[:SEAL_BYTES]):
            raise exceptions.DecodeError("the seal of a message is wrong")
        return data

    def _next_seal(self, data: bytes) -> bytes:
        number = self._count.to_bytes(COUNTER_BYTES, "big")
        self._count += 1
        seal = hashlib.blake2b(
            number + data, key=self._key, digest_size=SEAL_BYTES
        )
        return seal.digest()


@attrs.define
class Session:
    """What a completed handshake established.

    Attributes:
        peer_id: The proven entry id of the other side.
        outgoing: Seals messages to it.
        incoming: Opens messages from it.
    """

    peer_id: str
    outgoing: Sealer
    incoming: Sealer


class Connecting:
    """The connecting side of a handshake."""

    def __init__(
        self, entry_id: str, target_id: str, keys: tuple[str, ...]
    ) -> None:
        self._keys = {key_id(key): key for key in keys[:MAX_KEYS]}
        self._hello = Hello(
            entry_id,
            target_id,
            secrets.token_bytes(NONCE_BYTES),
            tuple(self._keys),
        )

    def hello(self) -> bytes:
        """Returns the first message."""
        return encode(self._hello)

    def answer(self, data: bytes) -> tuple[bytes, Session]:
        """Checks the challenge; returns the proof to send and the session.

        Raises:
            PeerError: The other side has not proven that it has a key.
        """
        challenge = _decode(data, Challenge)
        key = self._keys.get(challenge.key_id)
        if key is None or len(challenge.nonce) != NONCE_BYTES:
            raise _refusal("the peer chose an unknown key")
        secret = _Secret(key, self._hello, challenge.nonce)
        if not hmac.compare_digest(secret.derive("accept"), challenge.proof):
            raise _refusal("the peer has not proven its key")
        session = Session(
            self._hello.target_id,
            outgoing=Sealer(secret.derive("to accepting side")),
            incoming=Sealer(secret.derive("to connecting side")),
        )
        return encode(Proof(secret.derive("connect"))), session


class Accepting:
    """The accepting side of a handshake."""

    def __init__(self, entry_id: str, keys: tuple[str, ...]) -> None:
        self.entry_id = entry_id
        self._keys = {key_id(key): key for key in keys[:MAX_KEYS]}
        self._secret: _Secret | None = None
        self._peer_id = ""

    def challenge(self, data: bytes) -> bytes:
        """Checks the hello; returns the challenge to send.

        Raises:
            PeerError: It is for another entry, or shares no key.
        """
        hello = _decode(data, Hello)
        if hello.target_id != self.entry_id:
            raise _refusal(f"the peer wants to reach {hello.target_id!r}")
        if len(hello.nonce) != NONCE_BYTES:
            raise _refusal("the peer's nonce is too short")
        chosen = next(
            (each for each in self._keys if each in hello.key_ids), None
        )
        if chosen is None:
            raise _refusal("the peer has none of the valid keys")
        nonce = secrets.token_bytes(NONCE_BYTES)
        self._secret = _Secret(self._keys[chosen], hello, nonce)
        self._peer_id = hello.entry_id
        return encode(Challenge(nonce, chosen, self._secret.derive("accept")))

    def finish(self, data: bytes) -> Session:
        """Checks the proof; returns the session.

        Raises:
            PeerError: The other side has not proven that it has the key.
        """
        proof = _decode(data, Proof)
        secret = self._secret
        if secret is None:
            raise _refusal("the proof came before the challenge")
        if not hmac.compare_digest(secret.derive("connect"), proof.proof):
            raise _refusal("the peer has not proven its key")
        return Session(
            self._peer_id,
            outgoing=Sealer(secret.derive("to connecting side")),
            incoming=Sealer(secret.derive("to accepting side")),
        )


class _Secret:
    """Derives proofs and keys from a shared key and both sides' values."""

    def __init__(self, key: str, hello: Hello, nonce: bytes) -> None:
        self._key = key.encode()
        self._context = CONVERTER.dumps([PROTOCOL, encode(hello), nonce])

    def derive(self, purpose: str) -> bytes:
        data = purpose.encode() + b"\0" + self._context
        return hmac.digest(self._key, data, "sha256")


def _refusal(detail: str) -> exceptions.PeerError:
    return exceptions.PeerError(detail, kinds.ErrorKind.UNAUTHENTICATED)


def _decode(data: bytes, cls: type[MessageT]) -> MessageT:
    if len(data) > MAX_HANDSHAKE_BYTES:
        raise _refusal("a handshake message is too long")
    try:
        return CONVERTER.loads(data, cls)
    except cattrs.BaseValidationError as error:
        raise _refusal(f"bad handshake message: {error}") from error
    except Exception as error:
        # The CBOR library raises many types on hostile bytes.
        raise _refusal(f"bad handshake message: {error!r}") from error
