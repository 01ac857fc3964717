#include "history_checker.h"

#include <gtest/gtest.h>

#include <sstream>

namespace chestnutstand::history {
namespace {

constexpr const char* correct_history = R"(
{"type":"call","id":"1","key":"k1","payload":"p1","start":1,"end":5,"outcome":"completed","response":"r1"}
{"type":"execution","key":"k1","payload":"p1","start":2,"end":4,"response":"r1"}
{"type":"call","id":"2","key":"k2","payload":"p2","start":1,"end":5,"outcome":"not-run","reason":"queue_full"}
{"type":"call","id":"3","key":"k1","payload":"p2","start":6,"end":7,"outcome":"not-run","reason":"key_reused"}
{"type":"execution","key":"k3","payload":"p3","start":2}
{"type":"death","process":"n1","time":3}
{"type":"call","id":"4","key":"k3","payload":"p3","start":1,"end":5,"outcome":"unknown","reason":"executor_gone","candidates":["n1"]}
{"type":"call","id":"5","key":"k4","payload":"p4","start":1,"end":2,"outcome":"unknown","reason":"key_running"}
{"type":"version","node":"n1","time":1,"version":3}
{"type":"version","node":"n2","time":2,"version":1}
{"type":"version","node":"n1","time":3,"version":3}
)";

records parse(const std::string& text)
{
    records seen;
    std::istringstream lines{text};
    const auto status = read(lines, seen);
    EXPECT_TRUE(status.ok()) << status;
    return seen;
}

/// Rules that a correct history with further lines breaks.
std::vector<rule> broken_by(const std::string& lines)
{
    std::vector<rule> broken;
    for (const auto& each : check(parse(correct_history + lines)).violations) {
        broken.push_back(each.broken);
    }
    return broken;
}

std::string call_line(const std::string& key, const std::string& payload, const std::string& rest)
{
    return R"({"type":"call","id":"x","key":")" + key + R"(","payload":")" + payload +
           R"(","start":8,"end":9,)" + rest + "}\n";
}

// Guards against a checker that rejects what is allowed, and against miscounted outcomes.
TEST(history_checker, accepts_a_correct_history)
{
    const auto result = check(parse(correct_history));
    EXPECT_TRUE(result.holds());
    EXPECT_EQ(result.completed, 1U);
    EXPECT_EQ(result.not_run, 2U);
    EXPECT_EQ(result.unknown, 2U);
    EXPECT_EQ(result.unknown_by_reason.at(reason_code::executor_gone), 1U);
}

// Guards against a checker that overlooks a second run of a key.
TEST(history_checker, finds_a_key_that_ran_twice)
{
    EXPECT_EQ(broken_by(R"({"type":"execution","key":"k1","payload":"p1","start":8,"end":9})"),
              std::vector<rule>{rule::at_most_once});
}

// Guards against a checker that looks only at runs before the reply, or not at queries.
TEST(history_checker, finds_a_run_after_not_run)
{
    EXPECT_EQ(broken_by(R"({"type":"execution","key":"k2","payload":"p2","start":99})"),
              std::vector<rule>{rule::not_run});
    EXPECT_EQ(broken_by(call_line("k1", "", R"("outcome":"not-run")")),
              std::vector<rule>{rule::not_run});
}

// Guards against a checker that accepts a foreign, cut or premature response.
TEST(history_checker, finds_wrong_responses)
{
    const std::vector<rule> broken{rule::own_response};
    EXPECT_EQ(broken_by(call_line("k1", "p1", R"("outcome":"completed","response":"r")")), broken);
    EXPECT_EQ(broken_by(call_line("k3", "p3", R"("outcome":"completed","response":"")")), broken);
    EXPECT_EQ(broken_by(call_line("k4", "p4", R"("outcome":"completed","response":"r1")")), broken);
    EXPECT_EQ(broken_by(call_line("k5", "p5", R"("outcome":"completed","response":"r5")") +
                        R"({"type":"execution","key":"k5","payload":"p5","start":10,"end":11,)"
                        R"("response":"r5"})"),
              broken);
}

// Guards against a checker that lets a lost call pass without a cause.
TEST(history_checker, finds_unexplained_unknown_outcomes)
{
    const std::vector<rule> broken{rule::unexplained_loss};
    const std::string gone = R"("outcome":"unknown","reason":"executor_gone",)";
    EXPECT_EQ(broken_by(call_line("k6", "p6", gone + R"("candidates":["n2"])")), broken);
    EXPECT_EQ(broken_by(R"({"type":"fault","process":"n2","time":1})"
                        "\n" +
                        call_line("k6", "p6", gone + R"("candidates":["n2"])")),
              broken);
    EXPECT_EQ(broken_by(R"({"type":"death","process":"n2","time":99})"
                        "\n" +
                        call_line("k6", "p6", gone + R"("candidates":["n2"])")),
              broken);
    auto quiet = parse(call_line("k6", "p6", R"("outcome":"unknown","reason":"upstream_timeout")"));
    EXPECT_FALSE(check(quiet).holds());
    quiet.disturbances.push_back({disturbance_record::kind::fault, "u1", 1});
    EXPECT_TRUE(check(quiet).holds());
}

// Guards against a checker that compares versions of different nodes or in the order of lines.
TEST(history_checker, finds_decreasing_versions)
{
    EXPECT_EQ(broken_by(R"({"type":"version","node":"n1","time":4,"version":2})"),
              std::vector<rule>{rule::version_decreased});
    EXPECT_EQ(broken_by(R"({"type":"version","node":"n1","time":0,"version":2})"),
              std::vector<rule>{});
}

// Guards against lines that are skipped silently.
TEST(history_checker, refuses_lines_that_it_cannot_read)
{
    for (const char* text : {"{", R"({"type":"call"})", R"({"type":"other"})",
                             R"({"type":"call","id":"1","payload":"","start":1,"end":2,)"
                             R"("outcome":"maybe"})"}) {
        records seen;
        std::istringstream lines{text};
        EXPECT_FALSE(read(lines, seen).ok()) << text;
    }
}

} // namespace
} // namespace chestnutstand::history
