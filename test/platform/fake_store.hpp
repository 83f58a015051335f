// Stand-in for the platform's store on loopback: keyed topics, faults switched
// by members.

#ifndef ORIOLEGRADE_TEST_PLATFORM_FAKE_STORE_HPP
#define ORIOLEGRADE_TEST_PLATFORM_FAKE_STORE_HPP

#include <oriolegrade/protocol/base64.hpp>
#include <oriolegrade/transport/http_server.hpp>

#include <boost/endian/conversion.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriolegrade::test {

/// What the store does with calls.
enum class store_fault : std::uint8_t
{
    none,
    /// 503: nothing was done.
    busy,
    /// 429: nothing was done.
    too_many,
    /// Done, and not answered.
    answer_lost,
    /// Bytes that are no answer of the protocol.
    garbage,
};

class fake_store
{
public:
    explicit fake_store(boost::asio::io_context& ioc)
        : server_(ioc, {0x7f000001, 0},
                  [this](const transport::http_request& request) {
                      auto answer = serve(request);
                      if (era > 0) {
                          answer.set("Store-Era", std::to_string(era));
                      }
                      return answer;
                  })
    {}

    state::endpoint address() const
    {
        return server_.address();
    }

    /// Writes as the operator or an upstream does.
    void put(const std::string& topic, const std::string& key,
             const std::optional<std::string>& value)
    {
        topics_[topic].records.push_back({key, value});
    }

    /// Drops the history of a topic; the newest record of each key is kept.
    void drop_history(const std::string& topic)
    {
        auto& it = topics_[topic];
        it.first = it.records.size();
    }

    /// Comes back from a copy that lacks the last records of a topic.
    void go_back(const std::string& topic, std::size_t lost)
    {
        auto& it = topics_[topic];
        it.records.resize(it.records.size() -
                          std::min(it.records.size(), lost));
        ++era;
    }

    const auto& records(const std::string& topic)
    {
        return topics_[topic].records;
    }

    store_fault fault = store_fault::none;
    /// Records of one page of the newest of each key.
    std::size_t page = 500;
    int calls = 0;
    /// Of these, reads of the newest record of each key.
    int newest_calls = 0;
    /// Told with each answer when above 0.
    std::uint64_t era = 0;

private:
    struct record
    {
        std::string key;
        std::optional<std::string> value;
    };
    struct topic_state
    {
        std::vector<record> records;
        std::size_t first = 0;
    };

    static std::string parameter(const std::string& target,
                                 const std::string& name)
    {
        const auto n = target.find(name + "=");
        if (n == std::string::npos) {
            return {};
        }
        const auto begin = n + name.size() + 1;
        return unescaped(target.substr(begin, target.find('&', begin) - begin));
    }

    static std::string unescaped(const std::string& text)
    {
        constexpr int hexadecimal = 16;
        std::string out;
        for (std::size_t n = 0; n < text.size(); ++n) {
            if (text[n] == '%' && n + 2 < text.size()) {
                out += static_cast<char>(
                    std::stoi(text.substr(n + 1, 2), nullptr, hexadecimal));
                n += 2;
            } else {
                out += text[n];
            }
        }
        return out;
    }

    transport::http_answer serve(const transport::http_request& request)
    {
        ++calls;
        const std::string target(request.target());
        if (fault == store_fault::busy) {
            return transport::text_answer(503, "");
        }
        if (fault == store_fault::too_many) {
            return transport::text_answer(429, "");
        }
        if (fault == store_fault::garbage) {
            return transport::text_answer(200, "garbage");
        }
        auto& topic = topics_[parameter(target, "topic")];
        if (target.starts_with("/-/log-append")) {
            return append(topic, request.body());
        }
        if (target.starts_with("/-/log-newest")) {
            ++newest_calls;
            return newest(topic, parameter(target, "after"));
        }
        return read(topic, target);
    }

    transport::http_answer append(topic_state& topic, const std::string& body)
    {
        const auto key_bytes = static_cast<unsigned char>(body.at(4));
        const auto value = body.substr(5 + key_bytes);
        topic.records.push_back(
            {body.substr(5, key_bytes),
             value.empty() ? std::nullopt : std::optional(value)});
        if (fault == store_fault::answer_lost) {
            boost::this_fiber::sleep_for(std::chrono::seconds(3));
        }
        return transport::json_answer(
            200, boost::json::serialize(boost::json::object{
                     {"end_offset", topic.records.size()}}));
    }

    transport::http_answer newest(const topic_state& topic,
                                  const std::string& after)
    {
        std::map<std::string, std::string> values;
        for (const auto& it : topic.records) {
            if (it.value) {
                values[it.key] = *it.value;
            } else {
                values.erase(it.key);
            }
        }
        boost::json::array items;
        bool more = false;
        for (auto it = values.upper_bound(after); it != values.end(); ++it) {
            if (items.size() == page) {
                more = true;
                break;
            }
            items.push_back(boost::json::object{
                {"key", it->first},
                {"value", protocol::encode_base64(it->second)}});
        }
        return transport::json_answer(
            200, boost::json::serialize(boost::json::object{
                     {"items", items},
                     {"has_more", more},
                     {"end_offset", topic.records.size()}}));
    }

    transport::http_answer read(const topic_state& topic,
                                const std::string& target)
    {
        const auto from = std::stoul(parameter(target, "from"));
        const auto wait = parameter(target, "wait_ms");
        const auto until =
            std::chrono::steady_clock::now() +
            std::chrono::milliseconds(wait.empty() ? 0 : std::stol(wait));
        if (from < topic.first || (era > 0 && from > topic.records.size())) {
            return transport::json_answer(410, "{\"first_offset\":0}");
        }
        // A wait that is under way hears nothing of a dropped history.
        while ((topic.records.size() <= from || from < topic.first) &&
               std::chrono::steady_clock::now() < until) {
            boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
        }
        std::string body(16, '\0');
        if (from >= topic.first) {
            for (auto n = from; n < topic.records.size(); ++n) {
                body += encode(topic.records[n]);
            }
        }
        auto answer = transport::text_answer(200, body);
        return answer;
    }

    static std::string encode(const record& it)
    {
        std::string content(1, static_cast<char>(it.key.size()));
        content += it.key + it.value.value_or("");
        std::string out(4, '\0');
        boost::endian::store_big_u32(
            reinterpret_cast<unsigned char*>(out.data()),
            static_cast<std::uint32_t>(content.size()));
        return out + content;
    }

    std::map<std::string, topic_state> topics_;
    transport::http_server server_;
};

} // namespace oriolegrade::test

#endif
