"""Checks that no effect of a request that was answered as shed is ever seen.

A write first stores objects, which nobody sees, and has its effect when a change of rows refers to them.  One
change may do this for the writes of several requests, so an effect belongs to the requests that stored its
objects, and only without objects to the request that sent the change.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

from rushmux.files import layout
from rushmux.nodewire import messages

SHED_TEXT = "shed"
"""How the text of a status begins that promises that nothing was done."""
BLOCK_KEY_PREFIX = "b/"


def objects_of(change: messages.Change) -> list[str]:
    """The names of the objects to which the block rows of a change refer."""
    return sorted(
        {
            extent.object_name
            for row in change.puts
            if row.key.startswith(BLOCK_KEY_PREFIX)
            for extent in layout.unpack_block(row.value)
        }
    )


def shed_requests(answers: Iterable[Mapping[str, Any]]) -> set[str]:
    """The requests, as session and number, that were answered as shed."""
    return {
        f"{answer['session']}.{answer['number']}"
        for answer in answers
        if answer["status"] and answer["text"].startswith(SHED_TEXT)
    }


def breaches(
    shed: set[str], stored: Iterable[tuple[str, str]], effects: Iterable[Mapping[str, Any]]
) -> list[str]:
    """Describes the effects of shed requests.

    Args:
        shed: The requests that were answered as shed.
        stored: Each object that an attempt stored: the request and the object's name.
        effects: The rows of changes that took effect.
    """
    request_of_object = {name: request for request, name in stored if request in shed}
    found: dict[str, list[str]] = defaultdict(list)
    for effect in effects:
        objects = effect.get("objects", ())
        for name in objects:
            if name in request_of_object:
                found[request_of_object[name]].append(effect["op"])
        if not objects and (request := _request_of(effect["op"])) in shed:
            found[request].append(effect["op"])
    return [
        f"{request}: answered as shed, but seen through {operations[0]}"
        for request, operations in found.items()
    ]


def _request_of(operation: str) -> str:
    """The session and number of the request that an operation belongs to."""
    origin, request = operation.split("/", 1)
    return f"{origin.rpartition('.')[0]}/{request}"
