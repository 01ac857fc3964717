#pragma once

#include "chestnutstand/node/executor.h"
#include "chestnutstand/transport/headers.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chestnutstand {

inline constexpr std::uint64_t own_instance = 7;

/// Upstream whose responses the test sends explicitly.
class fake_upstream : public http_client {
public:
    request_id send(const std::string& /*base_url*/, http_request request, milliseconds timeout,
                    http_done done) override
    {
        const auto id = ++last_id;
        requests.emplace(id, std::move(request));
        timeouts.emplace(id, timeout);
        pending.emplace(id, std::move(done));
        return id;
    }

    void cancel(request_id id) override
    {
        if (pending.contains(id)) {
            complete(id, {http_error::cancelled, {}, milliseconds{1}});
        }
    }

    void complete(request_id id, const http_result& result)
    {
        const auto done = pending.extract(id).mapped();
        done(result);
    }

    void respond(request_id id, int status, std::vector<http_header> headers = {})
    {
        const auto request = find_header(requests.at(id).headers, header::request_id);
        headers.push_back({std::string{header::request_id}, std::string{request.value_or("")}});
        complete(id, {http_error::none, {status, std::move(headers), "done"}, milliseconds{1}});
    }

    request_id last_id = 0;
    std::map<request_id, http_request> requests;
    std::map<request_id, milliseconds> timeouts;
    std::map<request_id, http_done> pending;
};

inline std::shared_ptr<const document> make_document()
{
    auto config = std::make_shared<document>();
    service_config service;
    service.name = "ledger";
    service.priorities = {{"read", milliseconds{200}, 3.0, true},
                          {"write", milliseconds{1000}, 8.0, false}};
    service.probe_budget_per_s = 0.0;
    config->services = {service};
    return config;
}

inline constexpr const char* secret = "secret of the test";

/// Creates a key whose only candidate is this executor.
inline std::string make_key(std::uint64_t sequence)
{
    idempotency_key key;
    key.owner = {own_instance, "127.0.0.1", 1};
    key.candidates = {key.owner};
    key.sequence = sequence;
    key.service = "ledger";
    return encode(key, secret);
}

class executor_test : public ::testing::Test {
protected:
    executor_test()
    {
        executor_.set_upstream(local_upstream{"ledger", "http://127.0.0.1:1", 2, ""});
    }

    /// Executes a call and returns the number under which its result is stored.
    int execute(service_call call = {}, std::uint64_t target = own_instance)
    {
        const int number = ++last_call_;
        call.service = "ledger";
        call.priority = call.priority.empty() ? "read" : call.priority;
        call.deadline = ms_clock::now() + milliseconds{60'000};
        call.request_id = std::to_string(number);
        executor_.execute(target, std::move(call), [this, number](call_result result) {
            EXPECT_TRUE(results_.emplace(number, std::move(result)).second);
        });
        return number;
    }

    reason_code reason_of(int number) const
    {
        const auto found = results_.find(number);
        return found == results_.end() ? reason_code::internal : found->second.reason;
    }

    fake_upstream upstream_;
    metrics stats_;
    std::shared_ptr<const document> document_ = make_document();
    executor_keys keys_{own_instance, secret, key_table_limits{}};
    executor executor_{own_instance, upstream_, stats_, keys_, [this] { return document_; }};
    std::map<int, call_result> results_;
    int last_call_ = 0;
};

} // namespace chestnutstand
