// Audit line of a health event.

#include <oriolegrade/coordination/health_event.hpp>

#include <cstdio>

namespace oriolegrade::coordination {

namespace {

void append_number(std::string& line, const char* key, double value)
{
    std::array<char, 48> buf{};
    std::snprintf(buf.data(), buf.size(), " %s=%.2f", key, value);
    line += buf.data();
}

} // namespace

std::string audit_line(const health_event& event, const std::string& service)
{
    std::string line = "event=upstream_";
    line += state::name_of(event.kind);
    line += " service=" + service;
    line += " upstream=" + to_string(event.upstream);
    append_number(line, "score", event.score);
    append_number(line, "threshold", event.threshold);
    line += " hosts=" + std::to_string(event.hosts);
    line += " flap_level=" + std::to_string(event.flap_level);
    for (std::size_t n = 0; n < event.evidence.values.size(); ++n) {
        line += ' ';
        line += state::enum_names<state::evidence_kind>::value[n];
        line += '=' + std::to_string(event.evidence.values[n]);
    }
    return line;
}

} // namespace oriolegrade::coordination
