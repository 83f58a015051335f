// Cost of reading requests from received bytes: processor time and bytes a
// second of the parser alone. The number of iterations is fixed, so that
// instruction counts of two builds can be compared:
//
//   valgrind --tool=callgrind --toggle-collect='*parse_stream*'
//   build/request_parser_bench --benchmark_filter=NAME/
//
// in one line counts the instructions of all iterations of one case.

#include <oriolegrade/protocol/request_parser.hpp>

#include <benchmark/benchmark.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace {

using oriolegrade::protocol::request_parser;

constexpr std::uint32_t max_head_bytes = 64 * 1024;
constexpr std::uint64_t max_body_bytes = 1024 * 1024;
/// As much of a body as a connection takes at once.
constexpr std::size_t body_buffer_bytes = 8 * 1024;
constexpr std::size_t body_bytes = 4 * 1024;
constexpr std::size_t chunk_bytes = 512;
constexpr std::size_t long_head_bytes = 8 * 1024;
constexpr std::size_t requests_ahead = 16;
/// Some 100 ms for each case.
constexpr std::int64_t iterations = 200'000;
constexpr std::int64_t long_iterations = 10'000;

const std::string common_fields = "Host: shop.example\r\n"
                                  "User-Agent: caller/1.0\r\n"
                                  "Accept: */*\r\n"
                                  "X-Request-Id: 4d1c9a37\r\n";

std::string plain_get()
{
    return "GET /read/17?lang=en HTTP/1.1\r\n" + common_fields + "\r\n";
}

std::string post_with_length()
{
    return "POST /book/17 HTTP/1.1\r\n" + common_fields +
           "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
           std::string(body_bytes, 'b');
}

std::string post_in_chunks()
{
    std::string out = "POST /book/17 HTTP/1.1\r\n" + common_fields +
                      "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t n = 0; n < body_bytes; n += chunk_bytes) {
        out += "200\r\n" + std::string(chunk_bytes, 'b') + "\r\n";
    }
    return out + "0\r\n\r\n";
}

std::string get_with_many_fields()
{
    std::string out = "GET /read/17 HTTP/1.1\r\n" + common_fields;
    for (int n = 100; out.size() < long_head_bytes; ++n) {
        out += "X-Field-" + std::to_string(n) + ": value of this field\r\n";
    }
    return out + "\r\n";
}

std::string gets_ahead()
{
    std::string out;
    for (std::size_t n = 0; n < requests_ahead; ++n) {
        out += plain_get();
    }
    return out;
}

/// Reads the requests of a text whose bytes have all arrived.
/// @return number of requests; 0 after an error
[[gnu::noinline]] std::size_t parse_stream(std::string_view text)
{
    std::size_t requests = 0;
    std::array<char, body_buffer_bytes> buf;
    while (!text.empty()) {
        request_parser parser(max_head_bytes);
        boost::system::error_code ec;
        text.remove_prefix(parser.put_head(text, ec));
        if (ec || !parser.head_done()) {
            return 0;
        }
        auto head = parser.take_head();
        benchmark::DoNotOptimize(head);
        parser.set_body_limit(max_body_bytes);
        while (!parser.done()) {
            const auto part = parser.put_body(text, buf, ec);
            if (ec || part.taken == 0) {
                return 0;
            }
            benchmark::DoNotOptimize(buf);
            text.remove_prefix(part.taken);
        }
        ++requests;
    }
    return requests;
}

void parse_requests(benchmark::State& run, std::string (*make)())
{
    const auto text = make();
    std::size_t requests = 0;
    for (auto _ : run) {
        const auto n = parse_stream(text);
        if (n == 0) {
            run.SkipWithError("a request was refused");
            break;
        }
        requests += n;
    }
    run.SetBytesProcessed(
        static_cast<std::int64_t>(run.iterations() * text.size()));
    run.SetItemsProcessed(static_cast<std::int64_t>(requests));
    // Seconds of processor time for each request.
    run.counters["request"] = benchmark::Counter(
        static_cast<double>(requests),
        benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

BENCHMARK_CAPTURE(parse_requests, plain_get, plain_get)->Iterations(iterations);
BENCHMARK_CAPTURE(parse_requests, post_with_length, post_with_length)
    ->Iterations(iterations);
BENCHMARK_CAPTURE(parse_requests, post_in_chunks, post_in_chunks)
    ->Iterations(iterations);
BENCHMARK_CAPTURE(parse_requests, get_with_many_fields, get_with_many_fields)
    ->Iterations(long_iterations);
BENCHMARK_CAPTURE(parse_requests, gets_ahead, gets_ahead)
    ->Iterations(long_iterations);

} // namespace

BENCHMARK_MAIN();
