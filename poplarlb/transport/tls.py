"""TLS contexts and adapters for the servers and the peer client."""

import socket
import ssl

from cheroot.errors import FatalSSLAlert
from cheroot.ssl.builtin import BuiltinSSLAdapter

from poplarlb.settings import ApiSettings, PeerSettings


class DeferredAdapter(BuiltinSSLAdapter):
    """Leaves the handshake to the thread that reads the connection.

    cheroot's own adapter does it in the thread that accepts all connections.
    """

    def wrap(self, sock: socket.socket) -> tuple[ssl.SSLSocket, dict[str, str]]:
        """Return the socket before its handshake, and the WSGI environment.

        :raises FatalSSLAlert: if the connection is lost.
        """
        try:
            wrapped = self.context.wrap_socket(
                sock, server_side=True, do_handshake_on_connect=False
            )
        except OSError as error:
            raise FatalSSLAlert(*error.args) from error
        return wrapped, {"wsgi.url_scheme": "https", "HTTPS": "on"}


def make_http_adapter(settings: ApiSettings) -> BuiltinSSLAdapter | None:
    """Return the TLS adapter for an HTTP server, or ``None`` without TLS."""
    if not settings.tls_certificate:
        return None
    return DeferredAdapter(settings.tls_certificate, settings.tls_key)


def make_peer_server_context(settings: PeerSettings) -> ssl.SSLContext | None:
    """Return the context for connections from daemons, or ``None`` without TLS."""
    if not settings.tls_certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    if settings.tls_authority:
        context.load_verify_locations(settings.tls_authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_peer_client_context(settings: PeerSettings) -> ssl.SSLContext | None:
    """Return the context for connections to daemons, or ``None`` without TLS.

    Connections use IP addresses, so each daemon's certificate must name its IP address.
    """
    if not settings.tls_certificate:
        return None
    context = ssl.create_default_context(cafile=settings.tls_authority or None)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    return context
