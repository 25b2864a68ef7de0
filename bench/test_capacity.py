"""Tests of the fits and of the capacity page's arithmetic."""

import unittest

import capacity


class CapacityTests(unittest.TestCase):
    # Guards against a slope or an error that does not follow from the points.
    def test_fit(self):
        line = capacity.fit([[0, 1], [1, 3], [2, 5], [3, 7]])
        self.assertAlmostEqual(line["slope"], 2.0)
        self.assertAlmostEqual(line["intercept"], 1.0)
        self.assertAlmostEqual(line["slopeError"], 0.0)
        scattered = capacity.fit([[0, 0], [1, 2], [2, 1], [3, 3]])
        self.assertAlmostEqual(scattered["slope"], 0.8)
        self.assertAlmostEqual(scattered["slopeError"], (0.9 / 5) ** 0.5, places=6)

    # Guards against a budget that passes although one of its parts was never measured.
    def test_missing_parts_are_named(self):
        page = capacity.Page({"series": [{"name": "a", "unit": "x", "variable": "n", "points": [[0, 1], [1, 2]]}]})
        table = page.budget("title", 100.0, [("first", 10, "a"), ("second", 5, "b")])
        self.assertIn("parts are not measured", table)
        self.assertIn("| sum | | | 10 |", table)

    # Guards against a slope that hides that single events cost more at low rates.
    def test_largest_quotient(self):
        page = capacity.Page({"series": [{"name": "a", "unit": "x", "variable": "n", "points": [[5, 10], [40, 40]]}]})
        self.assertIn("| sum | | | 20 |", page.budget("title", 100.0, [("calls", 10, "max:a")]))

    # Guards against a sum over its bound that is not shown as such.
    def test_sum_over_the_bound(self):
        page = capacity.Page({"series": [{"name": "a", "unit": "x", "variable": "n", "points": [[0, 1], [1, 2]]}]})
        self.assertIn("over the bound", page.budget("title", 5.0, [("base", None, "a"), ("count", 10, "a")]))


if __name__ == "__main__":
    unittest.main()
