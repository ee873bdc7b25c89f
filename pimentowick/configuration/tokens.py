"""Access tokens, stored as salted hashes only."""

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
    """Schema of a stored token in a document."""

    id: str = pydantic.Field(pattern=r"^[A-Za-z0-9_-]{4,64}$")
    salt: str = pydantic.Field(pattern=r"^[0-9a-f]{16,128}$", repr=False)
    hash: str = pydantic.Field(pattern=r"^[0-9a-f]{64}$", repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredToken:
    """The stored form of a token, without its secret.

    Attributes:
        id: Public part of the token.
        salt: Hexadecimal salt, unique to the token.
        hash: Hexadecimal SHA-256 hash of salt and secret.
        name: Name of the operator; empty for tokens of a workspace.
    """

    id: str
    salt: str = dataclasses.field(repr=False)
    hash: str = dataclasses.field(repr=False)
    name: str = ""

    def to_dict(self):
        """Return the JSON form used in documents."""
        data = {"id": self.id, "salt": self.salt, "hash": self.hash}
        if self.name:
            data["name"] = self.name
        return data


# Stands in for an unknown id, so that the response time does not reveal whether an id
# exists.
_DUMMY_TOKEN = StoredToken("absent", "00" * SALT_BYTES, "0" * 64)


def make_token(name=""):
    """Generate a random token.

    Args:
        name: Name of the operator; empty for the token of a workspace.

    Returns:
        The token's text, which is shown once and never stored, and its `StoredToken`.

    Examples:
        >>> text, stored_token = make_token()
        >>> check_token(text, {stored_token.id: stored_token}) == stored_token
        True
        >>> check_token(text + "x", {stored_token.id: stored_token}) is None
        True
    """
    token_id = secrets.token_hex(ID_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    stored_token = StoredToken(token_id, salt, _hash_secret(salt, secret), name)
    return f"{token_id}{SEPARATOR}{secret}", stored_token


def check_token(text, tokens_by_id):
    """Return the stored token that matches the text of a token.

    Several tokens are valid at once. To rotate a token, add the new one, switch the
    callers over, then remove the old one.

    Args:
        text: Text of the token as sent by the caller.
        tokens_by_id: Mapping from token id to `StoredToken`.

    Returns:
        The `StoredToken`, or None if the token is not valid.
    """
    if not isinstance(text, str):
        return None
    token_id, _, secret = text.partition(SEPARATOR)
    stored_token = tokens_by_id.get(token_id)
    expected = stored_token or _DUMMY_TOKEN
    digest = _hash_secret(expected.salt, secret)
    is_equal = hmac.compare_digest(digest, expected.hash)
    return stored_token if is_equal else None


def index_tokens(stored_tokens):
    """Return stored tokens by id.

    Raises:
        exception.ValidationError: If two tokens have the same id.
    """
    by_id = {}
    for stored_token in stored_tokens:
        if stored_token.id in by_id:
            raise exception.ValidationError(f"token id {stored_token.id} occurs twice")
        by_id[stored_token.id] = stored_token
    return by_id


def _hash_secret(salt, secret):
    # A caller may send a token that is not valid Unicode: reject it, don't raise.
    content = (salt + secret).encode("utf-8", "surrogatepass")
    return hashlib.sha256(content).hexdigest()
