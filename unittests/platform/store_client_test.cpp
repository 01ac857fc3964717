#include "store_client.h"

#include "store_codec.h"

#include "../transport/fake_server.h"
#include "../transport/invalid_status.h"

#include <gtest/gtest.h>

#include <deque>
#include <future>
#include <string>
#include <utility>
#include <vector>

namespace chestnutstand::platform {
namespace {

/// Client whose requests are completed by the test.
class fake_client final : public http_client {
public:
    struct exchange {
        http_request request;
        http_done done;
    };

    request_id send(const std::string& /*base_url*/, http_request request, milliseconds /*timeout*/,
                    http_done done) override
    {
        sent.push_back({std::move(request), std::move(done)});
        return sent.size();
    }
    void cancel(request_id /*id*/) override {}

    exchange take()
    {
        exchange first = std::move(sent.front());
        sent.pop_front();
        return first;
    }

    std::deque<exchange> sent;
};

const http_result timeout_result{http_error::timed_out, {}, {}};
const http_result empty_listing{
    http_error::none, {200, {}, R"({"items": [], "EndOffset": 4, "HasMore": false})"}, {}};

// Guards against a read that waits on a second silent connection after the first one failed.
TEST(store_client, uses_a_new_connection_after_a_lost_response)
{
    fake_client http;
    store_client store{http, "http://127.0.0.1:1"};
    const auto read = [&] { store.newest(store_topic::document, [](const auto& /*page*/) {}); };
    read();
    auto first = http.take();
    EXPECT_FALSE(first.request.fresh_connection);
    first.done(timeout_result);
    read();
    auto second = http.take();
    EXPECT_TRUE(second.request.fresh_connection);
    second.done(empty_listing);
    read();
    EXPECT_FALSE(http.take().request.fresh_connection);
}

// Guards against a document that is taken from a response that ends within a record.
TEST(store_client, fails_a_read_whose_response_is_cut_off)
{
    fake_client http;
    store_client store{http, "http://127.0.0.1:1"};
    const std::string offsets(15, '\0');
    const std::string record = encode_record("config", R"({"version": 7})");
    absl::Status status;
    store.follow(store_topic::document, 0, milliseconds{1},
                 [&](const auto& page) { status = page.status(); });
    http.take().done(
        {http_error::none, {200, {}, offsets + "\1" + record.substr(0, record.size() - 1)}, {}});
    EXPECT_FALSE(status.ok());
}

// Guards against a document that is taken from a record of another key in the operator's topic.
TEST(store_client, takes_the_document_from_its_own_key_only)
{
    fake_client http;
    store_client store{http, "http://127.0.0.1:1"};
    const std::string offsets(16, '\0');
    std::vector<std::string> values;
    store.follow(store_topic::document, 0, milliseconds{1}, [&](const auto& page) {
        ASSERT_TRUE(page.ok());
        for (const auto& record : page->records) {
            values.push_back(record.value);
        }
        EXPECT_EQ(page->next, 3U);
    });
    http.take().done({http_error::none,
                      {200,
                       {},
                       offsets + encode_record("other", "1") + encode_record("config", "2") +
                           encode_record("confi", "g3")},
                      {}});
    EXPECT_EQ(values, std::vector<std::string>{"2"});
}

/// Whether a listing is taken from a response with that status.
bool takes_listing_with_status(const std::string& status)
{
    const std::string response = chestnutstand::testing::response_with_status(
        status, R"({"items": [], "EndOffset": 4, "HasMore": false})");
    chestnutstand::testing::fake_server server{
        [&](chestnutstand::testing::raw_socket& connection, int, int) {
            connection.send(response);
            return false;
        }};
    const auto http = make_http_client();
    store_client store{*http, server.url()};
    std::promise<bool> taken;
    store.newest(store_topic::document, [&](const auto& page) { taken.set_value(page.ok()); });
    return taken.get_future().get();
}

// Guards against a document that is taken from a response without a valid status.
TEST(store_client, refuses_an_invalid_status)
{
    for (const std::string& status : chestnutstand::testing::invalid_statuses) {
        EXPECT_FALSE(takes_listing_with_status(status)) << status;
    }
    EXPECT_TRUE(takes_listing_with_status("200"));
}

// Guards against an evacuation that is missed or not revoked, and against offsets whose era is not
// known.
TEST(store_client, reads_evacuations_and_the_era)
{
    fake_client http;
    store_client store{http, "http://127.0.0.1:1"};
    const std::string offsets(16, '\0');
    keyed_page read;
    store.follow(store_topic::document, 7, milliseconds{1}, [&](const auto& page) {
        ASSERT_TRUE(page.ok());
        read = *page;
    });
    http.take().done(
        {http_error::none,
         {200,
          {{"Store-Era", "3"}},
          offsets + encode_record("evacuate/west", "{}") + encode_record("evacuate/west", "")},
         {}});
    EXPECT_EQ(read.era, 3U);
    EXPECT_TRUE(read.records.empty());
    ASSERT_EQ(read.evacuations.size(), 2U);
    EXPECT_EQ(read.evacuations[0].data_centre, "west");
    EXPECT_TRUE(read.evacuations[0].evacuated);
    EXPECT_EQ(read.evacuations[0].offset, 7U);
    EXPECT_FALSE(read.evacuations[1].evacuated);
    EXPECT_EQ(read.evacuations[1].offset, 8U);
}

} // namespace
} // namespace chestnutstand::platform
