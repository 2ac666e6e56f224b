"""The settings file that the platform fills in from the template is accepted by a fleet node."""

import copy
import json
import os
import re
import subprocess
import tempfile
import unittest

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BUILD_DIR = os.path.abspath(os.environ.get("PEARBARROW_BUILD_DIR", os.path.join(ROOT, "build")))
PROGRAM = os.path.join(BUILD_DIR, "bin", "pearbarrow-fleet")
TEMPLATE = os.path.join(ROOT, "deploy", "node.toml.template")
GAP = re.compile(r"\{\{([#^/]?)([^{}|]+)(\|json)?\}\}")

FIELDS = {
    "node_name": "edge-1", "role": "edge", "ip": "127.0.0.1", "zone": "zone-a",
    "zones": {"zone-a": "north", "zone-b": "south"},
    "listen": {"front": "127.0.0.1:7001", "ready": "127.0.0.1:7002", "control": "127.0.0.1:7003"},
    "port_range": [7300, 7315], "seeds": ["127.0.0.1:7003", "127.0.0.1:7004"], "bootstrap": True,
    "limits": {"memory_mb": 220}, "data_dir": None,
    "fault_tolerance": {"machines": 1, "zones": 0},
    "bounds": {"drain_ms": 2000, "grace_s": 8, "config_ms": 2000},
    "provider": {"address": "127.0.0.1:7005"},
}


def entries(value):
    """The entries that a section is repeated for: their keys, values and whether one is last."""
    if value is None or value is False:
        return []
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    else:
        items = [(None, value)]
    return [(key, item, index + 1 == len(items)) for index, (key, item) in enumerate(items)]


def look_up(name, scopes):
    key, item, is_last = scopes[-1]
    if name in (".", "@", ","):
        return {".": item, "@": key, ",": None if is_last else ","}[name]
    for _, value, _ in reversed(scopes):
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
        if value is not None:
            return value
    return None


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(text_of(item) for item in value)
    return value if isinstance(value, str) else json.dumps(value)


def render(template, scopes):
    """Fills in a template by the rules of the platform."""
    result, at = "", 0
    while gap := GAP.search(template, at):
        result += template[at:gap.start()]
        sign, name, as_json = gap.groups()
        value = look_up(name, scopes)
        at = gap.end()
        if sign:
            end = template.index("{{/" + name + "}}", at)
            inner = template[at:end]
            if sign == "#":
                result += "".join(render(inner, scopes + [entry]) for entry in entries(value))
            elif not entries(value):
                result += render(inner, scopes)
            at = end + len("{{/" + name + "}}")
        else:
            result += json.dumps(value) if as_json else text_of(value)
    return result + template[at:]


def rendered(fields):
    with open(TEMPLATE, encoding="utf-8") as file:
        return render(file.read(), [(None, fields, True)])


def fields_of(role, grace_s):
    fields = copy.deepcopy(FIELDS)
    if grace_s is None:
        del fields["bounds"]["grace_s"]
    else:
        fields["bounds"]["grace_s"] = grace_s
    if role == "storage":
        fields.update(role=role, node_name="storage-1", listen={}, data_dir="/data/storage")
    return fields


def check(text):
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(text)
        file.flush()
        return subprocess.run([PROGRAM, "--settings", file.name, "--check-settings"],
                              capture_output=True, text=True, timeout=20, check=False)


class SettingsTemplate(unittest.TestCase):
    def test_stop_timeout_follows_the_grace_of_the_deployment(self):
        for role in ("edge", "storage"):
            for grace_s in (8, 7.5, 5, 0.5, 900):
                with self.subTest(role=role, grace_s=grace_s):
                    text = rendered(fields_of(role, grace_s))
                    self.assertIn(f"\nstop_timeout_s = {grace_s}\n", text)
                    result = check(text)
                    self.assertEqual(result.returncode, 0, result.stdout + result.stderr + text)

    def test_stop_timeout_is_left_out_when_the_deployment_gives_no_grace(self):
        for role in ("edge", "storage"):
            text = rendered(fields_of(role, None))
            self.assertNotIn("stop_timeout", text)
            result = check(text)
            self.assertEqual(result.returncode, 0, result.stdout + result.stderr + text)

    def test_grace_that_is_no_time_is_rejected_with_its_field(self):
        result = check(rendered(fields_of("edge", 0)))
        self.assertEqual(result.returncode, 2, result.stdout + result.stderr)
        self.assertIn("stop_timeout_s", result.stdout + result.stderr)


if __name__ == "__main__":
    unittest.main()
