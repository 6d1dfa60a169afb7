"""Proofs that a stream without a length has ended.

A target that lives may close such a stream early, as one that is emptied or
reaches the end of its grace does.  That it lives and doesn't work on the
request any more is no proof then, and neither is that another target closes
the stream at the same place.

Example::

    stream_ends.find_proof(cfg, context)    # Proof.MOST
"""

from galenaspoke.edge import outcomes


def find_proof(cfg, context):
    """Return the Proof that a stream has ended, None if there is none.

    Its target has closed it, lives and doesn't work on the request any more.
    """
    if _has_most(context):
        return outcomes.Proof.MOST
    if cfg.accept_closed_streams:
        return outcomes.Proof.ALIVE
    return None


def _has_most(context):
    """Return whether all output that the request allows has come.

    Each event holds at least one token; how many it holds at most says nothing
    of what came.  How many came before those of this response isn't known.
    """
    metadata = context.metadata
    if metadata.is_resumption() or not metadata.output_tokens:
        return False
    return context.output_count >= metadata.output_tokens
