#include "chestnutstand/config/evacuation_state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace chestnutstand {
namespace {

using name_set = std::set<std::string>;

constexpr time_point start{milliseconds{1'000'000}};
constexpr auto rewrite_time = evacuation_state::rewrite_time;

evacuation_record evacuated(const std::string& name, std::uint64_t offset)
{
    return {name, true, offset};
}

evacuation_record revoked(const std::string& name, std::uint64_t offset)
{
    return {name, false, offset};
}

bool sync(evacuation_state& to, const evacuation_state& from, time_point now)
{
    const auto sent = decode_evacuations(encode_evacuations(from));
    return sent && to.merge(sent->era, sent->entries, now);
}

// Guards against an evacuation that the listing of a slow store ends.
TEST(evacuation_state, ignores_a_listing_that_is_out_of_date)
{
    evacuation_state state;
    state.apply_listing({1, 4}, {}, start);
    state.apply_records(1, {evacuated("north", 4)}, start);
    state.apply_listing({1, 4}, {}, start);
    EXPECT_EQ(state.evacuated(), name_set{"north"});
    state.apply_listing({1, 6}, {}, start);
    EXPECT_EQ(state.evacuated(), name_set{});
}

// Guards against a node that was cut off and brings back an evacuation whose records the store no
// longer has.
TEST(evacuation_state, peer_does_not_bring_back_an_evacuation_that_has_ended)
{
    evacuation_state cut_off;
    cut_off.apply_records(1, {evacuated("north", 4)}, start);
    evacuation_state fresh;
    fresh.apply_listing({1, 9}, {}, start);
    sync(fresh, cut_off, start);
    EXPECT_EQ(fresh.evacuated(), name_set{});
    sync(cut_off, fresh, start);
    EXPECT_EQ(cut_off.evacuated(), name_set{});
    EXPECT_EQ(cut_off.digest() == fresh.digest(), true);
}

// Guards against an evacuation that ends because the store comes back from an older copy, in which
// it is missing until the operator writes it again.
TEST(evacuation_state, keeps_an_evacuation_that_the_store_has_lost)
{
    evacuation_state state;
    state.apply_records(1, {evacuated("north", 4)}, start);
    state.apply_listing({2, 3}, {}, start);
    EXPECT_EQ(state.evacuated(), name_set{"north"});
    state.apply_records(2, {evacuated("north", 3)}, start + milliseconds{1'000});
    state.settle(start + rewrite_time * 2.0);
    EXPECT_EQ(state.evacuated(), name_set{"north"});
}

// Guards against an evacuation that comes back because its revocation is missing in the older copy.
TEST(evacuation_state, does_not_resurrect_an_evacuation_whose_revocation_was_lost)
{
    evacuation_state state;
    state.apply_records(1, {evacuated("north", 4), revoked("north", 5)}, start);
    evacuation_state fresh;
    fresh.apply_listing({2, 5}, {evacuated("north", 4)}, start);
    state.apply_listing({2, 5}, {evacuated("north", 4)}, start);
    sync(state, fresh, start);
    EXPECT_EQ(state.evacuated(), name_set{});
    state.apply_records(2, {revoked("north", 5)}, start + milliseconds{1'000});
    sync(fresh, state, start + milliseconds{1'000});
    EXPECT_EQ(fresh.evacuated(), name_set{});
    state.settle(start + rewrite_time * 2.0);
    EXPECT_EQ(state.evacuated(), name_set{});
}

// Guards against an evacuation that never ends because the operator revoked it while the store was
// down.
TEST(evacuation_state, follows_the_store_once_the_operator_has_had_time_to_write_again)
{
    evacuation_state state;
    state.apply_records(1, {evacuated("north", 4)}, start);
    state.apply_listing({2, 3}, {}, start);
    EXPECT_FALSE(state.settle(start + rewrite_time * 0.9));
    EXPECT_TRUE(state.settle(start + rewrite_time));
    EXPECT_EQ(state.evacuated(), name_set{});
}

// Guards against a reader of a peer's message that takes damaged text for a state.
TEST(evacuation_state, refuses_damaged_text)
{
    const char* negative_era = R"({"evacuations":[],"era":-1})";
    for (const char* text : {"", "{}", "[]", R"({"evacuations":1,"era":1})", negative_era,
                             R"({"evacuations":[{}],"era":1})", R"({"evacuations":[]})"}) {
        EXPECT_FALSE(decode_evacuations(text)) << text;
    }
}

/// The operator's topic and the operator, who writes again what a rollback has lost.
struct model_store {
    std::uint64_t era = 1;
    std::vector<evacuation_record> log;
    std::map<std::string, bool> intended;

    void write(const std::string& name, bool value)
    {
        intended[name] = value;
        log.push_back({name, value, log.size()});
    }

    std::vector<evacuation_record> listing() const
    {
        std::map<std::string, evacuation_record> newest;
        for (const auto& record : log) {
            newest[record.data_centre] = record;
        }
        std::vector<evacuation_record> records;
        for (const auto& [name, record] : newest) {
            // The store drops a record without a value after some time.
            if (record.evacuated) {
                records.push_back(record);
            }
        }
        return records;
    }

    void roll_back(std::size_t lost)
    {
        const auto rewritten = intended;
        log.resize(log.size() - std::min(lost, log.size()));
        ++era;
        for (const auto& [name, value] : rewritten) {
            write(name, value);
        }
    }
};

// Guards against nodes that disagree for ever, or agree on something that the operator has not
// written, after any order of writes, reads, exchanges and rollbacks.
RC_GTEST_PROP(evacuation_state, nodes_agree_with_the_operator_in_the_end, ())
{
    const std::vector<std::string> names{"north", "south", "west"};
    model_store store;
    std::vector<evacuation_state> nodes(4);
    std::vector<std::size_t> read(nodes.size(), 0);
    std::vector<std::uint64_t> read_era(nodes.size(), 0);
    time_point now = start;
    const auto read_store = [&](std::size_t reader) {
        auto& node = nodes[reader];
        if (read_era[reader] != store.era) {
            node.apply_listing({store.era, store.log.size()}, store.listing(), now);
        }
        else {
            const auto first = store.log.begin() + static_cast<std::ptrdiff_t>(read[reader]);
            node.apply_records(store.era, {first, store.log.end()}, now);
        }
        read[reader] = store.log.size();
        read_era[reader] = store.era;
    };
    for (int i = 0; i < 80; ++i) {
        now += milliseconds{*rc::gen::inRange(0, 2'000) * 1.0};
        const auto one = *rc::gen::inRange<std::size_t>(0, nodes.size());
        const auto other = *rc::gen::inRange<std::size_t>(0, nodes.size());
        switch (*rc::gen::inRange(0, 10)) {
        case 0:
            store.roll_back(*rc::gen::inRange<std::size_t>(0, 4));
            break;
        case 1:
        case 2:
            store.write(names[*rc::gen::inRange<std::size_t>(0, names.size())],
                        *rc::gen::arbitrary<bool>());
            break;
        case 3:
            nodes[one] = {};
            read_era[one] = 0;
            break;
        case 4:
        case 5:
            // Only two of the nodes read the store.
            read_store(one % 2);
            break;
        case 6:
            nodes[one].settle(now);
            break;
        default:
            sync(nodes[one], nodes[other], now);
        }
    }
    const auto exchange_all = [&] {
        read_store(0);
        for (std::size_t round = 0; round < nodes.size(); ++round) {
            for (auto& to : nodes) {
                for (const auto& from : nodes) {
                    sync(to, from, now);
                }
            }
        }
    };
    exchange_all();
    now += rewrite_time;
    for (auto& node : nodes) {
        node.settle(now);
    }
    exchange_all();
    name_set wanted;
    for (const auto& [name, value] : store.intended) {
        if (value) {
            wanted.insert(name);
        }
    }
    for (const auto& node : nodes) {
        RC_ASSERT(node.evacuated() == wanted);
        RC_ASSERT(node.digest() == nodes.front().digest());
    }
}

} // namespace
} // namespace chestnutstand
