"""The load driver against real edges over sockets."""

import asyncio
import copy
import json
from pathlib import Path

import pytest

from rushmux.lab import load
from rushmux.settings import deployment
from rushmux.standins.processes import ProcessFleet

EXAMPLE = json.loads(Path(deployment.__file__).with_name("example.json").read_text())


def test_files_are_written_and_read_through_running_edges(make_experiment, tmp_path):
    path = tmp_path / "deployment.json"
    path.write_text(json.dumps(copy.deepcopy(EXAMPLE)))
    experiment = make_experiment(workload={"load": 0.1}, machine={"unit": 0.03})

    async def drive_running_edge():
        fleet = ProcessFleet(path, deployment.load(path), tmp_path, 5, unit=0.001)
        try:
            await fleet.start(2, 1)
            return await asyncio.to_thread(
                load.drive, experiment, 1, 2.0, [fleet.edges[0].address], ["limon", "golfo"]
            )
        finally:
            await fleet.stop()

    lines, all_answered = asyncio.run(drive_running_edge())
    assert all_answered and "succeeded" in lines[0] and "lost" not in lines[0]
    assert [line.split()[0] for line in lines[1:]] == ["write", "read"]


def test_an_unreachable_edge_is_named_in_the_error(make_experiment):
    with pytest.raises(load.LoadTargetError) as error:
        load.drive(make_experiment(), 1, 1.0, [("127.0.0.1", 9)], ["limon"])
    assert "127.0.0.1:9" in str(error.value)
