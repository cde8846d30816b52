"""Operators' actions on a fleet under test, the same on the virtual clock and between real processes."""

import asyncio

from rushmux.planner import admin_client
from rushmux.planner.errors import CommandRejectedError, PlannerUnavailableError

RETRY_TIMEOUT = 60.0  # seconds for which an operator repeats a command that got no answer
RETRY_PAUSE = 0.5  # seconds between two attempts


class FleetOperations:
    """Part of a fleet that has `record`, `kill_node`, `node`, `cell_of` and `endpoint_source`."""

    async def replace_node(self, name: str, new: str) -> None:
        """Removes a node and starts a new, empty one for its cell."""
        cell = self.cell_of(name)
        self.kill_node(name)
        await self.start_node(new, cell)

    def kill_planner(self) -> None:
        """Kills the only planner's process."""
        self.record("killed", planner=True)
        self.endpoint_source.process.kill()

    async def send_policy_command(self, label: str, verb: str, **fields) -> None:
        """Sends a policy command until an answer comes, under one idempotency key.

        The answer goes to `operator_commands`, under `label`.  For fleets that have `operator_commands` and
        `planner_addresses`.
        """
        key = {"client": f"person{len(self.operator_commands)}", "n": 1, "by": "somebody"}
        row = {"word": label, "verb": verb, "said": "", "number": fields.get("number")}
        self.operator_commands.append(row)
        deadline = self.loop.time() + RETRY_TIMEOUT
        while self.loop.time() < deadline:
            try:
                row["said"] = (
                    await admin_client.send_policy_command(self.planner_addresses, verb, **fields, **key)
                ).said
                break
            except PlannerUnavailableError:
                await asyncio.sleep(RETRY_PAUSE)
            except CommandRejectedError as fault:
                row["said"] = f"refused: {fault}"
                break
        if row["said"].endswith("is staged"):
            row["number"] = int(row["said"].split()[0])
        self.record("told_person", **row)
