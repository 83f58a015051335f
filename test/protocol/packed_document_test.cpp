// Guards the short form of documents: it comes back as it was, and no bytes of
// another host end the process or take more memory than a document may.

#include <oriolegrade/protocol/packed_document.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace oriolegrade;

constexpr std::size_t limit = 100'000;

RC_GTEST_PROP(packed_document, comes_back_as_it_was, (const std::string& text))
{
    RC_ASSERT(protocol::unpack_document(protocol::pack_document(text), limit) ==
              text);
}

RC_GTEST_PROP(packed_document, any_bytes_are_unpacked_or_refused,
              (const std::string& bytes))
{
    const auto text = protocol::unpack_document(bytes, limit);
    RC_ASSERT(!text || text->size() <= limit);
}

TEST(packed_document, a_cut_or_long_document_is_taken)
{
    const std::string text(50'000, 'x');
    const auto packed = protocol::pack_document(text);
    EXPECT_EQ(protocol::unpack_document(packed, text.size()), text);
    EXPECT_FALSE(protocol::unpack_document(packed, text.size() - 1));
    for (std::size_t n = 0; n < packed.size(); ++n) {
        EXPECT_FALSE(protocol::unpack_document(packed.substr(0, n), limit));
    }
    // The length that is announced is not the one that follows.
    for (const char last : {'\0', '\x51'}) {
        auto other = packed;
        other[3] = last;
        EXPECT_FALSE(protocol::unpack_document(other, limit));
    }
}

} // namespace
