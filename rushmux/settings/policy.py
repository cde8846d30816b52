"""The part of a deployment file that the fleet decides in common.

To text, back, and what of it may change while an edge runs.  No I/O.  The text is JSON with its keys in
order, so that the same policy has the same checksum everywhere.
"""

import copy
import json

from rushmux.routes.reload import abbreviate, differing_places
from rushmux.settings.deployment import Deployment, DeploymentError, build

DECIDES = ("lanes", "roles", "plans", "folders", "fleet", "routes", "bounds", "buffer")
LIVE = ("limit", "burst")  # of a plan: what the scheduler takes over by its shares of limits


def serialize(raw: dict) -> str:
    """The policy in a file's content."""
    return json.dumps(
        {name: raw[name] for name in DECIDES if name in raw},
        sort_keys=True,
        separators=(",", ":"),
        ensure_ascii=False,
    )


def limit_rows(deployment: Deployment) -> list[tuple[str, float, float]]:
    """(folder, limit, burst) of each folder that has a limit, in the order of their names."""
    plans = deployment.settings.plans
    return [
        (name, plans[folder.plan].limit, plans[folder.plan].burst)
        for name, folder in sorted(deployment.folders.items())
        if plans[folder.plan].limit
    ]


def merge(own: Deployment, policy: str, source: str) -> Deployment:
    """The deployment of an own file under a policy, proved; DeploymentError with all that is wrong."""
    try:
        decided = json.loads(policy)
    except ValueError as fault:
        raise DeploymentError(source, [("/", f"is no JSON: {fault}")]) from fault
    if not isinstance(decided, dict):
        raise DeploymentError(source, [("/", "a policy holds one object")])
    unknown = [name for name in decided if name not in DECIDES]
    if unknown:
        # A newer program's policy that is followed in part would be another policy.
        raise DeploymentError(
            source, [(f"/{name}", "this program knows no such part of a policy") for name in unknown]
        )
    raw = {name: value for name, value in own.raw.items() if name not in DECIDES}
    return build({**copy.deepcopy(raw), **decided}, source)


def restart_obstacles(now: Deployment, proposed: Deployment) -> list[str]:
    """What keeps a policy from being taken over without a start.

    That is all that differs but routes, and limits and bursts of plans that keep one.
    """
    found = []
    for place in differing_places(now.raw, proposed.raw):
        match place.split("/"):
            case ["", "plans", plan, field] if field in LIVE:
                values = [made.raw["plans"].get(plan, {}).get(field) for made in (now, proposed)]
                if all(values):
                    continue
        found.append(f"{place}: changes only with a start")
    return list(abbreviate(found))
