"""Content of a stand-in engine's answers, fixed by prompt, model and weights."""

from __future__ import annotations

import hashlib
import json

from attrs import frozen

#: Creation time in every answer, so that a resumed stream repeats its bytes.
CREATED_S = 1_700_000_000


class BadBodyError(Exception):
    """A request body is not a valid generation request."""


@frozen
class Generation:
    """One generation request as the engine understood it."""

    chat: bool
    stream: bool
    include_usage: bool
    model: str
    prompt: bytes
    tokens: int
    seed: str

    @property
    def answer_id(self) -> str:
        """Identifier in the answer's JSON."""
        return ("chatcmpl-" if self.chat else "cmpl-") + self.seed

    @property
    def events(self) -> int:
        """Events before the end marker: tokens, finish and usage."""
        return self.tokens + 1 + self.include_usage

    @property
    def prompt_tokens(self) -> int:
        """Prompt length in tokens, at four bytes each."""
        return max(1, len(self.prompt) // 4)


def parse_generation(
    path: str, body: bytes, weights: str, default_tokens: int
) -> Generation:
    """Read a request body; raises `BadBodyError`."""
    try:
        fields = json.loads(body)
        chat = path.endswith("/chat/completions")
        prompt = _chat_prompt(fields) if chat else str(fields["prompt"])
        model = str(fields["model"])
        tokens = fields.get("max_completion_tokens") or fields.get("max_tokens")
        tokens = int(tokens or default_tokens)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise BadBodyError(f"bad body: {error!r}") from error
    options = fields.get("stream_options") or {}
    text = prompt.encode()
    seed = hashlib.blake2b(digest_size=6, key=weights.encode()[:64])
    seed.update(model.encode() + b"\0" + text)
    return Generation(
        chat=chat,
        stream=bool(fields.get("stream")),
        include_usage=bool(options.get("include_usage")),
        model=model,
        prompt=text,
        tokens=max(1, tokens),
        seed=seed.hexdigest(),
    )


def token(generation: Generation, number: int) -> str:
    """Return the token with this number, counted from 1."""
    return f"{generation.seed[:4]}-{number} "


def content(generation: Generation) -> str:
    """Return the whole generated text."""
    return "".join(token(generation, n) for n in range(1, generation.tokens + 1))


class EventWriter:
    """Writes the events of one stream; the JSON around a token is made once."""

    def __init__(self, generation: Generation) -> None:
        self._generation = generation
        mark = "@TOKEN@"
        text = json.dumps(self._chunk([self._choice(mark, None)]))
        before, after = text.split(mark)
        self._before = before
        self._after = after + "\n\n"

    def event(self, number: int) -> bytes:
        """Return the event with this number, counted from 1."""
        generation = self._generation
        if number <= generation.tokens:
            return (
                f"id: {number}\ndata: {self._before}"
                f"{token(generation, number)}{self._after}"
            ).encode()
        if number == generation.tokens + 1:
            chunk = self._chunk([self._choice("", "stop")])
        else:
            chunk = {**self._chunk([]), "usage": usage(generation)}
        return f"id: {number}\ndata: {json.dumps(chunk)}\n\n".encode()

    def end(self) -> bytes:
        """Return the end marker; its number shows whether events are missing."""
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

    def _choice(self, text: str, finish: str | None) -> dict[str, object]:
        if not self._generation.chat:
            return {"index": 0, "text": text, "finish_reason": finish}
        delta = {"role": "assistant", "content": text}
        return {"index": 0, "delta": delta, "finish_reason": finish}


def whole_answer(generation: Generation) -> bytes:
    """Return the body of an answer that isn't streamed."""
    text = content(generation)
    choice: dict[str, object] = {"index": 0, "finish_reason": "stop"}
    if generation.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    answer = {
        "id": generation.answer_id,
        "object": "chat.completion" if generation.chat else "text_completion",
        "created": CREATED_S,
        "model": generation.model,
        "choices": [choice],
        "usage": usage(generation),
    }
    return json.dumps(answer).encode()


def usage(generation: Generation) -> dict[str, int]:
    """Return the token counts of a whole answer."""
    prompt = generation.prompt_tokens
    return {
        "prompt_tokens": prompt,
        "completion_tokens": generation.tokens,
        "total_tokens": prompt + generation.tokens,
    }


def _chat_prompt(fields: dict[str, object]) -> str:
    lines = []
    for message in fields["messages"]:
        text = message.get("content") or ""
        if not isinstance(text, str):
            text = "".join(part.get("text", "") for part in text)
        lines.append(f"{message['role']}: {text}\n")
    return "".join(lines)
