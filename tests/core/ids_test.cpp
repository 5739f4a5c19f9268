#include "core/base/ids.hpp"

#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

TEST(ids, host_ids)
{
    {
        SCOPED_TRACE("an address and a port are parsed and written back");
        const auto id = parse_host_id("10.1.2.3:7400");
        ASSERT_TRUE(id.has_value());
        EXPECT_EQ(to_string(*id), "10.1.2.3:7400");
        EXPECT_EQ(*id, make_host_id(0x0a010203, 7400));
    }
    {
        SCOPED_TRACE("any other text is rejected");
        for (const char* text :
             {"", "10.1.2.3", "10.1.2:1", "10.1.2.256:1", "10.1.2.3:0",
              "10.1.2.3:70000", "10.1.2.3.4:1", "host:1"})
        {
            SCOPED_TRACE(text);
            EXPECT_FALSE(parse_host_id(text).has_value());
        }
    }
}

TEST(ids, trace_ids)
{
    const trace_id id{0x0123456789abcdefULL, 42};
    EXPECT_EQ(to_string(id), "0123456789abcdef000000000000002a");
    EXPECT_EQ(parse_trace_id(to_string(id)), id);
    EXPECT_FALSE(parse_trace_id("0123").has_value());
}

} // namespace
} // namespace cyclamenhold
