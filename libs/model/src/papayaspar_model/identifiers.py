"""Identifiers of requests, jobs, processes and leases, and idempotency keys of callers."""

import random
import re
import uuid

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}\Z")
# Maximum length of an idempotency key, in characters.
KEY_MAX_CHARS = 200
# Version 7 UUIDs (RFC 9562) hold their creation time in the 48 highest of 128 bits.
UUID_VERSION_WITH_TIME = 7
UUID_TIME_SHIFT_BITS = 80
MILLISECONDS_PER_SECOND = 1000


def new_id(prefix: str, rng: random.Random | None = None) -> str:
    """Return a new random identifier.

    :param prefix: kind of object, such as ``req`` or ``job``.
    :param rng: source of randomness; defaults to the operating system's.
    :return: the prefix, a dash and 24 hexadecimal digits.
    """
    generator = rng or random.SystemRandom()
    return f"{prefix}-{generator.getrandbits(96):024x}"


def is_name(text: str) -> bool:
    """Return whether a text is a valid name of a team, worker, rack, data centre or rule."""
    return NAME_PATTERN.match(text) is not None


def key_creation_time_s(key: str) -> float | None:
    """Return the creation time of an idempotency key, if the key contains it.

    :param key: key of the caller; a version 7 UUID (RFC 9562) contains its creation time.
    :return: seconds since the Unix epoch, or ``None``.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        # Callers may choose any text as their key.
        return None
    if parsed.version != UUID_VERSION_WITH_TIME:
        return None
    return (parsed.int >> UUID_TIME_SHIFT_BITS) / MILLISECONDS_PER_SECOND
