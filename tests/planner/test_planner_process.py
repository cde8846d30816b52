"""The planner as a process: killed while clients work, and controlled from the command line."""

import asyncio
import copy
import json
from pathlib import Path

from click.testing import CliRunner

from rushmux.cli.main import main
from rushmux.settings import deployment
from rushmux.standins import scenario as scenarios
from rushmux.standins import script
from rushmux.standins.checker import Checker
from rushmux.standins.processes import ProcessFleet

RAW = json.loads(Path(deployment.__file__).with_name("example.json").read_text())
MAX_DELAY = 0.25  # seconds; maximum delay of a message between processes on a busy machine


def test_a_planner_is_killed_twice_while_clients_work(tmp_path):
    raw = copy.deepcopy(RAW)
    raw["fleet"]["gateways"] = 2
    path = tmp_path / "deployment.json"
    path.write_text(json.dumps(raw))
    loaded_deployment = deployment.load(path)
    events = script.parse("length 9\nat 2 trouble node1 silent for 2\nat 4 kill node2\nat 5 start node2\n")

    async def scenario():
        fleet = ProcessFleet(path, loaded_deployment, tmp_path, 5, records=True, unit=0.004, planner=True)
        try:
            await fleet.start(3, 2)
            port = fleet.endpoint_source.port
            address = f"127.0.0.1:{port}"

            async def killer():
                for _ in range(2):
                    await asyncio.sleep(2.5)
                    fleet.kill_planner()
                    await asyncio.sleep(0.7)
                    await fleet.start_single_planner(port)

            task = asyncio.ensure_future(killer())
            await scenarios.run_day(fleet, events, scenarios.Load(0.4), 5)
            await task
            # The last start has restored the fleet's state.
            await asyncio.sleep(2.5)
            shown = await asyncio.to_thread(CliRunner().invoke, main, ["fleet", "show", "--planner", address])
            drained = await asyncio.to_thread(
                CliRunner().invoke, main, ["fleet", "drain", "node0", "--planner", address, "--wait", "20"]
            )
            return fleet, shown, drained
        finally:
            await fleet.stop()

    fleet, shown, drained = asyncio.run(scenario())
    records = fleet.all_records()
    breaches = Checker(records, loaded_deployment, MAX_DELAY).breaches()
    assert not breaches
    answers = [row for row in records if row["kind"] == "answer"]
    assert len(answers) > 100 and sum(row["status"] in (0, 1) for row in answers) > 0.8 * len(answers)
    assert "term 3" in shown.output and shown.output.count(" ready ") == 5
    assert drained.exit_code == 0 and "may be stopped" in drained.output


def test_commands_without_a_planner_or_a_store_end_with_a_plain_error(tmp_path):
    result = CliRunner().invoke(main, ["fleet", "show", "--planner", "127.0.0.1:9"])
    assert result.exit_code == 1 and "127.0.0.1:9" in result.output and "Traceback" not in result.output
    (tmp_path / "p").write_bytes(b"not a store" * 50)
    result = CliRunner().invoke(main, ["planner", "--cells", "2", "--data", str(tmp_path / "p")])
    assert result.exit_code == 1 and "not a planner's membership store" in result.output
