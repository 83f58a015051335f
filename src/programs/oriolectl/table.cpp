// Column widths and output of tables.

#include "table.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace oriolegrade::programs {

namespace {

using cells = std::vector<std::string>;

cells row_of(const boost::json::value& row,
             const std::vector<std::string_view>& columns)
{
    cells result;
    for (const auto column : columns) {
        const auto* object = row.if_object();
        const auto* value = object ? object->if_contains(column) : nullptr;
        result.push_back(value ? to_cell(*value) : "");
    }
    return result;
}

} // namespace

std::string to_cell(const boost::json::value& value)
{
    if (value.is_string()) {
        return std::string(value.get_string());
    }
    return boost::json::serialize(value);
}

void print_table(const boost::json::value& rows,
                 const std::vector<std::string_view>& columns)
{
    std::vector<cells> lines;
    lines.emplace_back(columns.begin(), columns.end());
    if (const auto* list = rows.if_array()) {
        for (const auto& it : *list) {
            lines.push_back(row_of(it, columns));
        }
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto& line : lines) {
        for (std::size_t n = 0; n < line.size(); ++n) {
            widths[n] = std::max(widths[n], line[n].size());
        }
    }
    for (const auto& line : lines) {
        for (std::size_t n = 0; n < line.size(); ++n) {
            const bool last = n + 1 == line.size();
            std::cout << std::left
                      << std::setw(last ? 0 : static_cast<int>(widths[n] + 2))
                      << line[n];
        }
        std::cout << '\n';
    }
}

} // namespace oriolegrade::programs
