"""Access tokens, of which only salted hashes are stored."""

import dataclasses
import hashlib
import hmac
import secrets

import pydantic

from pimentowick import exception
from pimentowick.configuration import validation

__all__ = [
    "SEPARATOR",
    "StoredToken",
    "StoredTokenBody",
    "check_token",
    "index_tokens",
    "make_token",
]

ID_BYTES = 8
SALT_BYTES = 16
SECRET_BYTES = 32
SEPARATOR = "."


class StoredTokenBody(validation.Model):
    """Border model of a token entry in a document."""

    id: str = pydantic.Field(pattern=r"^[A-Za-z0-9_-]{4,64}$")
    salt: str = pydantic.Field(pattern=r"^[0-9a-f]{16,128}$", repr=False)
    hash: str = pydantic.Field(pattern=r"^[0-9a-f]{64}$", repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredToken:
    """What is stored of a token.

    Attributes:
        id: Public part of the token.
        salt: Hexadecimal salt, own to each token.
        hash: Hexadecimal SHA-256 hash of salt and secret.
        name: Name of the holder; empty for tokens of a workspace.
    """

    id: str
    salt: str = dataclasses.field(repr=False)
    hash: str = dataclasses.field(repr=False)
    name: str = ""

    def to_dict(self):
        """Return the form that stands in a document."""
        data = {"id": self.id, "salt": self.salt, "hash": self.hash}
        if self.name:
            data["name"] = self.name
        return data


# Compared with when the id is unknown, so that the time of an answer doesn't
# tell whether the id exists.
_ABSENT = StoredToken("absent", "00" * SALT_BYTES, "0" * 64)


def make_token(name=""):
    """Make a new random token.

    Args:
        name: Name of the holder, for the token of an operator.

    Returns:
        The text of the token, to be shown once, and its `StoredToken`.

    Examples:
        >>> text, entry = make_token()
        >>> check_token(text, {entry.id: entry}) == entry
        True
        >>> check_token(text + "x", {entry.id: entry}) is None
        True
    """
    token_id = secrets.token_hex(ID_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    entry = StoredToken(token_id, salt, _hash_secret(salt, secret), name)
    return f"{token_id}{SEPARATOR}{secret}", entry


def check_token(text, entries_by_id):
    """Find the entry that a token proves.

    Any number of entries are valid at once: to change a token, add the new
    entry, move the callers, then remove the old entry.

    Args:
        text: Text of the token as the caller sent it.
        entries_by_id: Mapping from token id to `StoredToken`.

    Returns:
        The `StoredToken`, or None if the token is not valid.
    """
    if not isinstance(text, str):
        return None
    token_id, _, secret = text.partition(SEPARATOR)
    entry = entries_by_id.get(token_id)
    expected = entry or _ABSENT
    digest = _hash_secret(expected.salt, secret)
    is_equal = hmac.compare_digest(digest, expected.hash)
    return entry if is_equal else None


def index_tokens(entries):
    """Return the entries by their ids.

    Raises:
        exception.ValidationError: If two of them have the same id.
    """
    by_id = {}
    for entry in entries:
        if entry.id in by_id:
            raise exception.ValidationError(f"token id {entry.id} occurs twice")
        by_id[entry.id] = entry
    return by_id


def _hash_secret(salt, secret):
    # A caller may send any bytes; broken text must give a refusal, not an error.
    content = (salt + secret).encode("utf-8", "surrogatepass")
    return hashlib.sha256(content).hexdigest()
