// Guards against a settings page that differs from the tables that the
// decoder reads. With ORIOLE_UPDATE_DOCS=1 the test rewrites the page.

#include <oriolegrade/protocol/settings_key.hpp>

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace {

using namespace oriolegrade::protocol;

std::string limits_of(const settings_row& row)
{
    if (row.min == 0 && row.max == 0) {
        return "";
    }
    return std::to_string(row.min) + " to " + std::to_string(row.max);
}

template <class Table>
void write_table(std::ostream& out, const Table& table)
{
    out << "| key | unit | default | limits | meaning "
           "|\n|---|---|---|---|---|\n";
    for (const settings_row& it : table) {
        out << "| `" << it.path << "` | " << it.unit << " | "
            << (it.is_required() ? "required" : it.fallback) << " | "
            << limits_of(it) << " | " << it.meaning << " |\n";
    }
}

std::string settings_page()
{
    std::ostringstream out;
    out << "# Settings\n\n"
           "JSON with comments. A key with a dot stands in an object: "
           "`shutdown.notice_ms` is\n`{\"shutdown\": {\"notice_ms\": ...}}`. "
           "Unknown keys are refused, and all findings are\nreported "
           "together. `--check_settings` checks a file and exits. Examples "
           "are in\n`settings/`. This page is written from the tables in "
           "`settings_key.hpp` by\n`test/protocol/settings_page_test.cpp`.\n\n"
           "## oriole-entry\n\n";
    write_table(out, entry_settings_table);
    out << "\n## oriole-agent\n\n";
    write_table(out, agent_settings_table);
    out << "\n## oriole-gateway\n\n"
           "Its settings file is the platform's. Three flags have the meaning, "
           "the default and\nthe limits of the keys of `oriole-entry` above: "
           "`--read_ahead_requests`,\n`--read_ahead_bytes` and "
           "`--held_answer_bytes`.\n"
           "\n"
           "`limits.memory_mb` of that file bounds what a gateway keeps for "
           "callers; without it nothing is bounded. Three tenths are for\n"
           "request bodies that are kept, answers that are held back and input "
           "beyond 8 KB of a connection; four tenths divided by 40 KB is\n"
           "the largest number of callers' connections (as far as "
           "`limits.max_fds` allows it). Half of the first part is for shares "
           "above\n"
           "16 KB, so a single body of up to 1 MiB is kept on a host of 7 MB "
           "or more. A body that finds no memory for 0.5 s is refused\n"
           "unrun with 503. `bounds.quota_overshoot` and `bounds.quota_slack` "
           "(0 without a value) are what a window of\n"
           "`bounds.quota_window` may hold beyond the limit of a workspace; a "
           "start of all hosts uses up to 0.45 of them, and a quarter of\n"
           "the slack is burst. `limits.link_mbps` bounds how many documents "
           "of the rules a host sends to others at one time: a tenth of it,\n"
           "between 4 and 32; 4 without a value. Once a newer version is "
           "known, "
           "requests are refused with 503 when the version in force\n"
           "was last known to be the newest more than `bounds.config_apply` "
           "ago; without a value they are not.\n";
    return out.str();
}

TEST(settings_page, lists_every_key_as_the_decoder_knows_it)
{
    const auto path = std::filesystem::path(__FILE__)
                          .parent_path()
                          .parent_path()
                          .parent_path() /
                      "docs" / "settings.md";
    if (std::getenv("ORIOLE_UPDATE_DOCS")) {
        std::ofstream(path) << settings_page();
    }
    std::ifstream in(path);
    const std::string page(std::istreambuf_iterator<char>(in), {});
    EXPECT_EQ(page, settings_page());
}

} // namespace
