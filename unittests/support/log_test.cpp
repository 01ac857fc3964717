#include "chestnutstand/support/log.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <string>
#include <unistd.h>
#include <vector>

namespace chestnutstand {
namespace {

/// Redirects standard output to a pipe during the test.
class log_test : public testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_EQ(::pipe2(pipe_, O_CLOEXEC), 0);
        saved_stdout_ = ::dup(STDOUT_FILENO);
        ::dup2(pipe_[1], STDOUT_FILENO);
        init_logging(log_level::info);
    }

    void TearDown() override
    {
        ::dup2(saved_stdout_, STDOUT_FILENO);
        for (const int descriptor : {saved_stdout_, pipe_[0], pipe_[1]}) {
            ::close(descriptor);
        }
    }

    /// Reads all lines that the pipe holds.
    std::vector<std::string> read_lines()
    {
        ::fcntl(pipe_[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::vector<char> buffer(65'536);
        for (ssize_t size = 0; (size = ::read(pipe_[0], buffer.data(), buffer.size())) > 0;) {
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
        std::vector<std::string> lines;
        for (std::size_t start = 0; start < text.size();) {
            const auto end = text.find('\n', start);
            lines.push_back(text.substr(start, end - start));
            start = end == std::string::npos ? text.size() : end + 1;
        }
        return lines;
    }

private:
    int pipe_[2] = {-1, -1};
    int saved_stdout_ = -1;
};

// Guards against a process that blocks because nothing reads its log, and against dropping lines
// without counting them.
TEST_F(log_test, does_not_wait_for_a_reader)
{
    const std::string filler(1'000, 'x');
    // A new message for each run: the rate limit is per message, and repeated runs would reach it.
    static int run = 0;
    const std::string message = "test of a full pipe " + std::to_string(++run);
    constexpr int written = 300;
    for (int i = 0; i < written; ++i) {
        log_event(log_level::info, message, {{"filler", filler}});
    }
    const auto first = read_lines();
    ASSERT_LT(first.size(), static_cast<std::size_t>(written));
    for (const std::string& line : first) {
        EXPECT_TRUE(nlohmann::json::accept(line)) << line;
    }
    log_event(log_level::info, message, {{"filler", filler}});
    const auto second = read_lines();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(nlohmann::json::parse(second[0])["lines_lost"], written - first.size());
}

} // namespace
} // namespace chestnutstand
