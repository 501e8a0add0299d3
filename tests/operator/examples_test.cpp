#include "operator/config.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace Kumquatpick {

namespace {

    std::filesystem::path root() { return std::filesystem::path(__FILE__).parent_path() / "../.."; }

    std::string readFile(const std::filesystem::path& path)
    {
        std::ifstream file(path);
        return { std::istreambuf_iterator<char>(file), {} };
    }

    std::vector<std::filesystem::path> examples()
    {
        std::vector<std::filesystem::path> paths;
        for (const auto& entry : std::filesystem::directory_iterator(root() / "examples"))
            if (entry.path().extension() == ".toml")
                paths.push_back(entry.path());
        return paths;
    }

}

TEST(Examples, AllHaveNoFaults)
{
    EXPECT_GE(examples().size(), 3U);
    for (const auto& path : examples()) {
        auto parsed = parseOperatorConfig(readFile(path));
        if (const auto* faults = std::get_if<1>(&parsed))
            for (const ConfigFault& fault : *faults)
                ADD_FAILURE() << fault.describe(path.filename().string());
    }
}

// Together, the examples use every key.
TEST(Examples, EachKeyIsDocumented)
{
    const std::string page = readFile(root() / "docs/CONFIGURATION.md");
    std::set<std::string> keys;
    for (const auto& path : examples()) {
        std::istringstream lines(readFile(path));
        for (std::string line; std::getline(lines, line);)
            if (size_t equals = line.find(" = "); equals != std::string::npos && !line.starts_with('#'))
                keys.insert(line.substr(0, equals));
    }
    EXPECT_EQ(keys.size(), 16U);
    for (const std::string& key : keys)
        EXPECT_NE(page.find("| `" + key + "` |"), std::string::npos) << key;
}

} // namespace Kumquatpick
