"""Response content of the stand-in engine.

The content is a function of prompt, model and weights version.
"""

from __future__ import annotations

import hashlib
import json

from attrs import frozen

#: Creation time in each response; it is constant so that a resumed stream repeats
#: the same bytes.
CREATED_S = 1_700_000_000


class BadBodyError(Exception):
    """A request body is not a valid generation request."""


@frozen
class Generation:
    """Parsed generation request."""

    chat: bool
    stream: bool
    include_usage: bool
    model: str
    prompt: bytes
    tokens: int
    content_digest: str

    @property
    def answer_id(self) -> str:
        """Identifier in the JSON of the response."""
        return ("chatcmpl-" if self.chat else "cmpl-") + self.content_digest

    @property
    def events(self) -> int:
        """Number of events before the end marker: tokens, finish event and usage."""
        return self.tokens + 1 + self.include_usage

    @property
    def prompt_tokens(self) -> int:
        """Prompt length in tokens, at four bytes for each token."""
        return max(1, len(self.prompt) // 4)


def parse_generation(
    path: str, body: bytes, weights: str, default_tokens: int
) -> Generation:
    """Parse a request body.

    Raises
    ------
    BadBodyError
        If the body is not a valid generation request.
    """
    try:
        fields = json.loads(body)
        chat = path.endswith("/chat/completions")
        prompt = _flatten_messages(fields) if chat else str(fields["prompt"])
        model = str(fields["model"])
        tokens = fields.get("max_completion_tokens") or fields.get("max_tokens")
        tokens = int(tokens or default_tokens)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise BadBodyError(f"bad body: {error!r}") from error
    options = fields.get("stream_options") or {}
    prompt_bytes = prompt.encode()
    digest = hashlib.blake2b(digest_size=6, key=weights.encode()[:64])
    digest.update(model.encode() + b"\0" + prompt_bytes)
    return Generation(
        chat=chat,
        stream=bool(fields.get("stream")),
        include_usage=bool(options.get("include_usage")),
        model=model,
        prompt=prompt_bytes,
        tokens=max(1, tokens),
        content_digest=digest.hexdigest(),
    )


def token_text(generation: Generation, number: int) -> str:
    """Return the token with this number, counted from 1."""
    return f"{generation.content_digest[:4]}-{number} "


def generated_text(generation: Generation) -> str:
    """Return the whole generated text."""
    return "".join(token_text(generation, n) for n in range(1, generation.tokens + 1))


class EventWriter:
    """Encodes the events of a stream.

    The JSON around the token text is encoded once for the whole stream.
    """

    def __init__(self, generation: Generation) -> None:
        self._generation = generation
        placeholder = "@TOKEN@"
        text = json.dumps(self._chunk([self._choice(placeholder, None)]))
        prefix, suffix = text.split(placeholder)
        self._prefix = prefix
        self._suffix = suffix + "\n\n"

    def event(self, number: int) -> bytes:
        """Return the event with this number, counted from 1."""
        generation = self._generation
        if number <= generation.tokens:
            return (
                f"id: {number}\ndata: {self._prefix}"
                f"{token_text(generation, number)}{self._suffix}"
            ).encode()
        if number == generation.tokens + 1:
            chunk = self._chunk([self._choice("", "stop")])
        else:
            chunk = {**self._chunk([]), "usage": usage(generation)}
        return f"id: {number}\ndata: {json.dumps(chunk)}\n\n".encode()

    def end(self) -> bytes:
        """Return the end marker.

        Its id is one more than the number of events, so that a reader of the stream
        can tell whether events are missing.
        """
        return b"id: %d\ndata: [DONE]\n\n" % (self._generation.events + 1)

    def _chunk(self, choices: list[object]) -> dict[str, object]:
        chat = self._generation.chat
        return {
            "id": self._generation.answer_id,
            "object": "chat.completion.chunk" if chat else "text_completion",
            "created": CREATED_S,
            "model": self._generation.model,
            "choices": choices,
        }

    def _choice(self, text: str, finish_reason: str | None) -> dict[str, object]:
        if not self._generation.chat:
            return {"index": 0, "text": text, "finish_reason": finish_reason}
        delta = {"role": "assistant", "content": text}
        return {"index": 0, "delta": delta, "finish_reason": finish_reason}


def complete_response(generation: Generation) -> bytes:
    """Return the body of a response that is not streamed."""
    text = generated_text(generation)
    choice: dict[str, object] = {"index": 0, "finish_reason": "stop"}
    if generation.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    response = {
        "id": generation.answer_id,
        "object": "chat.completion" if generation.chat else "text_completion",
        "created": CREATED_S,
        "model": generation.model,
        "choices": [choice],
        "usage": usage(generation),
    }
    return json.dumps(response).encode()


def usage(generation: Generation) -> dict[str, int]:
    """Return the token counts of a complete response."""
    prompt_tokens = generation.prompt_tokens
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": generation.tokens,
        "total_tokens": prompt_tokens + generation.tokens,
    }


def _flatten_messages(fields: dict[str, object]) -> str:
    lines = []
    for message in fields["messages"]:
        message_text = message.get("content") or ""
        if not isinstance(message_text, str):
            message_text = "".join(part.get("text", "") for part in message_text)
        lines.append(f"{message['role']}: {message_text}\n")
    return "".join(lines)
