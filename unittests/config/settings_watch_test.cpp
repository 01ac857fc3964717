#include "chestnutstand/config/settings_watch.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <unistd.h>

namespace chestnutstand {
namespace {

constexpr const char* first_text = R"({"data_centre": "howrah", "log_url": "http://127.0.0.1:1",
    "cluster_secret": "secret of the test"})";

class settings_watch_test : public testing::Test {
public:
    ~settings_watch_test() override { std::remove(path_.c_str()); }

protected:
    void write(const std::string& text) const { std::ofstream{path_} << text; }

    std::string path_ = testing::TempDir() + "settings_watch_" + std::to_string(::getpid());
    settings_watch watch_{path_, first_text};
};

// Guards against a change that is missed or reported more than once.
TEST_F(settings_watch_test, reports_each_change_once_with_its_keys)
{
    write(first_text);
    EXPECT_FALSE(watch_.poll());
    write(R"({"data_centre": "howrah", "log_url": "http://127.0.0.1:1", "log_level": "warning",
        "cluster_secret": "another secret of the test"})");
    const auto change = watch_.poll();
    ASSERT_TRUE(change);
    EXPECT_EQ(change->keys, (std::vector<std::string>{"cluster_secret", "log_level"}));
    EXPECT_EQ(change->new_settings.lowest_log_level, log_level::warning);
    EXPECT_FALSE(watch_.poll());
}

// Guards against a missing, half-written or invalid file that replaces the valid settings.
TEST_F(settings_watch_test, keeps_the_settings_when_the_file_is_not_valid)
{
    EXPECT_FALSE(watch_.poll()) << "the file does not exist";
    write("{\"data_centre\": ");
    EXPECT_FALSE(watch_.poll());
    write(first_text);
    EXPECT_FALSE(watch_.poll()) << "the content is that of the start again";
}

// Guards against a new comment or another order of the keys that is reported as a change.
TEST_F(settings_watch_test, ignores_edits_that_change_no_value)
{
    write(R"({"log_url": "http://127.0.0.1:1", // the log
        "data_centre": "howrah", "cluster_secret": "secret of the test"})");
    EXPECT_FALSE(watch_.poll());
}

} // namespace
} // namespace chestnutstand
