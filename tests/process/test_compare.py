"""The arithmetic of scripts/compare, and what it makes of reports. No process is started."""

import importlib.machinery
import importlib.util
import pathlib
import sys
import tempfile
import unittest

SCRIPTS = pathlib.Path(__file__).resolve().parents[2] / "scripts"
sys.path.insert(0, str(SCRIPTS))
import paired_statistics  # noqa: E402


def load_compare():
    sys.dont_write_bytecode = True
    loader = importlib.machinery.SourceFileLoader("compare", str(SCRIPTS / "compare"))
    spec = importlib.util.spec_from_loader("compare", loader)
    module = importlib.util.module_from_spec(spec)
    loader.exec_module(module)
    return module


def report(worth, windows, breaks=None):
    return {
        "G": worth,
        "parts": [["whole day", 0.35, 0.9], ["worst windows", 0.5, windows]],
        "prices": [["processor seconds", 8.0, 0.004]],
        "breaks": breaks or {},
        "fault": None,
    }


class PairedStatistics(unittest.TestCase):
    def test_mean_and_interval_of_known_pairs(self):
        # Differences 1, 2, 3: mean 2, deviation 1, t(2) = 4.303, so 4.303 / sqrt(3).
        difference = paired_statistics.compare_pairs([(0, 1), (0, 2), (0, 3)])
        self.assertAlmostEqual(difference.mean, 2)
        self.assertAlmostEqual(difference.spread, 4.303 / 3**0.5, places=6)
        self.assertFalse(difference.is_beyond_spread)

    def test_pairing_removes_what_both_share(self):
        difference = paired_statistics.compare_pairs([(0.1, 0.2), (0.5, 0.6), (0.9, 1.0)])
        self.assertAlmostEqual(difference.mean, 0.1)
        self.assertAlmostEqual(difference.spread, 0, places=9)
        self.assertTrue(difference.is_beyond_spread)

    def test_one_pair_has_no_interval(self):
        difference = paired_statistics.compare_pairs([(0.5, 0.7)])
        self.assertIsNone(difference.spread)
        self.assertFalse(difference.is_beyond_spread)

    def test_no_pairs_are_an_error(self):
        with self.assertRaises(ValueError):
            paired_statistics.compare_pairs([])

    def test_quantile_is_never_too_small(self):
        self.assertEqual(paired_statistics.t_quantile(3), 3.182)
        self.assertEqual(paired_statistics.t_quantile(23), 2.086)
        self.assertEqual(paired_statistics.t_quantile(10_000), 1.980)
        with self.assertRaises(ValueError):
            paired_statistics.t_quantile(0)


class Compare(unittest.TestCase):
    def setUp(self):
        self.compare = load_compare()

    def plays(self, before, after):
        site = pathlib.Path("a.toml")
        results = {}
        for seed, (left, right) in enumerate(zip(before, after)):
            results[self.compare.Play("before", site, "day-1", seed)] = left
            results[self.compare.Play("after", site, "day-1", seed)] = right
        return results

    def test_rows_pair_by_day_and_seed(self):
        rows = self.compare.rows_of(self.plays([report(0.5, 0.3), report(0.7, 0.4)], [report(0.6, 0.5), report(0.8, 0.6)]))
        found = {(day, name): difference for _, day, name, difference in rows}
        self.assertAlmostEqual(found[("day-1", "worth")].mean, 0.1)
        self.assertAlmostEqual(found[("all", "worst windows")].mean, 0.2)
        self.assertEqual(found[("day-1", "worth")].pairs, 2)

    def test_a_play_without_its_pair_is_left_out(self):
        results = self.plays([report(0.5, 0.3), report(0.7, 0.4)], [report(0.6, 0.5), report(0.8, 0.6)])
        del results[self.compare.Play("after", pathlib.Path("a.toml"), "day-1", 1)]
        found = {(day, name): difference for _, day, name, difference in self.compare.rows_of(results)}
        self.assertEqual(found[("day-1", "worth")].pairs, 1)

    def test_a_rule_broken_by_the_later_version_is_told(self):
        self.assertFalse(self.compare.print_broken(self.plays([report(0.5, 0.3, {"LOST": 1})], [report(0.5, 0.3)])))
        self.assertTrue(self.compare.print_broken(self.plays([report(0.5, 0.3)], [report(0.5, 0.3, {"LOST": 1})])))

    def test_days_of_a_site_file(self):
        with tempfile.TemporaryDirectory() as folder:
            site = pathlib.Path(folder) / "site.toml"
            site.write_text('name = "a"\n[[day]]\nname = "quiet-1"\n[[day]]\nname = "scale-1"\n[platform]\nname = "x"\n')
            self.assertEqual(self.compare.days_of(site), ["quiet-1", "scale-1"])


if __name__ == "__main__":
    unittest.main()
