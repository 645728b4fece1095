"""The figures by which an engine's owner describes its speed."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class EngineFigures:
    """How fast an engine reads and writes, as its owner states it.

    Parameters
    ----------
    slots
        Requests that it works on at once.
    step_s, step_per_writer_s, step_per_context_s
        Time of one token for all writers together: fixed part, part for each
        writer, and part for each 1,000 tokens of each writer's context.
    steps_per_pass
        Tokens that each writer gets before the engine looks at its queue.
    read_tokens_per_s
        Prompt tokens read in a second.
    pairs_s_per_million
        Time for a million pairs of a token and an earlier one.
    most_read_per_step
        Most prompt tokens read in one step.
    memory_tokens
        Tokens of all requests that its memory holds.
    usual_prompt, usual_answer
        Mean tokens of a prompt and of an answer.
    load_s
        Time to take staged weights once nothing runs.
    model
        The model that it serves.
    layers
        Layers of the model.
    chunks, chunk_bytes
        Chunks that the weights come in, and the size of each.
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
