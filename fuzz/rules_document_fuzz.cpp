// The operator's document must be refused or read whatever it holds, keys must
// belong to one workspace each, and findings must not repeat a key.

#include <documents.hpp>

#include <oriolegrade/state/key_check.hpp>

#include <boost/json.hpp>

#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>

namespace {

using namespace oriolegrade;

void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

/// Checks the rules of a document, or returns the findings as text.
std::string read(const std::string& document)
{
    auto rules = platform::decode_rules(document);
    if (!rules) {
        require(!rules.error().empty());
        return rules.error().to_text("rules");
    }
    const state::route_index index(
        std::make_shared<const state::traffic_rules>(std::move(rules.value())));
    require(index.rules().requires_keys || index.rules().workspaces.empty());
    require(index.find_workspace("") == nullptr);
    for (const auto& it : index.rules().workspaces) {
        require(!it.name.empty());
        require(std::isfinite(it.rate_per_s) && it.rate_per_s >= 0);
        require(std::isfinite(it.burst) && it.burst >= 0);
        for (const auto& key : it.keys) {
            require(!key.empty() &&
                    key.find_first_of("\r\n") == std::string::npos);
            require(index.find_workspace(key) == &it);
        }
    }
    return {};
}

/// Two workspaces that take turns at the lines of the text as their keys.
std::string document_of(std::string_view text, std::string_view marker)
{
    std::array<boost::json::array, 2> keys;
    for (std::size_t n = 0; !text.empty(); ++n) {
        const auto line = text.substr(0, text.find('\n'));
        keys[n % keys.size()].emplace_back(
            std::string(marker).append(line).c_str());
        text.remove_prefix(std::min(text.size(), line.size() + 1));
    }
    return boost::json::serialize(
        boost::json::value{{"version", "r1"},
                           {"routes", boost::json::object()},
                           {"services", boost::json::object()},
                           {"tenants",
                            {{"a", {{"api_keys", std::move(keys[0])}}},
                             {"b", {{"api_keys", std::move(keys[1])}}}}}});
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    static_cast<void>(read(text));
    constexpr std::string_view marker = "secret-";
    const auto findings = read(document_of(text, marker));
    require(findings.find(marker) == std::string::npos);
    return 0;
}
