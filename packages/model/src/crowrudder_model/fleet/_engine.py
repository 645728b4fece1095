"""Performance figures of an engine, as stated by its owner."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class EngineFigures:
    """Speed and size of an engine, as its owner states them.

    Parameters
    ----------
    slots
        Maximum number of requests that it runs concurrently.
    step_s, step_per_writer_s, step_per_context_s
        Time of one decode step, which yields one token for each request that
        is writing its answer: a fixed time, a time for each such request, and
        a time for each 1,000 tokens of each one's context.
    steps_per_pass
        Decode steps between two checks of the queue.
    read_tokens_per_s
        Prompt tokens processed in a second.
    pairs_s_per_million
        Attention time for a million pairs of a token and an earlier one.
    most_read_per_step
        Maximum number of prompt tokens processed in one step.
    memory_tokens
        Maximum number of tokens of all requests in its memory.
    usual_prompt, usual_answer
        Mean tokens of a prompt and of an answer.
    load_s
        Time to load staged weights while no request runs.
    model
        The model that it serves.
    layers
        Number of layers of the model.
    chunks, chunk_bytes
        Number of chunks of the weights, and the size of each.
    """

    slots: int
    step_s: float
    step_per_writer_s: float = 0
    step_per_context_s: float = 0
    steps_per_pass: int = 1
    read_tokens_per_s: float = 1.0e9
    pairs_s_per_million: float = 0
    most_read_per_step: int = 0
    memory_tokens: int = 0
    usual_prompt: int = 0
    usual_answer: int = 0
    load_s: float = 0
    model: str = ''
    layers: int = 0
    chunks: int = 0
    chunk_bytes: int = 0
