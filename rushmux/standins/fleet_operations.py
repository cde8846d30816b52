"""Operators' actions on a fleet under test, on the virtual clock or with real processes."""

import asyncio

from rushmux.planner import admin_client
from rushmux.planner.errors import CommandRejectedError, PlannerUnavailableError

RETRY_TIMEOUT = 60.0  # seconds for which an operator repeats an unanswered command
RETRY_PAUSE = 0.5  # seconds between attempts


class FleetOperations:
    """Mixin for fleets with `record`, `kill_node`, `start_node`, `cell_of` and `endpoint_source`."""

    async def replace_node(self, name: str, new: str) -> None:
        """Kills a node and starts a new, empty one for its cell."""
        cell = self.cell_of(name)
        self.kill_node(name)
        await self.start_node(new, cell)

    def kill_planner(self) -> None:
        """Kills the process of the only planner."""
        self.record("killed", planner=True)
        self.endpoint_source.process.kill()

    async def send_policy_command(self, label: str, verb: str, **fields) -> None:
        """Sends a policy command, with one idempotency key, until it is answered.

        Adds the answer to `operator_commands` under `label`.  The fleet needs `operator_commands` and
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
            except CommandRejectedError as error:
                row["said"] = f"refused: {error}"
                break
        if row["said"].endswith("is staged"):
            row["number"] = int(row["said"].split()[0])
        self.record("told_person", **row)
