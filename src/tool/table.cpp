#include "tool/table.h"

#include <algorithm>
#include <cstddef>
#include <fmt/format.h>
#include <string_view>

namespace Kumquatpick {

namespace {

    constexpr std::string_view numberCharacters = "0123456789.,-+%";

    bool looksNumeric(const std::string& cell) { return cell.find_first_not_of(numberCharacters) == std::string::npos; }

    struct Column {
        size_t width = 0;
        bool flushRight = true;
    };

    std::vector<Column> measure(const TableRow& heading, const std::vector<TableRow>& rows)
    {
        std::vector<Column> columns(heading.size());
        for (size_t i = 0; i < heading.size(); ++i) {
            columns[i].width = heading[i].size();
            for (const TableRow& row : rows) {
                columns[i].width = std::max(columns[i].width, row.at(i).size());
                columns[i].flushRight = columns[i].flushRight && looksNumeric(row[i]);
            }
        }
        return columns;
    }

    std::string formatRow(const TableRow& row, const std::vector<Column>& columns)
    {
        std::string line;
        for (size_t i = 0; i < columns.size(); ++i) {
            std::string_view gap = i == 0 ? "" : "  ";
            if (columns[i].flushRight)
                line += fmt::format("{}{:>{}}", gap, row[i], columns[i].width);
            else
                line += fmt::format("{}{:<{}}", gap, row[i], columns[i].width);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        return line + "\n";
    }

}

std::string formatTable(const TableRow& heading, const std::vector<TableRow>& rows)
{
    if (rows.empty())
        return {};
    std::vector<Column> columns = measure(heading, rows);
    std::string text = formatRow(heading, columns);
    for (const TableRow& row : rows)
        text += formatRow(row, columns);
    return text;
}

} // namespace Kumquatpick
