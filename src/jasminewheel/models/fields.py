"""Define the field types that several resources share."""

from typing import Annotated

from jasminewheel.models.rules import Between, Matches

MAX_TOKENS = 10**15
DAY_SECONDS = 86400

Name = Annotated[
    str,
    Matches(
        r'[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?',
        'lower-case letters, digits, ".", "_" and "-", at most 63',
    ),
]
Place = Annotated[
    str,
    Matches('[A-Za-z0-9._-]{1,63}', 'a name of at most 63 characters'),
]
Url = Annotated[
    str,
    Matches(r'https?://[^\s/?#]+(/[^\s?#]*)?', 'an http or https URL'),
]
Sha256 = Annotated[str, Matches('[0-9a-f]{64}', 'a SHA-256 in lower-case hex')]
Tokens = Annotated[int, Between(0, MAX_TOKENS)]
Count = Annotated[int, Between(1, 1_000_000)]
Seconds = Annotated[float, Between(0.001, 30 * DAY_SECONDS)]
Ratio = Annotated[float, Between(0, 1)]
Weight = Annotated[float, Between(0, 1_000_000)]
