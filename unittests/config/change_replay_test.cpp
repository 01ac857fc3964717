#include "chestnutstand/config/change_replay.h"

#include "records.pb.h"

#include "chestnutstand/support/str_cat.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace chestnutstand {
namespace {

std::string content_of(const std::string& owner, const std::string& service)
{
    return str_cat(R"({"owner": ")", owner, R"(", "services": [{"name": ")", service,
                   R"(", "priorities": [{"name": "urgent"}]}]})");
}

wire::ConfigRecord make_change(const std::string& id, const std::string& team,
                               const std::string& name, std::uint64_t base,
                               const std::string& content, std::uint64_t published_at = 0)
{
    wire::ConfigRecord record;
    auto& change = *record.mutable_change();
    change.set_change_id(id);
    change.set_team(team);
    change.set_section(name);
    change.set_base_version(base);
    change.set_content(content);
    change.set_published_at(published_at);
    return record;
}

wire::ConfigRecord make_record(const wire::Checkpoint& checkpoint)
{
    wire::ConfigRecord record;
    *record.mutable_checkpoint() = checkpoint;
    return record;
}

/// All that must agree among replicas, as text.
std::string state_text_of(const change_replay& replay)
{
    if (replay.next_offset() == 0) {
        return "";
    }
    auto state = replay.make_checkpoint();
    state.clear_oldest_needed_offset();
    const std::uint64_t in_force = replay.current() ? replay.current()->version : 0;
    return str_cat(state.DebugString(), "in force: ", in_force);
}

// Guards against rules that accept a foreign team, a stale base version or an invalid document.
TEST(change_replay, gives_verdicts_with_explanations)
{
    change_replay replay;
    std::uint64_t offset = 0;
    const auto apply = [&](const wire::ConfigRecord& record) {
        return replay.apply(offset++, record);
    };
    EXPECT_EQ(apply(make_change("1", "t", "a", 0, content_of("t", "s"))).result,
              replay_result::accepted);
    auto verdict = apply(make_change("2", "u", "a", 1, content_of("u", "s")));
    EXPECT_EQ(verdict.result, replay_result::rejected);
    EXPECT_EQ(verdict.explanation, "section a is owned by team t, the change is from team u");
    verdict = apply(make_change("3", "t", "a", 0, content_of("t", "s")));
    EXPECT_EQ(verdict.explanation, "section a has version 1, the change is based on version 0");
    verdict = apply(make_change("4", "u", "b", 0, content_of("u", "s")));
    EXPECT_EQ(verdict.explanation, "section b: services: expected a service that no other section "
                                   "declares, found s, which section a declares");
    EXPECT_EQ(apply(make_change("5", "u", "b", 0, "{")).result, replay_result::rejected);
    EXPECT_EQ(apply(make_change("1", "t", "a", 1, content_of("t", "x"))).result,
              replay_result::duplicate);
    EXPECT_EQ(apply(make_change("6", "t", "a", 1, content_of("t", "x"))).version, 7U);
    EXPECT_EQ(replay.current()->version, 7U);
}

// Guards against a new section whose content gives it to another team than its author's.
TEST(change_replay, new_section_belongs_to_its_author)
{
    change_replay replay;
    EXPECT_EQ(replay.apply(0, make_change("1", "t", "a", 0, content_of("u", "s"))).result,
              replay_result::rejected);
    EXPECT_EQ(replay.current(), nullptr);
}

// Guards against a change that takes effect long after its author gave up, when its id is no longer
// remembered.
TEST(change_replay, refuses_changes_that_reach_the_log_too_late)
{
    change_replay replay;
    for (std::uint64_t offset = 0; offset < replay_window; ++offset) {
        replay.apply(offset, {});
    }
    EXPECT_EQ(
        replay.apply(replay_window, make_change("1", "t", "a", 0, content_of("t", "s"), 0)).result,
        replay_result::rejected);
    EXPECT_EQ(
        replay.apply(replay_window + 1, make_change("2", "t", "a", 0, content_of("t", "s"), 2))
            .result,
        replay_result::accepted);
}

/// Picks by index, because RapidCheck cannot print messages.
const wire::Checkpoint& pick_from(const std::vector<wire::Checkpoint>& states)
{
    return states[*rc::gen::inRange<std::size_t>(0, states.size())];
}

/// Random log. Its records refer to what a first replica has replayed so far, so that most changes
/// are close to being accepted.
struct log_model {
    std::vector<wire::ConfigRecord> records;
    change_replay first;
    std::vector<wire::Checkpoint> states;

    void add_random();
    void add_change();
    void add_checkpoint();
};

void log_model::add_change()
{
    const auto pick = [](const char* prefix, int count) {
        return str_cat(prefix, *rc::gen::inRange(0, count));
    };
    const auto name = pick("section", 3);
    std::uint64_t base = 0;
    std::string owner = pick("team", 2);
    for (const auto& each : first.state().sections) {
        if (each.name == name) {
            base = *rc::gen::weightedElement<std::uint64_t>({{4, each.version}, {1, 0}});
            owner = *rc::gen::weightedElement<std::string>({{4, each.owner}, {1, owner}});
        }
    }
    const auto team = *rc::gen::weightedElement<std::string>({{4, owner}, {1, pick("team", 2)}});
    // Few services and ids, so that duplicates are frequent.
    const auto content = content_of(owner, pick("service", 6));
    records.push_back(make_change(pick("id", 40), team, name, base, content));
}

void log_model::add_checkpoint()
{
    auto checkpoint = pick_from(states);
    const int damage = *rc::gen::inRange(0, 6);
    if (damage == 0 && checkpoint.sections_size() > 0) {
        checkpoint.mutable_sections(0)->set_content(content_of("evil", "other"));
    }
    else if (damage == 1) {
        checkpoint.set_covered_offset(checkpoint.covered_offset() + 1000);
    }
    else if (damage == 2) {
        checkpoint.set_version(checkpoint.version() + 1);
    }
    records.push_back(make_record(checkpoint));
}

void log_model::add_random()
{
    const int kind = *rc::gen::inRange(0, 10);
    if (kind == 0) {
        records.emplace_back();
    }
    else if (kind < 3 && !states.empty()) {
        add_checkpoint();
    }
    else {
        add_change();
    }
    first.apply(records.size() - 1, records.back());
    states.push_back(first.make_checkpoint());
}

log_model random_log()
{
    log_model log;
    const int length = *rc::gen::inRange(1, 60);
    for (int i = 0; i < length; ++i) {
        log.add_random();
    }
    return log;
}

void replay_from(change_replay& replay, const log_model& log)
{
    for (auto offset = replay.next_offset(); offset < log.records.size(); ++offset) {
        replay.apply(offset, log.records[offset]);
    }
}

// Guards against replicas that end in different states although they saw the same log: in order, in
// chunks with duplicates and records out of place, or starting from any state of another replica.
TEST(change_replay, replicas_agree)
{
    EXPECT_TRUE(rc::check([] {
        const auto log = random_log();
        const auto expected = state_text_of(log.first);

        change_replay in_chunks;
        while (in_chunks.next_offset() < log.records.size()) {
            // Each chunk repeats some records and brings at least one new.
            const auto next = in_chunks.next_offset();
            const auto from = next - *rc::gen::inRange<std::size_t>(0, next + 1);
            const auto end = next + 1 + *rc::gen::inRange<std::size_t>(0, 10);
            for (auto i = from; i < std::min(end, log.records.size()); ++i) {
                in_chunks.apply(i, log.records[i]);
            }
            in_chunks.apply(end + 1, log.records.front());
        }
        RC_ASSERT(state_text_of(in_chunks) == expected);

        change_replay from_peer;
        RC_ASSERT(from_peer.adopt(pick_from(log.states)).ok());
        replay_from(from_peer, log);
        RC_ASSERT(state_text_of(from_peer) == expected);
    }));
}

// Guards against a node that starts after old records have expired and ends in another state. The
// checkpoints in this log are undamaged.
TEST(change_replay, replicas_agree_after_expiry)
{
    EXPECT_TRUE(rc::check([] {
        log_model log;
        const int length = *rc::gen::inRange(5, 60);
        for (int i = 0; i < length; ++i) {
            const bool checkpoint = !log.states.empty() && *rc::gen::inRange(0, 5) == 0;
            checkpoint ? log.records.push_back(make_record(pick_from(log.states)))
                       : log.add_change();
            log.first.apply(log.records.size() - 1, log.records.back());
            log.states.push_back(log.first.make_checkpoint());
        }
        log.records.push_back(make_record(log.states.back()));
        log.first.apply(log.records.size() - 1, log.records.back());
        const auto first = *rc::gen::inRange<std::size_t>(0, log.records.size());
        const std::vector<wire::ConfigRecord> retained{
            log.records.begin() + static_cast<std::ptrdiff_t>(first), log.records.end()};
        const auto* checkpoint = find_usable_checkpoint(first, retained);
        RC_ASSERT((checkpoint != nullptr));
        RC_ASSERT(checkpoint->covered_offset() + 1 >= first);
        change_replay replay;
        RC_ASSERT(replay.adopt(*checkpoint).ok());
        replay_from(replay, log);
        RC_ASSERT(state_text_of(replay) == state_text_of(log.first));
    }));
}

// Guards against versions that fall, and against any record or checkpoint that makes them fall.
TEST(change_replay, versions_never_decrease)
{
    EXPECT_TRUE(rc::check([] {
        const auto log = random_log();
        change_replay replay;
        std::map<std::string, std::uint64_t> versions;
        const auto check_versions = [&](std::uint64_t before) {
            RC_ASSERT(replay.version() >= before);
            // The inner parentheses keep the short-circuit evaluation.
            RC_ASSERT((!replay.current() || replay.current()->version == replay.version()));
            for (const auto& each : replay.state().sections) {
                RC_ASSERT(each.version >= versions[each.name]);
                versions[each.name] = each.version;
            }
            RC_ASSERT(replay.state().sections.size() == versions.size());
        };
        for (int step = 0; step < 80; ++step) {
            const auto before = replay.version();
            const auto pick = *rc::gen::inRange<std::size_t>(0, log.records.size());
            if (*rc::gen::inRange(0, 4) == 0) {
                (void)replay.adopt(log.states[pick]);
            }
            else {
                const bool next = replay.next_offset() < log.records.size();
                const auto offset = next ? replay.next_offset() : pick;
                replay.apply(offset, log.records[offset]);
            }
            check_versions(before);
        }
    }));
}

// Guards against a checkpoint record that changes the state of a node that has one.
TEST(change_replay, checkpoint_records_never_change_the_state)
{
    EXPECT_TRUE(rc::check([] {
        auto log = random_log();
        const auto before = log.first.state();
        const auto document = log.first.current();
        log.add_checkpoint();
        log.first.apply(log.records.size() - 1, log.records.back());
        const auto after = log.first.state();
        RC_ASSERT(after.version == before.version);
        RC_ASSERT(log.first.current() == document);
        RC_ASSERT(after.sections.size() == before.sections.size());
        for (std::size_t i = 0; i < after.sections.size(); ++i) {
            RC_ASSERT(after.sections[i].content == before.sections[i].content);
        }
    }));
}

// Guards against a wrong checkpoint that is confirmed and lets the records before it expire.
TEST(change_replay, only_equal_checkpoints_are_confirmed)
{
    EXPECT_TRUE(rc::check([] {
        auto log = random_log();
        auto checkpoint = pick_from(log.states);
        const auto untouched = checkpoint;
        const int damage = *rc::gen::inRange(0, 4);
        if (damage == 1 && checkpoint.sections_size() > 0) {
            checkpoint.mutable_sections(0)->set_owner("evil");
        }
        else if (damage == 2) {
            checkpoint.set_version(checkpoint.version() + 1);
        }
        else if (damage == 3 && checkpoint.recent_changes_size() > 0) {
            auto& change = *checkpoint.mutable_recent_changes(0);
            change.set_accepted(!change.accepted());
        }
        const bool equal = checkpoint.SerializeAsString() == untouched.SerializeAsString();
        const auto verdict = log.first.apply(log.records.size(), make_record(checkpoint));
        RC_ASSERT(verdict.result == (equal ? replay_result::checkpoint_confirmed
                                           : replay_result::checkpoint_refused));
        RC_ASSERT(log.first.oldest_needed_offset() <= log.records.size());
    }));
}

// Guards against a foreign team that changes a section, and a change id that is applied twice.
TEST(change_replay, only_the_owner_changes_a_section_and_ids_apply_once)
{
    EXPECT_TRUE(rc::check([] {
        const auto log = random_log();
        change_replay replay;
        std::map<std::string, int> accepted;
        for (std::size_t offset = 0; offset < log.records.size(); ++offset) {
            std::map<std::string, std::string> owners;
            for (const auto& each : replay.state().sections) {
                owners[each.name] = each.owner;
            }
            const auto verdict = replay.apply(offset, log.records[offset]);
            if (verdict.result != replay_result::accepted) {
                continue;
            }
            const auto& change = log.records[offset].change();
            const auto owner = owners.find(change.section());
            RC_ASSERT((owner == owners.end() || owner->second == change.team()));
            RC_ASSERT(++accepted[change.change_id()] == 1);
        }
    }));
}

// Guards against a race of which the first change by offset does not win, or more than one wins.
TEST(change_replay, first_of_racing_changes_wins)
{
    EXPECT_TRUE(rc::check([] {
        change_replay replay;
        const bool existing = *rc::gen::arbitrary<bool>();
        if (existing) {
            replay.apply(0, make_change("start", "t", "a", 0, content_of("t", "s")));
        }
        const std::uint64_t base = replay.version();
        const std::uint64_t start = replay.next_offset();
        const auto racers = *rc::gen::inRange<std::uint64_t>(2, 6);
        for (std::uint64_t i = 0; i < racers; ++i) {
            const auto id = str_cat("racer", i);
            const auto verdict = replay.apply(
                start + i, make_change(id, "t", "a", base, content_of("t", id), start));
            RC_ASSERT(verdict.result ==
                      (i == 0 ? replay_result::accepted : replay_result::rejected));
        }
        RC_ASSERT(replay.current()->find_service("racer0") != nullptr);
    }));
}

} // namespace
} // namespace chestnutstand
