"""Creates TLS contexts from settings."""

from __future__ import annotations

import ssl

from lovageyoke.errors import exceptions
from lovageyoke.settings import model


def server_context(
    tls: model.Tls, name: str, require_client: bool = False
) -> ssl.SSLContext | None:
    """Returns the TLS context of a listener, or None for plain TCP.

    Args:
        tls: TLS settings of the listener.
        name: Settings table, named in errors.
        require_client: Whether clients must present a certificate.

    Raises:
        SettingsError: A file can't be read, or the authority is missing.
    """
    if not tls.certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_certificate(context, tls, name)
    if require_client:
        if not tls.authority:
            raise exceptions.SettingsError((f"{name}.authority: is missing",))
        _load_authority(context, tls, name)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(tls: model.Tls, name: str) -> ssl.SSLContext | None:
    """Returns the TLS context of outgoing connections, or None for TCP.

    Raises:
        SettingsError: A file can't be read.
    """
    if not tls.certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_certificate(context, tls, name)
    if tls.authority:
        _load_authority(context, tls, name)
    else:
        context.load_default_certs()
    return context


def has_dns_name(connection: ssl.SSLObject, name: str) -> bool:
    """Returns whether the peer's certificate contains a DNS name."""
    certificate = connection.getpeercert() or {}
    names = certificate.get("subjectAltName", ())
    return ("DNS", name) in names


def _load_certificate(
    context: ssl.SSLContext, tls: model.Tls, name: str
) -> None:
    try:
        context.load_cert_chain(tls.certificate, tls.key or None)
    except (OSError, ssl.SSLError) as error:
        problem = f"{name}.certificate: can't load {tls.certificate}: {error}"
        raise exceptions.SettingsError((problem,)) from error


def _load_authority(context: ssl.SSLContext, tls: model.Tls, name: str) -> None:
    try:
        context.load_verify_locations(tls.authority)
    except (OSError, ssl.SSLError) as error:
        problem = f"{name}.authority: can't load {tls.authority}: {error}"
        raise exceptions.SettingsError((problem,)) from error
