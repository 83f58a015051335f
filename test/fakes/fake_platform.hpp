// The platform's HTTP interface for an in-memory log, with a switch that
// simulates outages.

#ifndef ORIOLEGRADE_TEST_FAKES_FAKE_PLATFORM_HPP
#define ORIOLEGRADE_TEST_FAKES_FAKE_PLATFORM_HPP

#include <oriolegrade/protocol/platform_json.hpp>
#include <oriolegrade/transport/http_server.hpp>

#include <fakes/fake_log.hpp>

#include <boost/fiber/operations.hpp>

#include <chrono>
#include <map>
#include <string>

namespace oriolegrade::fakes {

class fake_platform
{
public:
    fake_platform(boost::asio::io_context& ioc, const state::endpoint& address)
        : server_(ioc, address, [this](const transport::http_request& request) {
            return serve(request);
        })
    {}

    fake_log_store store;
    state::host_list hosts;
    bool log_down = false;
    /// Reads of the configuration stream so far.
    unsigned configuration_reads = 0;
    /// Of these, the reads that wait for a record or for their end.
    unsigned configuration_reads_in_progress = 0;

private:
    using clock = std::chrono::steady_clock;

    transport::http_answer serve(const transport::http_request& request)
    {
        const std::string target(request.target());
        if (target == "/v1/hosts") {
            return transport::json_answer(200,
                                          protocol::encode_host_list(hosts));
        }
        if (log_down) {
            return transport::json_answer(503, "{}");
        }
        constexpr std::string_view prefix = "/v1/streams/";
        const auto end = target.find("/records");
        const auto stream = target.substr(prefix.size(), end - prefix.size());
        fake_log log(store);
        if (request.method() == boost::beast::http::verb::post) {
            const auto result = log.append(stream, request.body());
            return transport::json_answer(
                200, protocol::encode_append_answer(
                         std::get<state::appended>(result).offset));
        }
        if (stream != "configuration") {
            return read(log, stream, target);
        }
        ++configuration_reads;
        ++configuration_reads_in_progress;
        auto answer = read(log, stream, target);
        --configuration_reads_in_progress;
        return answer;
    }

    transport::http_answer read(fake_log& log, const std::string& stream,
                                const std::string& target)
    {
        const auto limit =
            clock::now() + std::chrono::milliseconds(number(target, "wait_ms"));
        for (;;) {
            const auto result =
                log.read(stream, number(target, "from"), number(target, "max"));
            if (const auto* it = std::get_if<state::log_trimmed>(&result)) {
                return transport::json_answer(
                    410, protocol::encode_trimmed_answer(it->first_offset));
            }
            const auto& records = std::get<state::log_records>(result);
            if (log_down) {
                return transport::json_answer(503, "{}");
            }
            if (!records.records.empty() || clock::now() >= limit) {
                return transport::json_answer(
                    200, protocol::encode_read_answer(0, records));
            }
            boost::this_fiber::sleep_for(std::chrono::milliseconds(2));
        }
    }

    static std::uint64_t number(const std::string& target,
                                const std::string& key)
    {
        const auto place = target.find(key + "=");
        return place == std::string::npos
                   ? 0
                   : std::stoull(target.substr(place + key.size() + 1));
    }

    transport::http_server server_;
};

} // namespace oriolegrade::fakes

#endif
