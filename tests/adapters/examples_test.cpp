#include "adapters/settings.hpp"
#include "core/intent/operations.hpp"

#include "adapters/files.hpp"

#include <filesystem>
#include <set>

#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

namespace fs = std::filesystem;

struct example
{
    const char* name;
    std::size_t node_count;
    std::size_t data_centre_count;
    std::size_t workspace_count;
};

// Guards against examples that the node or the operators' API would reject.
TEST(examples, are_valid_for_both_deployments)
{
    for (const auto& [name, node_count, data_centre_count, workspace_count] :
         {example{"brno", 12, 3, 8}, example{"badge-office", 16, 4, 8}})
    {
        SCOPED_TRACE(name);
        const fs::path folder =
            fs::path(CYCLAMEN_SOURCE_DIR) / "examples" / name;
        std::set<std::string> endpoints;
        std::set<std::string> data_centres;
        std::size_t nodes = 0;
        for (const auto& entry : fs::directory_iterator(folder / "nodes"))
        {
            SCOPED_TRACE(entry.path().filename());
            const auto [settings, found] = load_settings(entry.path());
            EXPECT_TRUE(found.empty()) << to_string(found);
            const auto& listen = settings.listen;
            for (const auto& endpoint :
                 {listen.callers, listen.upstream, listen.peers,
                  listen.operators})
            {
                EXPECT_TRUE(endpoints.insert(to_string(endpoint)).second);
            }
            data_centres.insert(settings.data_centre);
            ++nodes;
        }
        {
            SCOPED_TRACE("there is a node for each worker");
            EXPECT_EQ(nodes, node_count);
            EXPECT_EQ(data_centres.size(), data_centre_count);
        }
        {
            SCOPED_TRACE(
                "the operations can be applied to an empty configuration");
            const auto text = read_file(folder / "intent.json");
            ASSERT_TRUE(text.ok());
            const auto [operations, found] = parse_operations(*text);
            EXPECT_TRUE(found.empty()) << to_string(found);
            configuration target;
            const findings applied = apply_operations(target, operations);
            EXPECT_TRUE(applied.empty()) << to_string(applied);
            EXPECT_EQ(target.workspaces.size(), workspace_count);
            EXPECT_EQ(target.data_centres.size(), data_centre_count);
        }
    }
}

} // namespace
} // namespace cyclamenhold
