"""What a caller asks, beside method, path and body."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class RequestMetadata:
    """One request as the router understands it.

    `prompt_parts` are the parts of the prompt in order, pairs of an id and its
    length in tokens; requests that share parts in the front share the work
    of reading them.  `deadline_ms` is None where the caller names none.
    """

    request_id: str = ''
    deadline_ms: int | None = None
    api_key: str = ''
    input_tokens: int = 0
    output_tokens: int = 0
    prompt_parts: tuple = ()
    last_event_id: str = ''

    def max_tokens(self):
        """Return the most that the request can consume."""
        return self.input_tokens + self.output_tokens

    def affinity_key(self):
        """Return what requests have in common that share a prompt's parts.

        The last part belongs to the request itself or to its session.
        """
        if not self.prompt_parts:
            return ''
        return (
            self.prompt_parts[-2][0]
            if len(self.prompt_parts) > 1
            else self.prompt_parts[0][0]
        )


@dataclasses.dataclass(slots=True, frozen=True)
class ResponseMetadata:
    """What the head of a target's answer says about the request.

    `misdirected` tells that the answer comes from another target than was
    meant.
    """

    request_id: str
    not_run: bool
    misdirected: bool
    genuine: bool
    encoded: bool
    retry_after_ms: int | None
    idle_ms: int | None
