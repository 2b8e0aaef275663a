"""Tools of a chat request, and the client's choice among them.

Source: OpenAI's API reference, "Chat Completions", `tools` and `tool_choice`.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

from pearhill.chat.schema.reading import JsonObject, require

Identifier = Annotated[str, Meta(min_length=1, max_length=64, pattern="^[a-zA-Z0-9_.-]+$")]


class FunctionSpec(Struct):
    """A function that the model may call. `parameters`: a JSON Schema."""

    name: Identifier
    description: str | None = None
    parameters: JsonObject | None = None
    strict: bool | None = None


class FunctionTool(Struct, tag_field="type", tag="function"):
    """A function in the list of tools."""

    function: FunctionSpec


class CustomSpec(Struct):
    """A tool whose input is free text. `format`: a grammar for that text."""

    name: Identifier
    description: str | None = None
    format: JsonObject | None = None


class CustomTool(Struct, tag_field="type", tag="custom"):
    """A custom tool in the list of tools."""

    custom: CustomSpec


Tool = FunctionTool | CustomTool


class ToolName(Struct):
    """The name of a chosen tool."""

    name: str


class FunctionChoice(Struct, tag_field="type", tag="function"):
    """The model must call this function."""

    function: ToolName


class CustomChoice(Struct, tag_field="type", tag="custom"):
    """The model must call this custom tool."""

    custom: ToolName


class AllowedTools(Struct):
    """A subset of the tools, and whether one of them must be called."""

    mode: Literal["auto", "required"]
    tools: list[JsonObject]


class AllowedChoice(Struct, tag_field="type", tag="allowed_tools"):
    """The model may only call tools of a subset."""

    allowed_tools: AllowedTools


ToolChoice = Literal["none", "auto", "required"] | FunctionChoice | CustomChoice | AllowedChoice


def check_tool_choice(choice: ToolChoice | None, tools: list[Tool]) -> None:
    """Raises ApiError if the chosen tool is not in `tools`."""
    if isinstance(choice, FunctionChoice):
        functions = {tool.function.name for tool in tools if isinstance(tool, FunctionTool)}
        require(
            choice.function.name in functions,
            f"There is no function {choice.function.name!r} among tools.",
            "tool_choice.function.name",
        )
    elif isinstance(choice, CustomChoice):
        custom_tools = {tool.custom.name for tool in tools if isinstance(tool, CustomTool)}
        require(
            choice.custom.name in custom_tools,
            f"There is no custom tool {choice.custom.name!r} among tools.",
            "tool_choice.custom.name",
        )
