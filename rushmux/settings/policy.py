"""The policy: the part of a deployment file that the fleet decides in common.

Its text is JSON with sorted keys, so that equal policies have equal checksums everywhere.  No I/O.
"""

import copy
import json

from rushmux.routes.reload import abbreviate, differing_places
from rushmux.settings.deployment import Deployment, DeploymentError, build

POLICY_SECTIONS = ("lanes", "roles", "plans", "folders", "fleet", "routes", "bounds", "buffer")
LIVE_PLAN_FIELDS = ("limit", "burst")  # applied at run time through the shares of limits


def serialize(raw: dict) -> str:
    """Returns the policy in a file's object as text."""
    return json.dumps(
        {name: raw[name] for name in POLICY_SECTIONS if name in raw},
        sort_keys=True,
        separators=(",", ":"),
        ensure_ascii=False,
    )


def limit_rows(deployment: Deployment) -> list[tuple[str, float, float]]:
    """Returns (folder, limit, burst) of each folder that has a limit, sorted by name."""
    plans = deployment.settings.plans
    return [
        (name, plans[folder.plan].limit, plans[folder.plan].burst)
        for name, folder in sorted(deployment.folders.items())
        if plans[folder.plan].limit
    ]


def merge(own: Deployment, policy: str, source: str) -> Deployment:
    """Returns the deployment `own` with the sections of a policy.

    Raises:
        DeploymentError: The policy or the result has faults; all are listed.
    """
    try:
        decided = json.loads(policy)
    except ValueError as error:
        raise DeploymentError(source, [("/", f"is no JSON: {error}")]) from error
    if not isinstance(decided, dict):
        raise DeploymentError(source, [("/", "a policy holds one object")])
    unknown = [name for name in decided if name not in POLICY_SECTIONS]
    if unknown:
        # Applied in part, a newer program's policy would be a different one.
        raise DeploymentError(
            source, [(f"/{name}", "this program knows no such part of a policy") for name in unknown]
        )
    raw = {name: value for name, value in own.raw.items() if name not in POLICY_SECTIONS}
    return build({**copy.deepcopy(raw), **decided}, source)


def restart_obstacles(current: Deployment, proposed: Deployment) -> list[str]:
    """Returns the differences that need a restart of an edge.

    Routes can change at run time, and so can the limits and bursts of plans that keep having one.
    """
    found = []
    for place in differing_places(current.raw, proposed.raw):
        match place.split("/"):
            case ["", "plans", plan, field] if field in LIVE_PLAN_FIELDS:
                values = [made.raw["plans"].get(plan, {}).get(field) for made in (current, proposed)]
                if all(values):
                    continue
        found.append(f"{place}: changes only with a start")
    return list(abbreviate(found))
