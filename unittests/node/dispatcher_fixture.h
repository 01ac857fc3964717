#pragma once

#include "chestnutstand/node/dispatcher.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chestnutstand {

class mock_peer_client : public peer_client {
public:
    MOCK_METHOD(void, execute, (const node_reference&, const service_call&, call_done), (override));
    MOCK_METHOD(void, forward, (const node_reference&, const service_call&, bool, call_done),
                (override));
    MOCK_METHOD(void, settle,
                (const node_reference&, const std::string&, milliseconds, settle_done), (override));
    MOCK_METHOD(void, probe, (const node_reference&, milliseconds, probe_done), (override));
    MOCK_METHOD(void, fetch_changes,
                (const node_reference&, const fetch_request&, milliseconds, changes_done),
                (override));
    MOCK_METHOD(void, sync_members,
                (const node_reference&, std::vector<std::string>, milliseconds, members_done),
                (override));
};

inline call_result answer(int status)
{
    call_result result;
    result.outcome = call_outcome::completed;
    result.reason = reason_code::none;
    result.response.status = status;
    return result;
}

class dispatcher_test : public testing::Test {
protected:
    void SetUp() override
    {
        publish_members(3);
        service_config service;
        service.name = "ledger";
        service.priorities = {{"lookup", milliseconds{50}, 1.0, true},
                              {"payment", milliseconds{500}, 1.0, false}};
        auto published = std::make_shared<document>();
        published->services.push_back(service);
        configuration_.store(std::move(published));
        dispatcher_options options;
        options.self_instance = 99;
        options.now = [this] { return now_; };
        options.run_after = [this](milliseconds delay, std::function<void()> task) {
            timer_delays_.push_back(delay);
            timers_.push_back(std::move(task));
        };
        dispatcher_ = std::make_unique<dispatcher>(peers_, nullptr, routes_, configuration_,
                                                   counters_, std::move(options));
    }

    void publish_members(std::uint64_t count)
    {
        auto table = std::make_shared<routing_table>();
        for (std::uint64_t i = 1; i <= count; ++i) {
            member entry;
            entry.node = {i, "127.0.0.1", static_cast<std::uint16_t>(i)};
            entry.service = "ledger";
            table->by_service["ledger"].push_back(entry);
        }
        routes_.store(std::move(table));
    }

    call_result run(const std::string& priority = "lookup")
    {
        service_call call;
        call.service = "ledger";
        call.priority = priority;
        call.deadline = now_ + milliseconds{1000};
        call.retry_budget = 3;
        call.idempotency_key = priority == "payment" ? "key" : "";
        std::optional<call_result> result;
        dispatcher_->dispatch(call,
                              [&result](call_result reported) { result = std::move(reported); });
        EXPECT_TRUE(result.has_value());
        return result.value_or(unknown_outcome(reason_code::internal));
    }

    /// Completes every attempt with the result for its index, counted from zero over all
    /// calls.
    void answer_with(std::function<call_result(int)> result_of)
    {
        ON_CALL(peers_, execute(testing::_, testing::_, testing::_))
            .WillByDefault([this, result_of = std::move(result_of)](const node_reference& target,
                                                                    const service_call& call,
                                                                    const call_done& done) {
                attempts_.push_back({target.instance, call.retry_budget, call.request_id});
                done(result_of(static_cast<int>(attempts_.size()) - 1));
            });
    }

    struct attempt {
        std::uint64_t instance;
        std::uint32_t retry_budget;
        std::string request_id;
    };

    std::vector<attempt> attempts_;
    std::vector<std::function<void()>> timers_;
    std::vector<milliseconds> timer_delays_;
    time_point now_{milliseconds{1'000'000}};
    snapshot<routing_table> routes_;
    snapshot<document> configuration_;
    metrics counters_;
    testing::NiceMock<mock_peer_client> peers_;
    std::unique_ptr<dispatcher> dispatcher_;
};

} // namespace chestnutstand
