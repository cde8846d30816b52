"""Operators' commands about the fleet's members: show, drain, undrain."""

import asyncio

import structlog

from rushmux.fleet.membership import MemberKind, MemberState
from rushmux.nodewire import messages
from rushmux.planner import stored_commands
from rushmux.planner.commands import FleetVerb
from rushmux.planner.endpoint_publisher import EndpointPublisher
from rushmux.planner.errors import NotLeaderError, ProposalRejectedError, ProposalUndecidedError
from rushmux.planner.fleet_state import FleetState
from rushmux.planner.replicated_log import ReplicatedLog

DRAIN_COMMANDS = {  # verb -> function from a node's name to the stored command
    FleetVerb.DRAIN: stored_commands.drain,
    FleetVerb.UNDRAIN: stored_commands.undrain,
}


class FleetAdmin:
    """Executes commands, and answers with the resulting state of the fleet."""

    def __init__(
        self, state: FleetState, publisher: EndpointPublisher, log: structlog.typing.FilteringBoundLogger
    ):
        self._state = state
        self._publisher = publisher
        self._log = log

    async def execute_replicated(
        self, replicated_log: ReplicatedLog, command: messages.Order
    ) -> messages.Ordered:
        """Executes a command once the planners have committed it."""
        if not replicated_log.is_leader:
            error = NotLeaderError(replicated_log.leader, unknown="no planner known here")
            return messages.Ordered(fault=str(error), elsewhere=True)
        if command.verb in DRAIN_COMMANDS and command.member in self._state.membership.members:
            try:
                result = await replicated_log.propose(DRAIN_COMMANDS[command.verb](command.member))
            except ProposalRejectedError as error:
                return messages.Ordered(fault=str(error), elsewhere=isinstance(error, ProposalUndecidedError))
            if result.startswith("refused"):
                return messages.Ordered(fault=result)
        return self.execute(command)

    def execute(self, command: messages.Order) -> messages.Ordered:
        """Executes a command immediately."""
        reason = self._rejection_reason(command)
        if reason is None and command.verb in DRAIN_COMMANDS:
            self._change_drain(FleetVerb(command.verb), command.member)
        answer = messages.Ordered(fault=reason or "", term=self._state.term, version=self._publisher.version)
        self._add_members(answer)
        return answer

    def _rejection_reason(self, command: messages.Order) -> str | None:
        if command.verb == FleetVerb.SHOW:
            return None
        if command.verb not in DRAIN_COMMANDS:
            return f"there is no order '{command.verb}'; there are {', '.join(FleetVerb)}"
        member = self._state.membership.members.get(command.member)
        if member is None or member.kind != MemberKind.NODE:
            return f"there is no node '{command.member}'"
        if command.verb == FleetVerb.DRAIN and member.state == MemberState.REMOVED:
            return f"node '{command.member}' is gone"
        return None

    def _change_drain(self, verb: FleetVerb, node: str) -> None:
        self._log.info("admin.fleet_command", verb=verb.value, member=node)
        now = asyncio.get_running_loop().time()
        if verb is FleetVerb.DRAIN:
            self._state.drained.add(node)
            changes = self._state.membership.drain(now, node)
        else:
            self._state.drained.discard(node)
            changes = self._state.membership.undrain(now, node)
        self._publisher.on_member_changes(changes)

    def _add_members(self, answer: messages.Ordered) -> None:
        for member in self._state.membership.members.values():
            node = self._state.nodes.get(member.name)
            answer.members.add(
                member=member.name,
                kind=member.kind,
                condition=member.state or "",
                reason=self._state.reasons.get(member.name, "from the store"),
                start=member.incarnation,
                out=member.in_flight,
                cell=node.entry.cell if node is not None else 0,
                zone=node.entry.zone if node is not None else "",
            )
