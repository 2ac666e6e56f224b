"""Ports that are reserved for nodes before they start."""

import random
import socket
import subprocess
import sys
import unittest
from unittest import mock

import fleet

OTHER_PROCESS = """
import socket, sys
with socket.socket() as other:
    try:
        other.bind(("127.0.0.1", int(sys.argv[1])))
    except OSError:
        sys.exit(1)
"""


def draws_after(port):
    """Returns `port` first, then ports of which at least one is free."""
    return [port, *random.sample(range(fleet.FIRST_PORT, fleet.END_PORT), 100)]


class Ports(unittest.TestCase):
    def test_a_tcp_port_is_not_given_out_twice(self):
        port = fleet.free_tcp_port()
        with mock.patch("random.randrange", side_effect=draws_after(port)):
            self.assertNotEqual(fleet.free_tcp_port(), port)

    def test_a_udp_port_is_not_given_out_twice(self):
        port = fleet.free_udp_port()
        with mock.patch("random.randrange", side_effect=draws_after(port)):
            self.assertNotEqual(fleet.free_udp_port(), port)

    def test_another_process_does_not_get_a_reserved_port(self):
        port = fleet.free_tcp_port()
        other = subprocess.run([sys.executable, "-c", OTHER_PROCESS, str(port)], check=False)
        self.assertEqual(other.returncode, 1)

    def test_a_node_can_listen_on_a_reserved_port_again_and_again(self):
        port = fleet.free_tcp_port()
        for _ in range(2):
            with socket.create_server(("127.0.0.1", port)) as listener:
                with socket.create_connection(("127.0.0.1", port)):
                    listener.accept()[0].close()


if __name__ == "__main__":
    unittest.main()
