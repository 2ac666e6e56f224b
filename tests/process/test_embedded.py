"""One node alone: no platform, no seeds, its own data folder."""

import os
import signal
import unittest

import fleet

BUILD_DIR = os.environ.get("PEARBARROW_BUILD_DIR", "build")
KEY = "granite-cellar-key"


class Embedded(unittest.TestCase):
    def test_configuration_and_history_survive_a_kill(self):
        with fleet.Fleet(BUILD_DIR) as processes:
            engine = processes.start_engine("engine-1")
            node = processes.start_node("alone", "zone-a", seeds=[])
            node.wait_ready()
            version = node.apply(fleet.standard_objects([engine], [], {"granite-cellar": KEY}))
            caller = fleet.Caller(KEY)
            program = caller.open_program(node.caller)
            self.assertEqual(caller.call(node.caller, program, fleet.model_call(1, "one"))[0], 200)
            node.kill()

            node = processes.restart_node(node)
            node.wait_ready()
            self.assertEqual(node.operate("GET", "status")[2]["version"], version)
            status, _, body = caller.call(node.caller, program, fleet.model_call(2, "two"))
            self.assertEqual(status, 200, body)
            _, _, history = caller.history(node.caller, program)
            self.assertEqual(len(history["messages"]), 4)
            self.assertEqual(node.stop(), 0)

    def test_a_planned_stop_finishes_the_stream_under_way(self):
        with fleet.Fleet(BUILD_DIR) as processes:
            engine = processes.start_engine("engine-1", "--min-answer-tokens", "60",
                                            "--max-answer-tokens", "80", "--time-scale", "2")
            node = processes.start_node("alone", "zone-a", seeds=[])
            node.wait_ready()
            node.apply(fleet.standard_objects([engine], [], {"granite-cellar": KEY}))
            caller = fleet.Caller(KEY)
            program = caller.open_program(node.caller)
            stream = caller.stream(node.caller, program, fleet.model_call(1, "long", 200))
            events = stream.events()
            seen = [next(events)]
            node.send_signal(signal.SIGTERM)
            text, _, result = fleet.read_stream(seen + list(events))
            stream.close()
            self.assertIsNotNone(result)
            self.assertEqual(text, result["output"])
            self.assertEqual(node.wait_exit(), 0)


if __name__ == "__main__":
    unittest.main()
