"""Tests of the line fits and of the arithmetic of the capacity page."""

import unittest

import capacity


class CapacityTests(unittest.TestCase):
    # Guards against a wrong slope, intercept or standard error.
    def test_fit(self):
        line = capacity.fit([[0, 1], [1, 3], [2, 5], [3, 7]])
        self.assertAlmostEqual(line["slope"], 2.0)
        self.assertAlmostEqual(line["intercept"], 1.0)
        self.assertAlmostEqual(line["slopeError"], 0.0)
        scattered = capacity.fit([[0, 0], [1, 2], [2, 1], [3, 3]])
        self.assertAlmostEqual(scattered["slope"], 0.8)
        self.assertAlmostEqual(scattered["slopeError"], (0.9 / 5) ** 0.5, places=6)

    # Guards against a budget that passes although one of its parts was not measured.
    def test_missing_parts_are_named(self):
        page = capacity.CapacityPage(
            {"series": [{"name": "a", "unit": "x", "variable": "n", "points": [[0, 1], [1, 2]]}]})
        table = page.budget("title", 100.0, [("first", 10, "a"), ("second", 5, "b")])
        self.assertIn("parts are not measured", table)
        self.assertIn("| sum | | | 10 |", table)

    # Guards against using the slope for a unit cost that is higher at low rates.
    def test_largest_quotient(self):
        page = capacity.CapacityPage(
            {"series": [{"name": "a", "unit": "x", "variable": "n", "points": [[5, 10], [40, 40]]}]})
        self.assertIn("| sum | | | 20 |", page.budget("title", 100.0, [("calls", 10, "max:a")]))

    # Guards against a sum that exceeds its bound without a notice.
    def test_sum_over_the_bound(self):
        page = capacity.CapacityPage(
            {"series": [{"name": "a", "unit": "x", "variable": "n", "points": [[0, 1], [1, 2]]}]})
        self.assertIn("over the bound", page.budget("title", 5.0, [("base", None, "a"), ("count", 10, "a")]))


if __name__ == "__main__":
    unittest.main()
