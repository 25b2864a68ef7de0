#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace jasminestack {

/// \brief Prints \p rows below \p header in columns as wide as their widest cell; numbers are aligned to the right.
void printTable(
    std::ostream&, const std::vector<std::string>& header, const std::vector<std::vector<std::string>>& rows);

/// \returns \p value rounded to \p decimals decimal places, without trailing zeros.
[[nodiscard]] std::string formatDecimal(double value, int decimals = 3);

}
