"""What a fleet on the virtual clock and one of processes do alike to their parts."""


class Orders:
    """Part of a fleet that has `record`, `kill_node`, `node`, `cell_of` and `lists`."""

    async def replace(self, name, new):
        """Takes a node away and starts a new, empty one for its cell."""
        cell = self.cell_of(name)
        self.kill_node(name)
        await self.node(new, cell)

    def kill_planner(self):
        self.record("killed", planner=True)
        self.lists.process.kill()
