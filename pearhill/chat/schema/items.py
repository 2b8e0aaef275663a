"""Items of the input of `POST /v1/responses`, and their content parts.

Source: OpenAI's API reference, "Responses", `input`.
"""

from __future__ import annotations

from typing import Any, Literal

from msgspec import Struct

from pearhill.chat.schema.reading import require

# The required fields of an item, by its type. Reasoning items are accepted and not forwarded.
REQUIRED_FIELDS: dict[str, tuple[str, ...]] = {
    "message": ("role", "content"),
    "function_call": ("call_id", "name", "arguments"),
    "function_call_output": ("call_id", "output"),
    "reasoning": (),
}


class InputText(Struct, tag_field="type", tag="input_text"):
    """Text of an input message."""

    text: str


class InputImage(Struct, tag_field="type", tag="input_image"):
    """An image: its URL, or its content as a `data:` URL."""

    image_url: str | None = None
    file_id: str | None = None
    detail: Literal["auto", "low", "high"] = "auto"


class InputFile(Struct, tag_field="type", tag="input_file"):
    """A file: the id of one that the replica has stored, or its content in base64."""

    file_id: str | None = None
    file_data: str | None = None
    filename: str | None = None
    file_url: str | None = None


class InputAudio(Struct, tag_field="type", tag="input_audio"):
    """Audio, in the format of chat requests."""

    input_audio: dict[str, Any]


class OutputText(Struct, tag_field="type", tag="output_text"):
    """Text of an earlier answer."""

    text: str


class OutputRefusal(Struct, tag_field="type", tag="refusal"):
    """A refusal in an earlier answer."""

    refusal: str


Part = InputText | InputImage | InputFile | InputAudio | OutputText | OutputRefusal


class Item(Struct):
    """One item of the input. Messages may omit `type`, which is why it cannot be the tag of separate records."""

    type: str = "message"
    role: Literal["user", "assistant", "system", "developer"] | None = None
    content: str | list[Part] | None = None
    call_id: str | None = None
    name: str | None = None
    arguments: str | None = None
    output: str | list[InputText] | None = None

    def check(self, path: str) -> None:
        """Check the item at this path.

        Raises ApiError if a required field is missing, or if the content is invalid for the item's type or role.
        """
        require(
            self.type in REQUIRED_FIELDS,
            f"Items of type {self.type!r} are not supported here; allowed: {', '.join(REQUIRED_FIELDS)}.",
            f"{path}.type",
        )
        for name in REQUIRED_FIELDS[self.type]:
            require(
                getattr(self, name) is not None,
                f"Missing required parameter: '{path}.{name}'.",
                f"{path}.{name}",
                "missing_required_parameter",
            )
        if self.type != "message" or not isinstance(self.content, list):
            return
        require(bool(self.content), "A message needs content.", f"{path}.content")
        for number, part in enumerate(self.content):
            part_path = f"{path}.content[{number}]"
            self._check_kind(part, f"{part_path}.type")
            _check_source(part, part_path)

    def _check_kind(self, part: Part, path: str) -> None:
        """Check that the message's role allows content parts of this kind."""
        is_output = isinstance(part, OutputText | OutputRefusal)
        if self.role == "assistant":
            require(is_output, "An assistant's message takes output_text and refusal parts.", path)
        elif self.role == "user":
            require(not is_output, "A user's message takes input parts.", path)
        else:
            require(isinstance(part, InputText), "Instructions take input_text parts.", path)


def _check_source(part: Part, path: str) -> None:
    """Check that an image or a file is given in a form that does not refer to data stored by the dispatcher."""
    if isinstance(part, InputImage):
        require(
            bool(part.image_url),
            "Images come as image_url; files are not kept here.",
            f"{path}.image_url",
            "missing_required_parameter",
        )
    if isinstance(part, InputFile):
        require(
            bool(part.file_data or part.file_id) and not part.file_url,
            "A file comes as file_data or file_id.",
            path,
            "unsupported_value",
        )
