#include "chestnutstand/config/record_follower.h"

#include "fakes.h"

#include "chestnutstand/support/str_cat.h"

#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <future>
#include <memory>
#include <mutex>
#include <set>

namespace chestnutstand {
namespace {

std::string record_of(int version)
{
    return str_cat(R"({"version": )", version, R"(, "services": [], "routes": []})");
}

/// Store whose pending reads are completed by the test.
class fake_store final : public keyed_store {
public:
    struct read {
        bool newest = false;
        std::uint64_t from = 0;
        milliseconds wait{0};
        read_done done;
    };

    void put(store_topic, const std::string&, std::string, write_done) override {}
    void newest(store_topic, read_done done) override
    {
        add({true, 0, milliseconds{0}, std::move(done)});
    }
    void follow(store_topic, std::uint64_t from, milliseconds wait, read_done done) override
    {
        add({false, from, wait, std::move(done)});
    }

    std::size_t pending_reads()
    {
        const std::lock_guard lock{mutex_};
        return reads_.size();
    }

    /// Waits for the next pending read and removes it.
    read next()
    {
        std::unique_lock lock{mutex_};
        arrived_.wait_for(lock, std::chrono::seconds{10}, [&] { return !reads_.empty(); });
        EXPECT_FALSE(reads_.empty());
        if (reads_.empty()) {
            return {};
        }
        read first = std::move(reads_.front());
        reads_.pop_front();
        return first;
    }

private:
    void add(read pending)
    {
        const std::lock_guard lock{mutex_};
        reads_.push_back(std::move(pending));
        arrived_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable arrived_;
    std::deque<read> reads_;
};

class record_follower_test : public testing::Test {
public:
    ~record_follower_test() override { loop_.stop(); }

protected:
    record_follower_test()
    {
        record_follower_options options;
        options.initial_backoff = milliseconds{1};
        options.max_lead_backoff = milliseconds{1};
        options.max_standby_backoff = milliseconds{1};
        options.lost_read_grace = milliseconds{1};
        follower_ = std::make_unique<record_follower>(options, loop_, store_, peers_, stats_);
        loop_.post([this] {
            follower_->set_reader_role(reader_role::lead);
            follower_->start();
        });
    }

    /// Runs work on the control thread and waits for its end.
    template <typename Work>
    void on_control(Work work)
    {
        std::promise<void> ran;
        loop_.post([&] {
            work();
            ran.set_value();
        });
        ran.get_future().wait();
    }

    std::uint64_t version() const
    {
        const auto document = follower_->current().load();
        return document ? document->version : 0;
    }

    /// Completes the next read, which must be of the newest records, with a record of a version.
    void complete_newest_read(int version_found, std::uint64_t next)
    {
        const auto read = store_.next();
        EXPECT_TRUE(read.newest);
        read.done(keyed_page{{{"k", record_of(version_found), next - 1}}, next});
    }

    /// Lets the control thread run all tasks that the follower has posted.
    void run_posted_tasks()
    {
        for (int i = 0; i < 3; ++i) {
            on_control([] {});
        }
    }

    fake_store store_;
    fake_peers peers_;
    metrics stats_;
    control_loop loop_;
    std::unique_ptr<record_follower> follower_;
};

// Guards against a node that misses a record between its first read and the long polls.
TEST_F(record_follower_test, follows_from_the_newest_record)
{
    complete_newest_read(3, 5);
    const auto follow = store_.next();
    EXPECT_FALSE(follow.newest);
    EXPECT_EQ(follow.from, 5U);
    EXPECT_EQ(version(), 3U);
    follow.done(keyed_page{{{"k", record_of(4), 5}, {"k", record_of(6), 6}}, 7});
    EXPECT_EQ(store_.next().from, 7U);
    EXPECT_EQ(version(), 6U);
}

// Guards against a document that is replaced by an older one or by an invalid record.
TEST_F(record_follower_test, ignores_older_and_invalid_records)
{
    complete_newest_read(6, 5);
    store_.next().done(keyed_page{{{"k", record_of(4), 5}, {"k", "{\"version\": 9", 6}}, 7});
    EXPECT_EQ(store_.next().from, 7U);
    EXPECT_EQ(version(), 6U);
}

// Guards against a record of another writer that ends the node: one that is nested very deeply,
// with numbers that no type holds, or with bytes that are not text.
TEST_F(record_follower_test, survives_odd_records)
{
    constexpr std::size_t nesting = 100'000;
    const std::string deep = std::string(nesting, '[') + std::string(nesting, ']');
    complete_newest_read(6, 5);
    store_.next().done(keyed_page{{{"k", deep, 5},
                                   {"k", R"({"version": 9, "services": )" + deep + "}", 6},
                                   {"k", R"({"version": 1e999, "services": [], "routes": []})", 7},
                                   {"k", R"({"version": -1, "services": [], "routes": []})", 8},
                                   {"k", std::string("\xff\x00{", 3), 9}},
                                  10});
    EXPECT_EQ(store_.next().from, 10U);
    EXPECT_EQ(version(), 6U);
}

// Guards against a node without a document because one route has a kind that it does not know, and
// against an operator who cannot see that.
TEST_F(record_follower_test, reports_unknown_names_of_the_document_in_force)
{
    const auto read = store_.next();
    const std::string text =
        R"({"version": 3, "services": [{"name": "s"}], "routes":
            [{"name": "r", "host": "h", "service": "s", "kind": "later"}]})";
    read.done(keyed_page{{{"k", text, 4}}, 5});
    store_.next().done(keyed_page{{}, 5});
    EXPECT_EQ(version(), 3U);
    auto& unknown = stats_.counter("chestnutstand_document_unknown_names");
    EXPECT_EQ(unknown.load(), 1U);
    store_.next().done(keyed_page{{{"k", record_of(4), 5}}, 6});
    store_.next();
    EXPECT_EQ(version(), 4U);
    EXPECT_EQ(unknown.load(), 0U);
}

// Guards against a version that is not followed because of one value, and against an operator who
// cannot see which values are not taken as written.
TEST_F(record_follower_test, reports_values_that_it_does_not_take_as_written)
{
    const auto read = store_.next();
    const std::string text =
        R"({"version": 3, "services": [{"name": "s"}], "routes":
            [{"name": "r", "host": "h", "service": "s", "timeout_ms": 1e7},
             {"name": "q", "host": "q", "service": 5}, 7]})";
    read.done(keyed_page{{{"k", text, 4}}, 5});
    store_.next().done(keyed_page{{}, 5});
    EXPECT_EQ(version(), 3U);
    auto& adjusted = stats_.counter("chestnutstand_document_adjusted_values");
    auto& damaged = stats_.counter("chestnutstand_document_damaged_values");
    EXPECT_EQ(adjusted.load(), 1U);
    EXPECT_EQ(damaged.load(), 2U);
    store_.next().done(keyed_page{{{"k", record_of(4), 5}}, 6});
    store_.next();
    EXPECT_EQ(version(), 4U);
    EXPECT_EQ(adjusted.load() + damaged.load(), 0U);
}

// Guards against a node that keeps polling from an offset whose records the store has dropped.
TEST_F(record_follower_test, reads_the_newest_again_when_records_are_gone)
{
    complete_newest_read(3, 5);
    store_.next().done(absl::OutOfRangeError("dropped"));
    complete_newest_read(8, 20);
    EXPECT_EQ(store_.next().from, 20U);
    EXPECT_EQ(version(), 8U);
}

keyed_page page_of_era(std::uint64_t era, std::uint64_t next)
{
    keyed_page page;
    page.era = era;
    page.next = next;
    return page;
}

// Guards against a reader that goes on from an offset that means another record since the store has
// come back from an older copy, and against a document that is replaced by its older version there.
TEST_F(record_follower_test, reads_the_newest_again_in_a_new_era)
{
    auto first = page_of_era(1, 5);
    first.records = {{"k", record_of(6), 4}};
    store_.next().done(first);
    const auto follow = store_.next();
    EXPECT_EQ(follow.from, 5U);
    follow.done(page_of_era(2, 5));
    const auto again = store_.next();
    EXPECT_TRUE(again.newest);
    auto older = page_of_era(2, 4);
    older.records = {{"k", record_of(5), 3}};
    again.done(older);
    EXPECT_EQ(store_.next().from, 4U);
    EXPECT_EQ(version(), 6U);
}

// Guards against a reader whose long poll waits at an offset of the era before, although a peer
// knows the new one.
TEST_F(record_follower_test, starts_over_when_a_peer_knows_a_new_era)
{
    store_.next().done(page_of_era(1, 5));
    const auto waiting = store_.next();
    EXPECT_FALSE(waiting.newest);
    peers_.add(2, [](std::uint64_t, const peer_client::changes_done& done) {
        done(fetched_changes{{{0, R"({"evacuations":[],"era":2})"}}, false});
    });
    on_control([&] { follower_->hint_evacuations({2, "127.0.0.1", 1}, 77); });
    EXPECT_TRUE(store_.next().newest);
}

// Guards against an evacuation that a node without the store does not learn of from its peers.
TEST_F(record_follower_test, takes_evacuations_from_the_store_and_passes_them_on)
{
    auto listing = page_of_era(1, 5);
    listing.evacuations = {{"west", true, 4}};
    store_.next().done(listing);
    store_.next();
    std::string text;
    on_control([&] { text = follower_->handle_fetch({0}).records.back().payload; });
    fake_store unreachable;
    record_follower other{{}, loop_, unreachable, peers_, stats_};
    peers_.add(2, [&](std::uint64_t, const peer_client::changes_done& done) {
        done(fetched_changes{{{0, text}}, false});
    });
    on_control([&] { other.hint_evacuations({2, "127.0.0.1", 1}, 77); });
    run_posted_tasks();
    const auto names = other.evacuations()->evacuated().load();
    ASSERT_TRUE(names);
    EXPECT_EQ(*names, std::set<std::string>{"west"});
}

// Guards against a node that keeps an old document when it cannot reach the store but its peers
// can.
TEST_F(record_follower_test, takes_a_newer_document_from_a_peer)
{
    store_.next().done(absl::UnavailableError("down"));
    peers_.add(2, [](std::uint64_t, const peer_client::changes_done& done) {
        done(fetched_changes{{{9, record_of(9)}}, false});
    });
    const node_reference peer{2, "127.0.0.1", 1};
    on_control([&] { follower_->hint(peer, 9); });
    for (int i = 0; i < 1000 && version() != 9; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    EXPECT_EQ(version(), 9U);
    on_control([&] {
        EXPECT_EQ(follower_->handle_fetch({8}).records.size(), 1U);
        EXPECT_TRUE(follower_->handle_fetch({9}).records.empty());
    });
}

// Guards against a store whose responses are lost and that looks like one without changes.
TEST_F(record_follower_test, tells_a_lost_response_from_an_unchanged_document)
{
    const auto count = [this](const char* end) {
        return stats_.counter(str_cat("chestnutstand_document_reads_total{end=\"", end, "\"}"))
            .load();
    };
    complete_newest_read(3, 5);
    auto follow = store_.next();
    follow.done(keyed_page{{}, 5});
    follow = store_.next();
    std::optional<time_point> answered;
    on_control([&] { answered = follower_->progress().answered_at; });
    EXPECT_EQ(count("unchanged"), 1U);
    follow.done(absl::DeadlineExceededError("no response"));
    store_.next();
    on_control([&] {
        EXPECT_EQ(follower_->progress().answered_at, answered);
        EXPECT_TRUE(follower_->progress().waiting_since);
    });
    EXPECT_EQ(count("failed"), 1U);
}

// Guards against a change that is noticed only when the long poll of a lost response times out.
TEST_F(record_follower_test, lead_notices_a_lost_response_within_two_seconds)
{
    constexpr milliseconds change_limit{2'000};
    complete_newest_read(3, 5);
    EXPECT_LT(store_.next().wait, change_limit);
}

// Guards against a reader that misses further changes because the response to its long poll was
// lost.
TEST_F(record_follower_test, standby_replaces_a_read_that_missed_a_change)
{
    on_control([&] { follower_->set_reader_role(reader_role::standby); });
    complete_newest_read(3, 5);
    const auto lost = store_.next();
    peers_.add(2, [](std::uint64_t, const peer_client::changes_done& done) {
        done(fetched_changes{{{9, record_of(9)}}, false});
    });
    on_control([&] { follower_->hint({2, "127.0.0.1", 1}, 9); });
    const auto replacement = store_.next();
    EXPECT_EQ(replacement.from, lost.from);
    EXPECT_EQ(version(), 9U);
    lost.done(keyed_page{{{"k", record_of(10), 5}}, 6});
    run_posted_tasks();
    EXPECT_EQ(version(), 10U);
    EXPECT_EQ(store_.pending_reads(), 0U);
    replacement.done(keyed_page{{}, 8});
    EXPECT_EQ(store_.next().from, 8U);
}

// Guards against a document that stays old because neither the announcing peer nor the waiting read
// responds.
TEST_F(record_follower_test, replaces_a_read_when_a_peer_cannot_be_asked)
{
    on_control([&] { follower_->set_reader_role(reader_role::standby); });
    complete_newest_read(3, 5);
    store_.next();
    on_control([&] { follower_->hint({7, "127.0.0.1", 1}, 4); });
    EXPECT_EQ(store_.next().from, 5U);
}

// Guards against a lead that waits for the end of the long poll that it began as a standby.
TEST_F(record_follower_test, new_lead_replaces_its_long_poll)
{
    on_control([&] { follower_->set_reader_role(reader_role::standby); });
    complete_newest_read(3, 5);
    const auto long_poll = store_.next();
    on_control([&] { follower_->set_reader_role(reader_role::lead); });
    EXPECT_LT(store_.next().wait, long_poll.wait);
}

// Guards against a flood of calls while the store lists records that it has already dropped.
TEST_F(record_follower_test, delays_reads_when_records_are_gone_again)
{
    const auto count_failures = [this] {
        return stats_.counter("chestnutstand_document_reads_total{end=\"failed\"}").load();
    };
    complete_newest_read(3, 5);
    store_.next().done(absl::OutOfRangeError("dropped"));
    complete_newest_read(3, 5);
    const time_point before = ms_clock::now();
    store_.next().done(absl::OutOfRangeError("dropped"));
    complete_newest_read(8, 20);
    EXPECT_GE(ms_clock::now() - before, milliseconds{0.5});
    EXPECT_EQ(store_.next().from, 20U);
    EXPECT_EQ(count_failures(), 2U);
}

// Guards against a load on the store that grows with the number of nodes, because every node reads
// every change from it.
TEST_F(record_follower_test, leaves_the_store_to_the_readers)
{
    on_control([&] { follower_->set_reader_role(reader_role::none); });
    complete_newest_read(3, 5);
    run_posted_tasks();
    EXPECT_EQ(version(), 3U);
    EXPECT_EQ(store_.pending_reads(), 0U);
}

// Guards against a node that keeps an old document because the peer that has a newer one cannot be
// reached.
TEST_F(record_follower_test, reads_the_store_when_a_peer_cannot_be_asked)
{
    on_control([&] { follower_->set_reader_role(reader_role::none); });
    complete_newest_read(3, 5);
    run_posted_tasks();
    on_control([&] { follower_->hint({7, "127.0.0.1", 1}, 4); });
    const auto follow = store_.next();
    EXPECT_EQ(follow.from, 5U);
    follow.done(keyed_page{{{"k", record_of(4), 5}}, 6});
    run_posted_tasks();
    EXPECT_EQ(version(), 4U);
    EXPECT_EQ(store_.pending_reads(), 0U);
}

// Guards against a change that no node learns of because the store turns the readers away and
// serves only nodes that do not read it.
TEST_F(record_follower_test, lead_asks_other_nodes_when_it_cannot_read)
{
    complete_newest_read(3, 5);
    peers_.add(2, [](std::uint64_t, const peer_client::changes_done& done) {
        done(fetched_changes{{{0, record_of(4)}}, false, true});
    });
    on_control([&] {
        follower_->set_deputy_candidates([] {
            return std::vector<deputy_candidate>{{{2, "127.0.0.1", 1}, true}};
        });
    });
    store_.next().done(absl::UnavailableError("refused"));
    EXPECT_TRUE(eventually([&] { return version() == 4U; }));
    EXPECT_EQ(peers_.source_requests().front().from_offset, 3U);
    EXPECT_EQ(peers_.source_requests().front().source_offset, 5U);
}

// Guards against a search that starts only when a lost response has timed out, later than a change
// has to be in force.
TEST_F(record_follower_test, lead_asks_other_nodes_when_a_response_is_overdue)
{
    peers_.add(2, [](std::uint64_t, const peer_client::changes_done& done) {
        done(fetched_changes{{{0, record_of(4)}}, false, true});
    });
    on_control([&] {
        follower_->set_deputy_candidates([] {
            return std::vector<deputy_candidate>{{{2, "127.0.0.1", 1}, true}};
        });
    });
    complete_newest_read(3, 5);
    const auto lost = store_.next();
    EXPECT_TRUE(eventually([&] { return version() == 4U; }));
}

/// Response to a peer that asks a follower to read the store.
std::future<absl::StatusOr<fetched_changes>> ask(record_follower& follower, control_loop& loop,
                                                 const fetch_request& request)
{
    auto answer = std::make_shared<std::promise<absl::StatusOr<fetched_changes>>>();
    loop.post([&follower, answer, request] {
        follower.handle_source_fetch(request,
                                     [answer](const auto& changes) { answer->set_value(changes); });
    });
    return answer->get_future();
}

// Guards against a node that is asked to read the store and answers with what it has, or stops
// following the store while it is asked.
TEST_F(record_follower_test, reads_the_store_for_a_peer)
{
    on_control([&] { follower_->set_reader_role(reader_role::none); });
    complete_newest_read(3, 5);
    run_posted_tasks();
    auto answer = ask(*follower_, loop_, {3, true, 7, 0});
    const auto read = store_.next();
    EXPECT_EQ(read.from, 7U);
    read.done(keyed_page{{{"k", record_of(4), 7}}, 8});
    const auto changes = answer.get();
    ASSERT_TRUE(changes.ok());
    EXPECT_TRUE(changes->source_read);
    ASSERT_EQ(changes->records.size(), 1U);
    EXPECT_EQ(changes->records.front().payload, record_of(4));
    EXPECT_EQ(store_.next().from, 8U);
    EXPECT_TRUE(ask(*follower_, loop_, {4, true, 8, 0}).get()->source_read);
}

// Guards against a deputy that misses a document because its reader has read further.
TEST_F(record_follower_test, does_not_skip_records_that_only_the_reader_has_read)
{
    on_control([&] { follower_->set_reader_role(reader_role::none); });
    complete_newest_read(3, 5);
    run_posted_tasks();
    ask(*follower_, loop_, {6, true, 9, 0});
    EXPECT_TRUE(store_.next().newest);
}

// Guards against calls of a store that turns the deputy away as well.
TEST_F(record_follower_test, reads_once_for_a_peer_when_the_store_turns_it_away)
{
    on_control([&] { follower_->set_reader_role(reader_role::none); });
    complete_newest_read(3, 5);
    run_posted_tasks();
    auto answer = ask(*follower_, loop_, {3, true, 5, 0});
    store_.next().done(absl::UnavailableError("refused"));
    EXPECT_FALSE(answer.get().ok());
    run_posted_tasks();
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
    run_posted_tasks();
    EXPECT_EQ(store_.pending_reads(), 0U);
}

// Guards against a standby whose long poll keeps a peer waiting.
TEST_F(record_follower_test, standby_shortens_its_poll_for_a_peer)
{
    on_control([&] { follower_->set_reader_role(reader_role::standby); });
    complete_newest_read(3, 5);
    const auto long_poll = store_.next();
    auto answer = ask(*follower_, loop_, {3, true, 5, 0});
    const auto short_poll = store_.next();
    EXPECT_LT(short_poll.wait, milliseconds{500});
    short_poll.done(keyed_page{{}, 5});
    EXPECT_TRUE(answer.get()->source_read);
}

// Guards against a reader that calls a store that is down whenever its role is checked.
TEST(record_follower, keeps_its_pause_while_its_role_is_set_again)
{
    fake_store store;
    fake_peers peers;
    metrics stats;
    control_loop loop;
    record_follower_options options;
    options.initial_backoff = milliseconds{3'600'000};
    options.max_lead_backoff = options.initial_backoff;
    record_follower follower{options, loop, store, peers, stats};
    const auto set_role = [&] {
        std::promise<void> ran;
        loop.post([&] {
            follower.set_reader_role(reader_role::lead);
            ran.set_value();
        });
        ran.get_future().wait();
    };
    set_role();
    store.next().done(absl::UnavailableError("down"));
    set_role();
    set_role();
    EXPECT_EQ(store.pending_reads(), 0U);
    loop.stop();
}

} // namespace
} // namespace chestnutstand
