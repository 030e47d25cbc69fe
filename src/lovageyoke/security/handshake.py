"""Mutual shared-key authentication, and a MAC on each later message.

Each side contributes a random nonce, so a proof or an authenticated message
cannot be replayed on another connection. Each direction has its own MAC key
and message counter. Messages are authenticated but not encrypted.
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
MAC_BYTES = 16
COUNTER_BYTES = 8
MAX_KEYS = 8
MAX_HANDSHAKE_BYTES = 1_024
PROTOCOL = b"lovageyoke peer 1"

CONVERTER = cattrs_cbor2.make_converter()

MessageT = TypeVar("MessageT")


@attrs.frozen
class Hello:
    """First message, sent by the connecting side.

    Attributes:
        entry_id: Id of the connecting entry VM.
        target_id: Id of the entry VM that it connects to.
        nonce: Nonce of the connecting side.
        key_ids: Ids of the keys that it holds, newest first.
    """

    entry_id: str
    target_id: str
    nonce: bytes
    key_ids: tuple[bytes, ...]


@attrs.frozen
class Challenge:
    """Second message, sent by the accepting side.

    Attributes:
        nonce: Nonce of the accepting side.
        key_id: Id of the key that it selected.
        proof: HMAC that proves possession of the key.
    """

    nonce: bytes
    key_id: bytes
    proof: bytes


@attrs.frozen
class Proof:
    """Last message, sent by the connecting side.

    Attributes:
        proof: HMAC that proves possession of the key.
    """

    proof: bytes


def key_id(key: str) -> bytes:
    """Returns the public id of a key, a truncated hash."""
    digest = hashlib.sha256(b"lovageyoke key id\0" + key.encode())
    return digest.digest()[:KEY_ID_BYTES]


def encode(message: Hello | Challenge | Proof) -> bytes:
    """Encodes a handshake message as CBOR."""
    return CONVERTER.dumps(message)


class MessageAuthenticator:
    """Adds or verifies the MACs of the messages in one direction.

    The MAC covers a message counter, so replayed, reordered and missing
    messages are detected.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._count = 0

    def add_mac(self, data: bytes) -> bytes:
        """Returns ``data`` prefixed with its MAC."""
        return self._next_mac(data) + data

    def verify(self, message: bytes) -> bytes:
        """Verifies the next message and returns its data.

        Raises:
            DecodeError: The message was modified, replayed or reordered, or
                an earlier one is missing.
        """
        data = message[MAC_BYTES:]
        expected = self._next_mac(data)
        if not hmac.compare_digest(expected, message[:MAC_BYTES]):
            raise exceptions.DecodeError("the MAC of a message is invalid")
        return data

    def _next_mac(self, data: bytes) -> bytes:
        number = self._count.to_bytes(COUNTER_BYTES, "big")
        self._count += 1
        mac = hashlib.blake2b(
            number + data, key=self._key, digest_size=MAC_BYTES
        )
        return mac.digest()


@attrs.define
class Session:
    """Result of a completed handshake.

    Attributes:
        peer_id: Entry id of the peer, bound to the handshake's proofs.
        outgoing: Adds MACs to messages to the peer.
        incoming: Verifies messages from the peer.
    """

    peer_id: str
    outgoing: MessageAuthenticator
    incoming: MessageAuthenticator


class Initiator:
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

    def process_challenge(self, data: bytes) -> tuple[bytes, Session]:
        """Verifies the challenge; returns the proof to send and the session.

        Raises:
            PeerError: The challenge is malformed, or the peer has not proven
                possession of a shared key.
        """
        challenge = _decode(data, Challenge)
        key = self._keys.get(challenge.key_id)
        if key is None or len(challenge.nonce) != NONCE_BYTES:
            raise _authentication_error(
                "the challenge has an invalid key id or nonce"
            )
        secret = _Secret(key, self._hello, challenge.nonce)
        if not hmac.compare_digest(secret.derive("accept"), challenge.proof):
            raise _authentication_error(
                "the peer has not proven possession of the key"
            )
        session = Session(
            self._hello.target_id,
            outgoing=MessageAuthenticator(secret.derive("to accepting side")),
            incoming=MessageAuthenticator(secret.derive("to connecting side")),
        )
        return encode(Proof(secret.derive("connect"))), session


class Responder:
    """The accepting side of a handshake."""

    def __init__(self, entry_id: str, keys: tuple[str, ...]) -> None:
        self.entry_id = entry_id
        self._keys = {key_id(key): key for key in keys[:MAX_KEYS]}
        self._secret: _Secret | None = None
        self._peer_id = ""

    def challenge(self, data: bytes) -> bytes:
        """Validates the hello message; returns the challenge to send.

        Raises:
            PeerError: The hello message is malformed or addressed to another
                entry VM, or the peer shares no key.
        """
        hello = _decode(data, Hello)
        if hello.target_id != self.entry_id:
            raise _authentication_error(
                f"the handshake is addressed to {hello.target_id!r}"
            )
        if len(hello.nonce) != NONCE_BYTES:
            raise _authentication_error("the peer's nonce has the wrong length")
        selected = next(
            (each for each in self._keys if each in hello.key_ids), None
        )
        if selected is None:
            raise _authentication_error("the peer has none of the valid keys")
        nonce = secrets.token_bytes(NONCE_BYTES)
        self._secret = _Secret(self._keys[selected], hello, nonce)
        self._peer_id = hello.entry_id
        return encode(Challenge(nonce, selected, self._secret.derive("accept")))

    def finish(self, data: bytes) -> Session:
        """Verifies the proof; returns the session.

        Raises:
            PeerError: The proof is malformed or out of order, or the peer has
                not proven possession of the key.
        """
        proof = _decode(data, Proof)
        secret = self._secret
        if secret is None:
            raise _authentication_error(
                "received a proof before a hello message"
            )
        if not hmac.compare_digest(secret.derive("connect"), proof.proof):
            raise _authentication_error(
                "the peer has not proven possession of the key"
            )
        return Session(
            self._peer_id,
            outgoing=MessageAuthenticator(secret.derive("to connecting side")),
            incoming=MessageAuthenticator(secret.derive("to accepting side")),
        )


class _Secret:
    """Derives proofs and MAC keys from a shared key and the handshake."""

    def __init__(self, key: str, hello: Hello, nonce: bytes) -> None:
        self._key = key.encode()
        self._context = CONVERTER.dumps([PROTOCOL, encode(hello), nonce])

    def derive(self, purpose: str) -> bytes:
        data = purpose.encode() + b"\0" + self._context
        return hmac.digest(self._key, data, "sha256")


def _authentication_error(detail: str) -> exceptions.PeerError:
    return exceptions.PeerError(detail, kinds.ErrorKind.UNAUTHENTICATED)


def _decode(data: bytes, cls: type[MessageT]) -> MessageT:
    if len(data) > MAX_HANDSHAKE_BYTES:
        raise _authentication_error("a handshake message is too long")
    try:
        return CONVERTER.loads(data, cls)
    except cattrs.BaseValidationError as error:
        raise _authentication_error(
            f"malformed handshake message: {error}"
        ) from error
    except Exception as error:
        # The CBOR library raises many exception types on malformed input.
        raise _authentication_error(
            f"malformed handshake message: {error!r}"
        ) from error
