#!/usr/bin/env python3
"""Guards against example settings, templates and configuration texts that the programs reject, and invalid settings that
--check accepts."""

import pathlib
import secrets
import subprocess
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "scripts" / "lib"))
import platform_system  # noqa: E402

BUILD = pathlib.Path(sys.argv.pop(1))
ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples"
KEY_FILE = "/etc/oriolehaven/master.key"
PROGRAMS = {"agent.ini": "oriole-agent", "balancer.ini": "oriole-balancer", "control.ini": "oriole-control"}

# (file, text to replace, replacement, strings that the error message must contain)
MISTAKES = [
    ("agent.ini", "slots=4", "slots=0", ["[agent]", "slots", '"0"', "expected"]),
    ("agent.ini", "slots=4", "slot=4", ["[agent]", "slot", "unknown key"]),
    ("agent.ini", "level=info", "level=loud", ["[log]", "level", '"loud"', "expected"]),
    ("balancer.ini", "tcp://", "udp://", ["[control]", "replicas", "udp://", "expected tcp://IPV4:PORT"]),
    ("balancer.ini", ":7200", "", ["[balancer]", "relay", "expected IPV4:PORT"]),
    ("control.ini", "listen=tcp://", "listen=", ["[control]", "listen", "expected tcp://IPV4:PORT"]),
]


class Examples(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.key = pathlib.Path(self.folder.name, "master.key")
        self.key.write_text(secrets.token_hex(32))

    def check(self, user, name, text="", replacement=""):
        path = pathlib.Path(self.folder.name, name)
        path.write_text((EXAMPLES / user / name).read_text().replace(KEY_FILE, str(self.key))
                        .replace(text, replacement))
        return subprocess.run([BUILD / "daemons" / PROGRAMS[name], "--settings", path, "--check"],
                              capture_output=True, text=True, timeout=10)

    def test_settings(self):
        for user in ("foundation", "shire"):
            for name in PROGRAMS:
                result = self.check(user, name)
                self.assertEqual(result.returncode, 0, f"{user}/{name}: {result.stderr}")

    def test_agent_template(self):
        """Guards against a template that yields invalid settings where the platform gives the margin of the limit of
        new flows, or gives none."""
        address = "127.0.0.1:7000"
        fields = {"NodeName": "a", "Zone": "z", "Ip": "127.0.0.1", "app": address, "HeartbeatMs": 500, "Seeds": [address],
                  "InternalPortRange": [7720, 7735],
                  "BindAddrs": dict.fromkeys(("DatagramAddr", "outbound", "Control", "Readiness"), address)}
        template = (ROOT / "deploy" / "templates" / "agent.ini").read_text()
        path = pathlib.Path(self.folder.name, "agent.ini")
        for margin, lines in (({}, []), ({"WarmupOvershoot": 1.5, "WarmupSlack": 5}, ["1.5", "5"]),
                              ({"WarmupOvershoot": 1.3333333, "WarmupSlack": 5.0}, ["1.3333333", "5.0"])):
            text = platform_system.render(template, {**fields, "PolicyParams": {"FlowTimeoutS": 60, **margin}})
            path.write_text(text)
            self.assertEqual([line.split("=")[1] for line in text.splitlines() if line.startswith("warmup")], lines)
            result = subprocess.run([BUILD / "daemons" / "oriole-flow-agent", "--settings", path, "--check"], cwd=ROOT,
                                    capture_output=True, text=True, timeout=10)
            self.assertEqual(result.returncode, 0, result.stderr)

    def test_texts(self):
        for user in ("foundation", "shire"):
            settings = pathlib.Path(self.folder.name, "oriolectl.ini")
            settings.write_text((EXAMPLES / user / "oriolectl.ini").read_text().replace(KEY_FILE, str(self.key)))
            result = subprocess.run([BUILD / "daemons" / "oriolectl", "--settings", settings, "check",
                                     EXAMPLES / user / "services.ini"], capture_output=True, text=True, timeout=10)
            self.assertEqual(result.returncode, 0, result.stderr)

    def test_mistakes(self):
        for name, text, replacement, words in MISTAKES:
            result = self.check("foundation", name, text, replacement)
            self.assertEqual(result.returncode, 2, f"{name}: {replacement} accepted")
            for word in [name] + words:
                self.assertIn(word, result.stderr)


if __name__ == "__main__":
    unittest.main()
