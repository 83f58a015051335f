// Text form of findings.

#include <oriolegrade/state/finding.hpp>

namespace oriolegrade::state {

std::string findings::to_text(std::string_view source) const
{
    std::string text;
    for (const auto& it : items_) {
        text.append(source);
        text.append(":");
        text.append(it.place);
        text.append(": ");
        text.append(name_of(it.code));
        text.append(": ");
        text.append(it.message);
        text.append("\n");
    }
    return text;
}

} // namespace oriolegrade::state
