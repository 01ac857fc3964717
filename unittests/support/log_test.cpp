#include "chestnutstand/support/log.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <string>
#include <unistd.h>
#include <vector>

namespace chestnutstand {
namespace {

/// Puts a pipe in the place of standard output.
class log_test : public testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_EQ(::pipe2(pipe_, O_CLOEXEC), 0);
        output_ = ::dup(STDOUT_FILENO);
        ::dup2(pipe_[1], STDOUT_FILENO);
        init_logging(log_level::info);
    }

    void TearDown() override
    {
        ::dup2(output_, STDOUT_FILENO);
        for (const int each : {output_, pipe_[0], pipe_[1]}) {
            ::close(each);
        }
    }

    /// All lines that are in the pipe now.
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
    int output_ = -1;
};

// Guards against a process that stops because nobody reads its log, and against lines that are lost
// without a count.
TEST_F(log_test, does_not_wait_for_a_reader)
{
    const std::string filler(1'000, 'x');
    // Each kind of message has a limit of its own, which a repeated test would reach.
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
