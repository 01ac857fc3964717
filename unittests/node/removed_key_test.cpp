#include "dispatcher_fixture.h"
#include "executor_fixture.h"

#include "chestnutstand/tenancy/tenant_directory.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chestnutstand {
namespace {

using testing::_;

/// Document of the fixtures with a version and tenants.
std::shared_ptr<const document> with_tenants(const document& base, std::uint64_t version,
                                             std::vector<tenant> tenants)
{
    auto changed = std::make_shared<document>(base);
    changed->version = version;
    changed->tenants = std::move(tenants);
    changed->index_tenants();
    return changed;
}

tenant account(std::string name, std::vector<std::string> keys)
{
    tenant made;
    made.name = std::move(name);
    made.keys = std::move(keys);
    return made;
}

service_call admitted(const document& by, const std::string& key)
{
    service_call call;
    call.repeat = repeatability::at_most_once;
    const auto owner = by.directory->find(key);
    call.tenant = by.tenants.at(owner->tenant).name;
    call.key_id = owner->key_id;
    call.document_version = by.version;
    return call;
}

/// The call as of a caller that came back, which is queued although its response will be late.
service_call came_back(service_call call = {})
{
    call.due = ms_clock::now();
    return call;
}

class removed_key_at_executor : public executor_test {
protected:
    removed_key_at_executor()
    {
        document_ = first_;
        executor_.poll(ms_clock::now());
    }

    /// Makes the calls of a test wait: the upstream has two slots.
    void fill_slots()
    {
        execute();
        execute();
        ASSERT_EQ(upstream_.pending.size(), 2U);
    }

    std::shared_ptr<const document> first_ = with_tenants(
        *make_document(), 1, {account("acme", {"old-key", "new-key"}), account("bolt", {"b"})});
    std::shared_ptr<const document> second_ =
        with_tenants(*make_document(), 2, {account("acme", {"new-key"})});
};

// Guards against a queued call that starts although a newer document no longer lists its key, and
// against refusing the calls with the other key of that tenant.
TEST_F(removed_key_at_executor, queued_calls_with_removed_keys_are_refused)
{
    fill_slots();
    const int with_old_key = execute(came_back(admitted(*first_, "old-key")));
    const int with_new_key = execute(came_back(admitted(*first_, "new-key")));
    const int of_removed_tenant = execute(came_back(admitted(*first_, "b")));
    const int without_tenant = execute(came_back());
    document_ = second_;
    executor_.poll(ms_clock::now());
    for (const int refused : {with_old_key, of_removed_tenant}) {
        ASSERT_EQ(reason_of(refused), reason_code::unknown_api_key);
        EXPECT_EQ(results_.at(refused).outcome, call_outcome::not_run);
    }
    EXPECT_FALSE(results_.contains(with_new_key));
    EXPECT_FALSE(results_.contains(without_tenant));
    upstream_.respond(1, 200);
    upstream_.respond(2, 200);
    EXPECT_EQ(upstream_.last_id, 4U);
}

// Guards against a call that starts between the arrival of a document and the next poll.
TEST_F(removed_key_at_executor, call_with_a_removed_key_is_not_started)
{
    fill_slots();
    const int queued = execute(admitted(*first_, "old-key"));
    document_ = second_;
    // Applies the document, as a poll would, without the check of the whole queue.
    execute();
    upstream_.respond(1, 200);
    EXPECT_EQ(reason_of(queued), reason_code::unknown_api_key);
    EXPECT_EQ(results_.at(queued).outcome, call_outcome::not_run);
    // The fourth call took the slot.
    EXPECT_EQ(upstream_.last_id, 3U);
}

// Guards against a queued call that starts although a newer document has removed the last tenant.
TEST_F(removed_key_at_executor, queued_calls_are_refused_when_the_last_tenant_is_removed)
{
    fill_slots();
    const int queued = execute(came_back(admitted(*first_, "old-key")));
    document_ = with_tenants(*make_document(), 2, {});
    executor_.poll(ms_clock::now());
    EXPECT_EQ(reason_of(queued), reason_code::unknown_api_key);
    const int arriving = execute(admitted(*first_, "new-key"));
    EXPECT_EQ(reason_of(arriving), reason_code::unknown_api_key);
}

/// A call that an entry node has admitted without a key under the given version.
service_call admitted_without_key(std::uint64_t version)
{
    service_call call;
    call.repeat = repeatability::at_most_once;
    call.request = {
        "GET", "/view/1", {{"Host", "shop.example"}, {"Authorization", "Bearer k"}}, ""};
    call.document_version = version;
    return call;
}

// Guards against a call that an entry node with an older document, in which its route needed no
// key, lets pass to an upstream, and against refusing such a call where no key is needed.
TEST_F(removed_key_at_executor, call_without_a_key_is_refused_where_a_newer_document_needs_one)
{
    auto changed = std::make_shared<document>(*second_);
    route view;
    view.host = "shop.example";
    view.path_prefix = "/view/";
    view.service = "ledger";
    changed->routes = {view};
    changed->index_routes();
    document_ = changed;
    EXPECT_EQ(reason_of(execute(admitted_without_key(1))), reason_code::unknown_api_key);
    EXPECT_EQ(upstream_.last_id, 0U);
    // An entry node whose document is newer knows better.
    execute(admitted_without_key(3));
    EXPECT_EQ(upstream_.last_id, 1U);
    auto anonymous = std::make_shared<document>(*changed);
    anonymous->version = 4;
    anonymous->routes.front().anonymous = true;
    document_ = anonymous;
    execute(admitted_without_key(1));
    ASSERT_EQ(upstream_.last_id, 2U);
    EXPECT_FALSE(find_header(upstream_.requests.at(2).headers, "Authorization"));
}

// Guards against an entry node that cannot reach the store and keeps sending calls with a key that
// has been removed meanwhile.
TEST_F(removed_key_at_executor, call_of_an_entry_node_with_an_older_document_is_refused)
{
    document_ = second_;
    const int removed = execute(admitted(*first_, "old-key"));
    EXPECT_EQ(reason_of(removed), reason_code::unknown_api_key);
    EXPECT_EQ(upstream_.last_id, 0U);
    execute(admitted(*first_, "new-key"));
    EXPECT_EQ(upstream_.last_id, 1U);
}

// Guards against refusing calls with keys that were added in a document that this node has not got
// yet.
TEST_F(removed_key_at_executor, call_of_an_entry_node_with_a_newer_document_runs)
{
    const auto newer = with_tenants(*make_document(), 3, {account("crane", {"added-key"})});
    execute(admitted(*newer, "added-key"));
    EXPECT_EQ(upstream_.last_id, 1U);
}

class removed_key_at_entry : public dispatcher_test {
protected:
    void publish(std::uint64_t version, std::vector<tenant> tenants)
    {
        configuration_.store(with_tenants(*configuration_.load(), version, std::move(tenants)));
    }

    call_result run_admitted(const std::shared_ptr<const document>& by, const std::string& key)
    {
        service_call call = admitted(*by, key);
        call.service = "ledger";
        call.priority = "lookup";
        call.deadline = now_ + milliseconds{1000};
        call.retry_budget = 1;
        call.repeat = repeatability::repeatable;
        call.request_id = "attempt-1";
        call_result result;
        dispatcher_->dispatch(call, [&](call_result reported) { result = std::move(reported); });
        return result;
    }
};

// Guards against a further attempt of a call whose key was removed while the first attempt waited.
TEST_F(removed_key_at_entry, no_attempt_follows_the_removal_of_the_key)
{
    publish(1, {account("acme", {"old-key"})});
    answer_with([this](int /*attempt*/) {
        publish(2, {account("acme", {"new-key"})});
        return not_run(reason_code::queue_full);
    });
    const call_result result = run_admitted(configuration_.load(), "old-key");
    EXPECT_EQ(result.outcome, call_outcome::not_run);
    EXPECT_EQ(attempts_.size(), 1U);
}

// Guards against attempts at every member after one with a newer document has refused the key.
TEST_F(removed_key_at_entry, refused_key_is_not_tried_elsewhere)
{
    publish(1, {account("acme", {"old-key"})});
    answer_with([](int /*attempt*/) { return not_run(reason_code::unknown_api_key); });
    const call_result result = run_admitted(configuration_.load(), "old-key");
    EXPECT_EQ(result.outcome, call_outcome::not_run);
    EXPECT_EQ(result.reason, reason_code::unknown_api_key);
    EXPECT_EQ(attempts_.size(), 1U);
}

// Guards against dispatching a call whose key was removed after the ingress had looked it up, and
// against a repeated attempt that is refused for the version of the document that admitted it.
TEST_F(removed_key_at_entry, each_attempt_is_admitted_by_the_document_in_force)
{
    publish(1, {account("acme", {"old-key", "new-key"})});
    const auto first = configuration_.load();
    publish(2, {account("acme", {"new-key"})});
    EXPECT_CALL(peers_, execute(_, _, _)).Times(0);
    EXPECT_EQ(run_admitted(first, "old-key").reason, reason_code::unknown_api_key);
    testing::Mock::VerifyAndClearExpectations(&peers_);
    EXPECT_CALL(peers_, execute(_, _, _))
        .WillOnce([](const node_reference&, const service_call& call, const call_done& done) {
            EXPECT_EQ(call.document_version, 2U);
            EXPECT_EQ(call.tenant, "acme");
            done(answer(200));
        });
    EXPECT_EQ(run_admitted(first, "new-key").outcome, call_outcome::completed);
}

} // namespace
} // namespace chestnutstand
