// Reading of a program's settings file.

#ifndef ORIOLEGRADE_PROGRAMS_COMMON_SETTINGS_FILE_HPP
#define ORIOLEGRADE_PROGRAMS_COMMON_SETTINGS_FILE_HPP

#include <oriolegrade/state/finding.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

namespace oriolegrade::programs {

/// Reads and decodes a settings file; prints all findings on an error.
/// @param decode returns a result with findings
template <class Decode>
auto read_settings(const std::string& path, Decode decode)
    -> std::optional<typename decltype(decode(std::string()))::value_type>
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    auto settings = decode(std::string(std::istreambuf_iterator<char>(in), {}));
    if (!settings) {
        std::cerr << settings.error().to_text(path);
        return std::nullopt;
    }
    return std::move(settings.value());
}

} // namespace oriolegrade::programs

#endif
