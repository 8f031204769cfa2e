"""Talk to one model engine."""

from attrs import frozen


@frozen
class EngineToken:
    """Hold a piece of an answer; offset counts characters before it."""

    offset: int
    text: str


@frozen
class EngineUsage:
    """End an answer with the tokens it took."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int
    finish: str
