"""Journal replicas are replaced when a disk or a node is lost, and sets grow when disks appear."""

import os
import shutil
import unittest

import fleet

BUILD_DIR = os.environ.get("PEARBARROW_BUILD_DIR", "build")
KEY = "granite-cellar-key"
REPAIR_SECONDS = 60
PATIENCE = "[timing]\nreplica_patience_ms = 1500\n"
SHARDS = 4
PROGRAMS = 8


class ReplicaReplacement(unittest.TestCase):
    def setUp(self):
        self.processes = fleet.Fleet(BUILD_DIR)
        self.addCleanup(self.processes.close)
        self.caller = fleet.Caller(KEY)

    def start(self, zones, extra=""):
        self.platform = self.processes.start_platform()
        engine = self.processes.start_engine("engine-1")
        self.nodes = self.processes.start_nodes(zones, self.platform, shard_count=SHARDS,
                                                extra=extra)
        version = self.nodes[0].apply(
            fleet.standard_objects([engine], [], {"granite-cellar": KEY}))
        for node in self.nodes:
            node.wait_version(version)
        self.programs = [self.caller.open_program(self.nodes[0].caller) for _ in range(PROGRAMS)]
        self.histories = {program: [] for program in self.programs}
        self.next_turns(self.nodes[0], 1)

    def next_turns(self, node, number):
        """One call for each program, and the history as it was answered."""
        for program in self.programs:
            status, _, body = self.caller.call(
                node.caller, program, fleet.model_call(number, f"turn {number} of {program}", 32))
            self.assertEqual(status, 200, body)
            self.histories[program] += [f"turn {number} of {program}", body["output"]]

    def check_histories(self, node):
        for program in self.programs:
            status, _, history = self.caller.history(node.caller, program)
            self.assertEqual(status, 200, history)
            self.assertEqual([message["content"] for message in history["messages"]],
                             self.histories[program])

    def shard_map(self, node):
        status, _, answer = node.operate("GET", "objects/shard_map/default")
        self.assertEqual(status, 200, answer)
        return answer["spec"]["shards"]

    def wait_replicas(self, node, accept, what):
        """Waits until each shard has three replicas, none is joining, and `accept` takes them."""
        def whole():
            shards = self.shard_map(node)
            return all(len(shard["replicas"]) == 3 and not shard.get("joining")
                       and accept(shard["replicas"]) for shard in shards) and shards
        try:
            return fleet.wait_for(whole, REPAIR_SECONDS, what)
        except fleet.FleetError as error:
            raise fleet.FleetError(f"{error}\n{self.shard_map(node)}") from error

    @staticmethod
    def nodes_of(replicas):
        return {name.split("@")[0] for name in replicas}

    def test_a_lost_disk_is_repaired_under_the_same_name(self):
        self.start(["zone-a", "zone-b", "zone-c"])
        lost = self.nodes[0]
        old = {name for shard in self.shard_map(lost) for name in shard["replicas"]
               if name.startswith("node-1@")}
        lost.kill()
        shutil.rmtree(os.path.join(self.processes.folder, "node-1.data"))
        self.nodes[0] = self.processes.restart_node(lost)
        self.nodes[0].wait_ready()
        self.wait_replicas(self.nodes[1], lambda names: not old & set(names)
                           and len(self.nodes_of(names)) == 3, "the emptied store to be replaced")
        self.next_turns(self.nodes[0], 2)
        self.check_histories(self.nodes[2])
        # The repaired replica counts: one of the others may go, and nothing is lost.
        self.nodes[1].kill()
        self.next_turns(self.nodes[0], 3)
        self.check_histories(self.nodes[2])

    def test_a_fourth_node_takes_the_place_of_one_that_died(self):
        self.start(["zone-a", "zone-b", "zone-c"], PATIENCE)
        fourth = self.processes.start_node("node-4", "zone-c", platform=self.platform,
                                           shard_count=SHARDS, extra=PATIENCE)
        fourth.wait_ready()
        self.nodes[2].kill()
        self.wait_replicas(fourth, lambda names: self.nodes_of(names) ==
                           {"node-1", "node-2", "node-4"}, "the fourth node to stand in")
        self.next_turns(fourth, 2)
        self.check_histories(self.nodes[1])
        self.nodes[0].kill()
        self.next_turns(fourth, 3)
        self.check_histories(self.nodes[1])

    def test_a_set_of_one_grows_when_disks_appear(self):
        self.start(["zone-a"])
        for index, zone in ((2, "zone-b"), (3, "zone-c")):
            self.nodes.append(self.processes.start_node(
                f"node-{index}", zone, platform=self.platform, shard_count=SHARDS))
        for node in self.nodes[1:]:
            node.wait_ready()
        self.wait_replicas(self.nodes[1], lambda names: len(self.nodes_of(names)) == 3,
                           "sets of three")
        self.nodes[0].kill()
        self.next_turns(self.nodes[1], 2)
        self.check_histories(self.nodes[2])


if __name__ == "__main__":
    unittest.main()
