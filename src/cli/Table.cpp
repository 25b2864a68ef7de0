#include "cli/Table.h"

#include <algorithm>
#include <cstdio>
#include <ostream>

namespace jasminestack {

namespace {

    bool isNumber(const std::string& cell)
    {
        return !cell.empty() && cell.find_first_not_of("0123456789.-") == std::string::npos;
    }

    // Number of terminal columns: continuation bytes of UTF-8 characters are not counted.
    std::size_t displayWidth(const std::string& cell)
    {
        return static_cast<std::size_t>(std::count_if(cell.begin(), cell.end(),
            [](char character) { return (static_cast<unsigned char>(character) & 0xC0U) != 0x80U; }));
    }

}

void printTable(
    std::ostream& out, const std::vector<std::string>& header, const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    std::vector<bool> isNumericColumn(header.size(), !rows.empty());
    for (std::size_t column = 0; column < header.size(); ++column) {
        widths.push_back(displayWidth(header[column]));
        for (const auto& row : rows) {
            widths[column] = std::max(widths[column], displayWidth(row[column]));
            isNumericColumn[column]
                = isNumericColumn[column] && (row[column].empty() || row[column] == "-" || isNumber(row[column]));
        }
    }
    const auto printRow = [&](const std::vector<std::string>& row) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            const std::string padding(widths[column] - displayWidth(row[column]), ' ');
            line += (column ? "  " : "") + (isNumericColumn[column] ? padding + row[column] : row[column] + padding);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << "\n";
    };
    printRow(header);
    for (const auto& row : rows)
        printRow(row);
}

std::string formatDecimal(double value, int decimals)
{
    char buffer[64];
    (void)std::snprintf(buffer, sizeof buffer, "%.*f", decimals, value);
    std::string text = buffer;
    if (text.find('.') != std::string::npos) {
        text.erase(text.find_last_not_of('0') + 1);
        if (text.back() == '.')
            text.pop_back();
    }
    return text;
}

}
