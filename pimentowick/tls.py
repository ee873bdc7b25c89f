"""TLS towards callers and mutual TLS between the system's own processes.

A dedicated certificate authority signs the certificates of the system's processes only,
so that a valid client certificate identifies a peer. Agents accept connections from
peers only. Entries also accept callers without a certificate, who authenticate with a
token, but serve the paths below ``/peer`` to peers only.

Files are read at startup; a new certificate requires a restart of the daemon.
"""

import ssl

import pycurl

from pimentowick import exception

__all__ = ["ClientTls", "make_agent_context", "make_client_tls", "make_entry_context"]


class ClientTls:
    """TLS options of a client: trusted authority and client certificate.

    Args:
        authority: PEM file of the authority that signs the servers' certificates.
        certificate: PEM file of the client certificate, or None for callers.
        key: PEM file of its private key, or None.

    Raises:
        SettingsError: A file is missing or invalid.
    """

    def __init__(self, authority, certificate=None, key=None):
        self._authority = authority
        self._certificate = certificate
        self._key = key
        # libcurl reads the files for each connection; load them to validate them early.
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        _load_files(context, authority, certificate, key)

    def apply(self, curl):
        """Set the TLS options of a curl handle."""
        curl.setopt(pycurl.CAINFO, self._authority)
        curl.setopt(pycurl.SSL_VERIFYPEER, 1)
        # 2 verifies that the certificate matches the host name or address.
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
        SettingsError: A file is missing or invalid.
    """
    if settings is None:
        return None
    return ClientTls(settings.authority, settings.certificate, settings.key)


def make_agent_context(settings):
    """Return an SSL context that requires a peer's certificate, or None."""
    return _make_server_context(settings, ssl.CERT_REQUIRED)


def make_entry_context(settings):
    """Return an SSL context with optional client certificates, or None."""
    return _make_server_context(settings, ssl.CERT_OPTIONAL)


def _make_server_context(settings, verify_mode):
    if settings is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_files(context, settings.authority, settings.certificate, settings.key)
    context.verify_mode = verify_mode
    return context


def _load_files(context, authority, certificate, key):
    try:
        context.load_verify_locations(authority)
    except (OSError, ssl.SSLError) as error:
        raise _make_settings_error("authority", authority, error) from error
    if certificate is None:
        return
    try:
        context.load_cert_chain(certificate, key, password=_reject_encrypted_key)
    except (OSError, ssl.SSLError, ValueError) as error:
        raise _make_settings_error(
            "certificate and key", f"{certificate}, {key}", error
        ) from error


def _reject_encrypted_key():
    # Otherwise OpenSSL prompts for the password on the terminal and blocks the daemon.
    raise ValueError("the key is encrypted")


def _make_settings_error(what, path, error):
    reason = getattr(error, "strerror", None) or str(error)
    return exception.SettingsError(f"tls: {what} ({path}): {reason}.")
