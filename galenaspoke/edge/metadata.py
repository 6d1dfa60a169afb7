"""What requests, responses and reports say, in the router's own types.

The platform's codecs make them; see `galenaspoke.platform.headers` and
`galenaspoke.platform.reports`.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class RequestMetadata:
    """What the headers of a caller's request say.

    `prompt_parts` are the parts of the prompt in order, pairs of an id and
    its length in tokens.  If several prompts have a common prefix, a model
    engine processes that prefix only once.  `timeout_ms` is the time that the
    caller allows for the response, None if it doesn't say.

    A caller that resumes a stream states in `last_event_id` what it has, and
    in `resumed_id` the id of the request that brought the first event.
    """

    request_id: str = ''
    timeout_ms: int | None = None
    api_key: str = ''
    input_tokens: int = 0
    output_tokens: int = 0
    prompt_parts: tuple = ()
    last_event_id: str = ''
    resumed_id: str = ''

    def max_tokens(self):
        """Return the most tokens that the request can consume."""
        return self.input_tokens + self.output_tokens

    def shared_part_ids(self):
        """Return the ids of the parts that other requests may share.

        That is all but the last, which belongs to the request itself or to
        its session.
        """
        return tuple(part_id for part_id, _ in self.prompt_parts[:-1])

    def count_shared_tokens(self):
        """Return how many tokens the shared parts have together."""
        return sum(tokens for _, tokens in self.prompt_parts[:-1])

    def is_resumption(self):
        """Return whether the request resumes a stream."""
        return bool(self.resumed_id or self.last_event_id)

    def affinity_key(self):
        """Return a key that requests with a common prompt prefix share.

        It is the id of the last part but one, because the last part belongs
        to the request itself or to its session; of a prompt with a single
        part, that part's.  Empty if there is no prompt.
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
    """What the head of a target's response says about the request.

    `not_run` is True if the target states that it did not run the request,
    `misdirected` if another target than the intended one responded.
    `has_stamp` is True if the response carries a target's stamp.
    `retry_after_ms` is how long to wait before a retry, `idle_timeout_ms` how
    long the target keeps an idle connection open; both are None if the
    response doesn't say.  `is_leaving` is True if the target that responded
    says that it leaves.

    `names_rate_limit` is True if the target names how many requests a second
    it takes from all routers together, and `rate_limit_per_s` is that number,
    None if it can't be read.
    """

    request_id: str
    not_run: bool
    misdirected: bool
    has_stamp: bool
    has_content_encoding: bool
    retry_after_ms: int | None
    idle_timeout_ms: int | None
    is_leaving: bool
    names_rate_limit: bool = False
    rate_limit_per_s: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class TargetReport:
    """What a target says of itself when it is asked.

    `born` is when its process started, in ms since 1970, 0 if it doesn't say,
    and `run_ids` the ids of the requests that it works on, as far as it names
    them.  `is_misdirected` is True if another target answered, `is_readable`
    False if what answered said nothing of itself, and `is_relayed` True if it
    was a gateway that has no answer of the target.  `is_leaving` is True if
    the target says that it leaves.
    """

    born: int = 0
    run_ids: tuple = ()
    is_misdirected: bool = False
    is_readable: bool = True
    is_relayed: bool = False
    is_leaving: bool = False
