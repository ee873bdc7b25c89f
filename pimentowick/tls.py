"""Encryption towards callers and between the system's own processes.

One authority signs the certificates of the system's processes and of nothing else:
whoever holds one is a peer. Agents take connections from peers alone. Entries take
callers without a certificate as well, who show a token instead, but answer the paths
below ``/peer`` to peers alone.

Files are read when a daemon starts; to change a certificate, drain and start again.
"""

import ssl

import pycurl

from pimentowick import exception

__all__ = ["ClientTls", "make_agent_context", "make_client_tls", "make_entry_context"]


class ClientTls:
    """How a client proves who it is, and whom it trusts.

    Args:
        authority: PEM file of the authority that signs the servers' certificates.
        certificate: PEM file of the own certificate, or None for callers.
        key: PEM file of its private key, or None.

    Raises:
        SettingsError: A file is missing or holds something else.
    """

    def __init__(self, authority, certificate=None, key=None):
        self._authority = authority
        self._certificate = certificate
        self._key = key
        # libcurl reads the files at each connection; a wrong one is told at once.
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        _load_files(context, authority, certificate, key)

    def apply(self, curl):
        """Set the options of a handle."""
        curl.setopt(pycurl.CAINFO, self._authority)
        curl.setopt(pycurl.SSL_VERIFYPEER, 1)
        # 2 means that the certificate has to name the address that is talked to.
        curl.setopt(pycurl.SSL_VERIFYHOST, 2)
        curl.setopt(pycurl.SSLVERSION, pycurl.SSLVERSION_TLSv1_2)
        if self._certificate is not None:
            curl.setopt(pycurl.SSLCERT, self._certificate)
            curl.setopt(pycurl.SSLKEY, self._key)


def make_client_tls(settings):
    """Return the `ClientTls` of a process, or None.

    Args:
        settings: `pimentowick.settings.TlsSettings`, or None for plain HTTP.

    Raises:
        SettingsError: A file is missing or holds something else.
    """
    if settings is None:
        return None
    return ClientTls(settings.authority, settings.certificate, settings.key)


def make_agent_context(settings):
    """Return the server's context that refuses whoever is no peer, or None."""
    return _make_server_context(settings, ssl.CERT_REQUIRED)


def make_entry_context(settings):
    """Return the server's context that takes callers and knows peers, or None."""
    return _make_server_context(settings, ssl.CERT_OPTIONAL)


def _make_server_context(settings, mode):
    if settings is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_files(context, settings.authority, settings.certificate, settings.key)
    context.verify_mode = mode
    return context


def _load_files(context, authority, certificate, key):
    try:
        context.load_verify_locations(authority)
    except (OSError, ssl.SSLError) as error:
        raise _explain("authority", authority, error) from error
    if certificate is None:
        return
    try:
        context.load_cert_chain(certificate, key, password=_refuse_password)
    except (OSError, ssl.SSLError, ValueError) as error:
        raise _explain("certificate and key", f"{certificate}, {key}", error) from error


def _refuse_password():
    # Without this, OpenSSL would ask for the password on the terminal and the
    # daemon would wait there for good.
    raise ValueError("the key is encrypted")


def _explain(what, path, error):
    reason = getattr(error, "strerror", None) or str(error)
    return exception.SettingsError(f"tls: {what} ({path}): {reason}.")
