#include "fakes.h"
#include "records.pb.h"

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

wire::ConfigRecord to_record(const section_change& from)
{
    wire::ConfigRecord record;
    auto& change = *record.mutable_change();
    change.set_change_id(from.change_id);
    change.set_team(from.team);
    change.set_section(from.section);
    change.set_base_version(from.base_version);
    change.set_content(from.content);
    change.set_published_at(from.base_version);
    return record;
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

// Guards against a second record when the author repeats a change whose verdict was lost.
TEST_F(config_service_test, repeated_change_id_gets_the_first_verdict)
{
    const auto publisher = make_node(1);
    const auto other = make_node(2);
    EXPECT_TRUE(must_answer(publisher->publish(change("c1", "a", 0))).accepted);
    const auto again = must_answer(other->publish(change("c1", "a", 0)));
    EXPECT_TRUE(again.accepted) << again.explanation;
    EXPECT_EQ(again.version, 1U);
    EXPECT_TRUE(must_answer(publisher->publish(change("c1", "a", 0))).accepted);
    EXPECT_EQ(log_.append_count(), 1U);
}

// Guards against a blind second append, and against a wait without end, when an append got lost.
TEST_F(config_service_test, lost_append_request_ends_without_a_verdict)
{
    options_.publish_wait = milliseconds{100};
    const auto publisher = make_node(1);
    log_.set_next_append(fake_log::append_fault::request_lost);
    const auto result = publisher->publish(change("c1", "a", 0)).get();
    EXPECT_EQ(result.status().code(), absl::StatusCode::kDeadlineExceeded);
    EXPECT_EQ(log_.append_count(), 1U);
    EXPECT_TRUE(must_answer(publisher->publish(change("c1", "a", 0))).accepted);
}

// Guards against a change that is reported as published, or lost in a queue, while the log is down.
TEST_F(config_service_test, log_outage_refuses_changes_and_keeps_the_document)
{
    const auto publisher = make_node(1);
    EXPECT_TRUE(must_answer(publisher->publish(change("c1", "a", 0))).accepted);
    log_.set_down(true);
    const auto result = publisher->publish(change("c2", "a", 1)).get();
    EXPECT_EQ(result.status().code(), absl::StatusCode::kUnavailable);
    EXPECT_EQ(result.status().message(),
              "the change was not published: no connection to the log service");
    EXPECT_EQ(publisher->document_version(), 1U);
    log_.set_down(false);
    EXPECT_TRUE(must_answer(publisher->publish(change("c2", "a", 1))).accepted);
}

// Guards against appends for changes that cannot be accepted.
TEST_F(config_service_test, predictable_rejections_are_not_appended)
{
    const auto publisher = make_node(1);
    EXPECT_TRUE(must_answer(publisher->publish(change("c1", "a", 0))).accepted);
    EXPECT_EQ(must_answer(publisher->publish(change("c2", "a", 1, "other"))).explanation,
              "section a is owned by team team, the change is from team other");
    EXPECT_FALSE(must_answer(publisher->publish(change("c3", "a", 0))).accepted);
    EXPECT_EQ(log_.append_count(), 1U);
}

// Guards against two winners, or none, among racing changes of one section.
TEST_F(config_service_test, one_of_racing_changes_is_accepted)
{
    const auto first = make_node(1);
    const auto second = make_node(2);
    std::uint64_t base = 0;
    for (int round = 0; round < 20; ++round) {
        const auto id = std::to_string(round);
        auto one = first->publish(change("one" + id, "a", base));
        auto two = second->publish(change("two" + id, "a", base));
        const auto one_verdict = must_answer(std::move(one));
        const auto two_verdict = must_answer(std::move(two));
        EXPECT_NE(one_verdict.accepted, two_verdict.accepted);
        base = one_verdict.accepted ? one_verdict.version : two_verdict.version;
    }
}

// Guards against a new node that stays without a document while the log is down.
TEST_F(config_service_test, new_node_starts_from_a_peer_while_the_log_is_down)
{
    const auto publisher = make_node(1);
    EXPECT_TRUE(must_answer(publisher->publish(change("c1", "a", 0))).accepted);
    EXPECT_TRUE(must_answer(publisher->publish(change("c2", "b", 0))).accepted);
    log_.set_down(true);
    const auto starting = make_node(2);
    starting->hint(*publisher, 2);
    EXPECT_TRUE(eventually([&] { return starting->document_version() == 2; }));
}

// Guards against a node that waits for the next gossip when the first peer does not answer.
TEST_F(config_service_test, second_hint_is_used_when_the_first_peer_is_gone)
{
    const auto publisher = make_node(1);
    const auto gone = make_node(3);
    peers_.add(3, nullptr);
    const auto learning = make_node(2);
    EXPECT_TRUE(must_answer(publisher->publish(change("c1", "a", 0))).accepted);
    log_.set_down(true);
    learning->on_loop([&] {
        learning->service().hint(gone->reference(), 1);
        learning->service().hint(publisher->reference(), 1);
        return true;
    });
    EXPECT_TRUE(eventually([&] { return learning->document_version() == 1; }));
}

// Guards against checkpoints that are missing, or written by all nodes, and against nodes that
// cannot start or go on once the records before a checkpoint have expired.
TEST_F(config_service_test, one_checkpoint_lets_nodes_start_after_expiry)
{
    options_.checkpoint_records = 5;
    const auto one = make_node(1);
    const auto two = make_node(2);
    const auto three = make_node(3);
    const auto behind = make_node(4);
    EXPECT_TRUE(must_answer(one->publish(change("c0", "a", 0))).accepted);
    behind->hint(*one, 1);
    EXPECT_TRUE(eventually([&] { return behind->document_version() == 1; }));
    for (const auto* each : {&one, &two, &three}) {
        (*each)->tail();
    }
    for (std::uint64_t i = 1; i < 5; ++i) {
        EXPECT_TRUE(must_answer(one->publish(change("c" + std::to_string(i), "a", i))).accepted);
    }
    EXPECT_TRUE(eventually([&] { return log_.records().size() > 5; }));
    // Longer than the longest wait before a checkpoint.
    std::this_thread::sleep_for(std::chrono::milliseconds{400});
    EXPECT_EQ(log_.records().size(), 6U);

    log_.expire_before(5);
    behind->tail();
    const auto starting = make_node(5);
    starting->tail();
    EXPECT_TRUE(eventually([&] { return starting->next_offset() == 6; }));
    EXPECT_EQ(starting->document_version(), 5U);
    EXPECT_TRUE(eventually([&] { return behind->next_offset() == 6; }));
    EXPECT_EQ(behind->document_version(), 5U);

    // This peer has only the records after the checkpoint and sends its state instead.
    log_.set_down(true);
    const auto learning = make_node(6);
    learning->hint(*starting, 6);
    EXPECT_TRUE(eventually([&] { return learning->document_version() == 5; }));
}

// Guards against a document that is lost because its only records expire unnoticed.
TEST_F(config_service_test, checkpoint_is_written_when_records_get_old)
{
    options_.log_retention = milliseconds{1'000};
    const auto node = make_node(1);
    node->tail();
    EXPECT_TRUE(must_answer(node->publish(change("c1", "a", 0))).accepted);
    log_.set_age(milliseconds{600});
    EXPECT_TRUE(eventually([&] { return log_.records().size() > 1; }));
}

// Guards against a node that serves something although the needed records have expired.
TEST_F(config_service_test, no_document_without_a_usable_checkpoint)
{
    const auto publisher = make_node(1);
    EXPECT_TRUE(must_answer(publisher->publish(change("c1", "a", 0))).accepted);
    EXPECT_TRUE(must_answer(publisher->publish(change("c2", "a", 1))).accepted);
    log_.expire_before(1);
    const auto starting = make_node(2);
    starting->tail();
    const auto refused = starting->publish(change("c3", "b", 0)).get();
    EXPECT_EQ(refused.status().code(), absl::StatusCode::kUnavailable);
    EXPECT_EQ(starting->document_version(), 0U);
}

// Guards against a new node that replays a long log from its start.
TEST_F(config_service_test, long_log_is_replayed_from_its_last_checkpoint)
{
    change_replay replay;
    std::uint64_t offset = 0;
    const auto append = [&](const wire::ConfigRecord& record) {
        replay.apply(offset++, record);
        log_.append(config_stream, record.SerializeAsString(), [](const auto&) {});
    };
    wire::ConfigRecord record;
    for (std::uint64_t i = 0; i < 2000; ++i) {
        // Records of no known kind are the cheapest.
        append(i % 500 == 0 ? to_record(change(std::to_string(i), "a", replay.version())) : record);
    }
    *record.mutable_checkpoint() = replay.make_checkpoint();
    append(record);
    const auto starting = make_node(1);
    starting->tail();
    EXPECT_TRUE(eventually([&] { return starting->next_offset() == 2001; }));
    EXPECT_EQ(starting->document_version(), 1501U);
    EXPECT_LT(log_.records_read(), 1000U);
}

} // namespace
} // namespace chestnutstand
