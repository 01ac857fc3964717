#include "chestnutstand/tenancy/quota_service.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace chestnutstand {
namespace {

constexpr std::uint64_t self = 1;

/// Entry node of a cluster of two whose owner is the other node; replies are held back.
class quota_service_test : public ::testing::Test {
protected:
    quota_service_test() : service_{self, environment(), in_force_, stats_}
    {
        set_document({{"acme", {}, {}, 100.0, 100.0}, {"free", {}, {}, 0.0, 0.0}});
        quota_view view;
        view.self = self;
        view.updated = now_;
        view.settled = true;
        // A draining node is never the owner.
        view.live = {{{self, "10.0.0.1", 1}, true, false}, {{2, "10.0.0.2", 1}, false, false}};
        view.seen = view.known = 2;
        service_.set_view(std::make_shared<const quota_view>(view));
    }

    quota_environment environment()
    {
        return {[this] { return now_; },
                [this](const node_reference& target, const quota_request& request, milliseconds,
                       peer_client::quota_done done) {
                    EXPECT_EQ(target.instance, 2U);
                    questions_.emplace_back(request, std::move(done));
                },
                0.0};
    }

    void set_document(std::vector<tenant> tenants)
    {
        auto made = std::make_shared<document>();
        made->version = 7;
        made->tenants = std::move(tenants);
        in_force_.store(std::move(made));
    }

    service_call call_of(const std::string& tenant) const
    {
        service_call call;
        call.tenant = tenant;
        call.deadline = now_ + milliseconds{1'000};
        call.cancel = std::make_shared<cancellation>();
        return call;
    }

    void admit(const service_call& call)
    {
        service_.admit(call,
                       [this](const quota_verdict& verdict) { verdicts_.push_back(verdict); });
    }

    time_point now_{milliseconds{1'000'000}};
    snapshot<document> in_force_;
    metrics stats_;
    std::vector<std::pair<quota_request, peer_client::quota_done>> questions_;
    std::vector<quota_verdict> verdicts_;
    quota_service service_;
};

// Guards against a step that calls without a quota have to take.
TEST_F(quota_service_test, calls_without_a_quota_pass_at_once)
{
    EXPECT_FALSE(service_.limits(""));
    EXPECT_FALSE(service_.limits("free"));
    EXPECT_FALSE(service_.limits("unknown"));
    EXPECT_TRUE(service_.limits("acme"));
    set_document({});
    EXPECT_FALSE(service_.limits("acme"));
    EXPECT_FALSE(service_.has_limits());
}

// Guards against a question for each of several waiting requests, and against a request that is
// lost after a partial grant.
TEST_F(quota_service_test, requests_wait_for_one_question)
{
    const auto call = call_of("acme");
    for (int i = 0; i < 3; ++i) {
        admit(call);
    }
    ASSERT_EQ(questions_.size(), 1U);
    EXPECT_EQ(questions_[0].first.tokens, 1U);
    EXPECT_EQ(questions_[0].first.document_version, 7U);
    EXPECT_TRUE(verdicts_.empty());
    questions_[0].second(quota_reply{1, {}, true, 2});
    EXPECT_EQ(verdicts_.size(), 1U);
    ASSERT_EQ(questions_.size(), 2U);
    EXPECT_EQ(questions_[1].first.tokens, 2U);
    questions_[1].second(quota_reply{1, milliseconds{40}, true, 2});
    ASSERT_EQ(verdicts_.size(), 3U);
    EXPECT_TRUE(verdicts_[1].admitted);
    EXPECT_FALSE(verdicts_[2].admitted);
    EXPECT_EQ(verdicts_[2].reason, reason_code::quota_exceeded);
    EXPECT_EQ(verdicts_[2].retry_after, milliseconds{40});
}

// Guards against a cancelled request that takes a token, and against one that is answered twice.
TEST_F(quota_service_test, a_cancelled_request_leaves_the_wait)
{
    const auto cancelled = call_of("acme");
    admit(cancelled);
    admit(call_of("acme"));
    cancelled.cancel->cancel();
    ASSERT_EQ(verdicts_.size(), 1U);
    EXPECT_EQ(verdicts_[0].reason, reason_code::caller_gone);
    questions_[0].second(quota_reply{1, {}, true, 2});
    ASSERT_EQ(verdicts_.size(), 2U);
    EXPECT_TRUE(verdicts_[1].admitted);
}

// Guards against a token that is lost with a request that was refused for another reason.
TEST_F(quota_service_test, a_returned_token_serves_the_next_request)
{
    admit(call_of("acme"));
    questions_[0].second(quota_reply{1, {}, true, 2});
    ASSERT_EQ(verdicts_.size(), 1U);
    service_.give_back("acme", *verdicts_[0].credit);
    admit(call_of("acme"));
    EXPECT_EQ(verdicts_.size(), 2U);
    EXPECT_EQ(questions_.size(), 1U);
}

// Guards against requests that wait for an owner that does not answer, one after another.
TEST_F(quota_service_test, a_silent_owner_is_asked_rarely)
{
    admit(call_of("acme"));
    questions_[0].second(absl::DeadlineExceededError("no reply"));
    ASSERT_EQ(verdicts_.size(), 1U);
    EXPECT_FALSE(verdicts_[0].admitted);
    for (int i = 0; i < 10; ++i) {
        admit(call_of("acme"));
    }
    EXPECT_EQ(verdicts_.size(), 11U);
    EXPECT_EQ(questions_.size(), 1U);
    now_ += milliseconds{300};
    admit(call_of("acme"));
    EXPECT_EQ(verdicts_.size(), 12U);
    ASSERT_EQ(questions_.size(), 2U);
    questions_[1].second(quota_reply{1, {}, true, 2});
    admit(call_of("acme"));
    EXPECT_TRUE(verdicts_.back().admitted);
}

} // namespace
} // namespace chestnutstand
