#pragma once

#include <string>
#include <vector>

namespace Kumquatpick {

using TableRow = std::vector<std::string>;

// Aligned columns with a heading; columns that hold only numbers are set flush right. Empty without rows.
std::string formatTable(const TableRow& heading, const std::vector<TableRow>& rows);

} // namespace Kumquatpick
