"""Bayesian linear regression with named variables that appear over time."""

import math

# Prior standard deviation of a coefficient, and precision of the constant. The prior
# keeps coefficients with few observations near 0.
COEFFICIENT_DEVIATION = 0.5
CONSTANT_PRECISION = 0.25
# The variable with the least information gives way to a new one.
VARIABLES_LIMIT_COUNT = 15


class LinearFit:
    """Weighted sums of observations, and the coefficients fitted to them.

    Variable 0 is the constant, the others are ``names``. A variable that was never
    observed has the coefficient 0 with the prior's deviation.

    Parameters
    ----------
    names : list of str
    information : list of list of float
        Weighted sums of products of the variables, a symmetric matrix.
    moments : list of float
        Weighted sums of products of the variables with the value.
    """

    def __init__(self, names=(), information=((0.0,),), moments=(0.0,)):
        self.names = list(names)
        self.information = [list(row) for row in information]
        self.moments = list(moments)
        self._means = [0.0] * len(self.moments)
        self._deviations = self._prior_deviations()

    def add(self, value, shares, *, constant, weight):
        """Add an observation: its value and its variables."""
        for name, share in shares.items():
            if share and name not in self.names:
                self._add_variable(name)
        row = [constant, *(shares.get(name, 0.0) for name in self.names)]
        for index, x in enumerate(row):
            if not x:
                continue
            self.moments[index] += weight * x * value
            sums = self.information[index]
            for other, y in enumerate(row):
                sums[other] += weight * x * y

    def predict(self, shares, *, constant):
        """Return the value expected by the latest fit."""
        value = constant * self._means[0]
        for index, name in enumerate(self.names, 1):
            value += shares.get(name, 0.0) * self._means[index]
        return value

    def scale(self, factor):
        """Multiply the weight of all observations by a factor."""
        self.moments = [factor * moment for moment in self.moments]
        self.information = [[factor * x for x in row] for row in self.information]

    def coefficient(self, name):
        """Return the mean and the standard deviation of a coefficient."""
        if name not in self.names:
            return 0.0, COEFFICIENT_DEVIATION
        index = 1 + self.names.index(name)
        return self._means[index], self._deviations[index]

    def solve(self):
        """Fit the coefficients to the observations."""
        count = len(self.moments)
        precision = [list(row) for row in self.information]
        precision[0][0] += CONSTANT_PRECISION
        for index in range(1, count):
            precision[index][index] += COEFFICIENT_DEVIATION**-2
        inverse = _invert(precision)
        self._means = [
            sum(x * moment for x, moment in zip(row, self.moments, strict=True))
            for row in inverse
        ]
        self._deviations = [math.sqrt(inverse[i][i]) for i in range(count)]

    def _prior_deviations(self):
        others_count = len(self.names)
        return [CONSTANT_PRECISION**-0.5] + [COEFFICIENT_DEVIATION] * others_count

    def _add_variable(self, name):
        if len(self.names) >= VARIABLES_LIMIT_COUNT:
            self._remove_variable(
                min(
                    range(1, len(self.moments)),
                    key=lambda index: self.information[index][index],
                )
            )
        self.names.append(name)
        for row in self.information:
            row.append(0.0)
        self.information.append([0.0] * (1 + len(self.names)))
        self.moments.append(0.0)
        self._means.append(0.0)
        self._deviations.append(COEFFICIENT_DEVIATION)

    def _remove_variable(self, index):
        del self.names[index - 1]
        del self.information[index]
        for row in self.information:
            del row[index]
        del self.moments[index], self._means[index], self._deviations[index]


def _invert(matrix):
    """Return the inverse of a symmetric positive definite matrix.

    Gauss-Jordan elimination, which needs no exchange of rows for such matrices.
    """
    count = len(matrix)
    rows = [
        [*row, *(float(index == other) for other in range(count))]
        for index, row in enumerate(matrix)
    ]
    for index in range(count):
        pivot = rows[index][index]
        pivot_row = rows[index] = [x / pivot for x in rows[index]]
        for other in range(count):
            factor = rows[other][index]
            if other != index and factor:
                rows[other] = [
                    x - factor * y for x, y in zip(rows[other], pivot_row, strict=True)
                ]
    return [row[count:] for row in rows]
