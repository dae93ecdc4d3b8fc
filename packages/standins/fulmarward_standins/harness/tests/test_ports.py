import unittest

from fulmarward_standins.harness import find_ports


class FindPortsTest(unittest.TestCase):
    def test_port_is_not_returned_again_before_its_process_listens(self):
        """Guards against two processes of one test that are given the same port."""
        ports = [port for _ in range(60) for port in find_ports(10)]
        self.assertEqual(len(set(ports)), len(ports))
