"""TLS for the doors, from the settings, through the libraries' own adapters."""

import ssl

from cheroot.ssl.builtin import BuiltinSSLAdapter

from poplarlb.settings import ApiSettings, PeerSettings


def make_http_adapter(settings: ApiSettings) -> BuiltinSSLAdapter | None:
    """Return what an HTTP server needs to speak TLS, or ``None`` without it."""
    if not settings.tls_certificate:
        return None
    return BuiltinSSLAdapter(settings.tls_certificate, settings.tls_key)


def make_peer_server_context(settings: PeerSettings) -> ssl.SSLContext | None:
    """Return the context for accepting other daemons, or ``None`` without TLS."""
    if not settings.tls_certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    if settings.tls_authority:
        context.load_verify_locations(settings.tls_authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_peer_client_context(settings: PeerSettings) -> ssl.SSLContext | None:
    """Return the context for calling other daemons, or ``None`` without TLS.

    Daemons are reached by IP address, so each certificate names its address.
    """
    if not settings.tls_certificate:
        return None
    context = ssl.create_default_context(cafile=settings.tls_authority or None)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    return context
