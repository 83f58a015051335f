// Fake placement that returns scripted answers and records requests and
// reports.

#ifndef ORIOLEGRADE_TEST_FAKES_FAKE_PLACEMENT_HPP
#define ORIOLEGRADE_TEST_FAKES_FAKE_PLACEMENT_HPP

#include <oriolegrade/transport/gateway/placement_client.hpp>

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace oriolegrade::test {

class fake_placement
{
public:
    std::uint64_t ask(const state::place_request& request,
                      const std::shared_ptr<transport::place_wait>& wait)
    {
        requests.push_back(request);
        if (on_ask) {
            on_ask();
        }
        const auto number = ++last_;
        if (answers.empty()) {
            // Without a scripted answer the request stays queued.
            return number;
        }
        wait->set(answers.front());
        answers.pop_front();
        return number;
    }

    void report(std::uint64_t number, const state::send_report& report)
    {
        reports[number].push_back(report.result);
        if (on_report) {
            on_report();
        }
        if (report.unused) {
            unused.insert(number);
        }
        if (report.wish.any()) {
            wishes.push_back(report.wish);
        }
    }

    /// Called for each request and report if set; may throw.
    std::function<void()> on_ask;
    std::function<void()> on_report;
    std::deque<state::place_answer> answers;
    std::vector<state::place_request> requests;
    std::map<std::uint64_t, std::vector<state::send_result>> reports;
    /// Requests whose report says that nothing was sent.
    std::set<std::uint64_t> unused;
    /// What the reports told of upstreams.
    std::vector<state::upstream_wish> wishes;

private:
    std::uint64_t last_ = 0;
};

static_assert(transport::placement<fake_placement>);

} // namespace oriolegrade::test

#endif
