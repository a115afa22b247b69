"""Read the model, the class of work and the size of a chat completion."""

import json

from cranberrywick.errors import InvalidRequest, PromptTooLong, UnknownModel
from cranberrywick.filters.chain import Filter
from cranberrywick.filters.exchange import Exchange
from cranberrywick.model import Work
from cranberrywick.prompts import measure_prompt

__all__ = ["CompletionFilter"]

COMPLETIONS_PATH = "/v1/chat/completions"


class CompletionFilter(Filter):
    """Turns a chat completion's body into `Work`.

    The body's ``model`` is a model's name, or ``MODEL:CLASS`` for a class other
    than the model's default. Nothing else in a request sets the class, so that a
    caller can't raise its own priority.
    """

    def enter(self, exchange: Exchange) -> None:
        """Set the class, the targets, the work and the body for the endpoint.

        Raises `InvalidRequest` for a body that is not a chat completion,
        `UnknownModel` for an unknown model or class, and `PromptTooLong` when
        prompt and output exceed the model's context window.
        """
        document = _parse_object(exchange.body)
        model, class_name = self._model_and_class(exchange, document)
        prompt = measure_prompt(document)
        context_tokens = exchange.configuration.models_by_name[model].context_tokens
        if prompt.tokens + prompt.max_output_tokens > context_tokens:
            raise PromptTooLong(
                f"about {prompt.tokens} prompt tokens and {prompt.max_output_tokens} "
                f"output tokens do not fit the window of {context_tokens}"
            )
        targets = exchange.configuration.targets_by_class[class_name]
        exchange.class_name = class_name
        exchange.targets = targets
        exchange.stream = bool(document.get("stream", False))
        exchange.endpoint_path = COMPLETIONS_PATH
        exchange.endpoint_body = self._endpoint_body(exchange, document, model)
        exchange.work = Work(
            work_id=exchange.request_id,
            organisation=exchange.organisation,
            class_name=class_name,
            model=model,
            prompt_tokens=prompt.tokens,
            max_output_tokens=prompt.max_output_tokens,
            arrival=exchange.arrived,
            first_token_deadline=exchange.arrived + targets.first_token_seconds,
            deadline=exchange.arrived + targets.completion_seconds,
            prefix_keys=prompt.prefix_keys,
        )

    def _model_and_class(self, exchange: Exchange, document: dict) -> tuple[str, str]:
        requested = document.get("model")
        if not isinstance(requested, str):
            raise InvalidRequest("model: a model's name is needed")
        model, _, class_name = requested.partition(":")
        known = exchange.configuration.models_by_name.get(model)
        if known is None:
            raise UnknownModel(f"no model is named {model!r}")
        class_name = class_name or known.class_name
        if class_name not in exchange.configuration.targets_by_class:
            raise UnknownModel(f"no class of work is named {class_name!r}")
        return model, class_name

    def _endpoint_body(self, exchange: Exchange, document: dict, model: str) -> bytes:
        if document["model"] == model:
            # Encoding a body of a million tokens again would take tens of milliseconds.
            return exchange.body
        document["model"] = model
        return json.dumps(document).encode()


def _parse_object(body: bytes) -> dict:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidRequest("the body is not JSON") from error
    if not isinstance(document, dict):
        raise InvalidRequest("the body is not a JSON object")
    return document
