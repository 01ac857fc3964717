#include "fakes.h"

#include "chestnutstand/config/config_service.h"

#include <gtest/gtest.h>

namespace chestnutstand {
namespace {

std::string content_of(const std::string& owner, const std::string& service)
{
    return R"({"owner": ")" + owner + R"(", "services": [{"name": ")" + service +
           R"(", "priorities": [{"name": "urgent"}]}]})";
}

section_change change(const std::string& id, const std::string& name, std::uint64_t base,
                      const std::string& team = "team")
{
    return {id, team, name, base, content_of(team, name)};
}

class config_service_test : public testing::Test {
protected:
    std::unique_ptr<fake_node> make_node(std::uint64_t instance)
    {
        auto options = options_;
        options.instance = instance;
        return std::make_unique<fake_node>(options, log_, peers_);
    }
    static publish_verdict must_answer(std::future<absl::StatusOr<publish_verdict>> verdict)
    {
        const auto result = verdict.get();
        EXPECT_TRUE(result.ok()) << result.status();
        return result.ok() ? *result : publish_verdict{};
    }

    fake_log log_;
    fake_peers peers_;
    config_options options_{.poll_period = milliseconds{5},
                            .publish_wait = milliseconds{30'000},
                            .checkpoint_wait = milliseconds{200}};
};

// Guards against a change that does not reach nodes that read the log or learn from a peer.
TEST_F(config_service_test, published_change_reaches_tailing_node_and_peer)
{
    const auto publisher = make_node(1);
    const auto tailing = make_node(2);
    const auto learning = make_node(3);
    tailing->tail();
    const auto verdict = must_answer(publisher->publish(change("c1", "a", 0)));
    EXPECT_TRUE(verdict.accepted) << verdict.explanation;
    EXPECT_EQ(verdict.version, 1U);
    EXPECT_EQ(publisher->document_version(), 1U);
    EXPECT_TRUE(eventually([&] { return tailing->document_version() == 1; }));
    learning->hint(*tailing, 1);
    EXPECT_TRUE(eventually([&] { return learning->document_version() == 1; }));
}

// Guards against a second append or a wrong verdict when the answer to the append is lost.
TEST_F(config_service_test, lost_append_response_is_resolved_by_reading)
{
    const auto publisher = make_node(1);
    log_.set_next_append(fake_log::append_fault::response_lost);
    EXPECT_TRUE(must_answer(publisher->publish(change("c1", "a", 0))).accepted);
    EXPECT_EQ(log_.append_count(), 1U);
}

} // namespace
} // namespace chestnutstand
