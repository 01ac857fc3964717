#include "../../lib/transport/body_message.h"
#include "../../lib/transport/wire_convert.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>

namespace chestnutstand {
namespace {

wire::ExecuteRequest make_request(const std::string& body)
{
    wire::ExecuteRequest request;
    request.set_target_instance(7);
    request.mutable_call()->set_service("alpha");
    request.mutable_call()->mutable_request()->set_method("POST");
    request.mutable_call()->mutable_request()->set_body(body);
    return request;
}

http_request make_message(const std::string& body)
{
    http_request message;
    set_content(message, make_request(""), call_body, shared_body{body});
    return message;
}

std::string bytes_of(const http_request& message)
{
    return message.body_prefix + message.body.str();
}

// Guards against nodes of two versions that cannot read each other's calls.
TEST(body_field_test, old_and_new_form_are_readable_by_both)
{
    for (const std::size_t size : {0U, 1U, 100U, 16'383U, 16'384U, 2'000'000U}) {
        SCOPED_TRACE(size);
        const std::string body(size, 'b');
        wire::ExecuteRequest by_old_node;
        ASSERT_TRUE(by_old_node.ParseFromString(bytes_of(make_message(body))));
        EXPECT_EQ(by_old_node.target_instance(), 7U);
        EXPECT_EQ(by_old_node.call().service(), "alpha");
        EXPECT_EQ(by_old_node.call().request().method(), "POST");
        EXPECT_EQ(by_old_node.call().request().body(), body);

        wire::ExecuteRequest from_old_node;
        shared_body content{make_request(body).SerializeAsString()};
        ASSERT_TRUE(parse_content(content, from_old_node, call_body));
        EXPECT_EQ(from_old_node.call().request().body(), body);
        EXPECT_TRUE(content.empty());

        wire::ExecuteRequest from_new_node;
        content = shared_body{bytes_of(make_message(body))};
        ASSERT_TRUE(parse_content(content, from_new_node, call_body));
        EXPECT_EQ(from_new_node.call().service(), "alpha");
        EXPECT_EQ(from_new_node.call().request().method(), "POST");
        EXPECT_EQ(content.str(), body);
    }
}

// Guards against a message that is read differently with and without the body behind it, and
// against reads beyond its end.
TEST(body_field_test, any_bytes_are_read_like_one_message)
{
    EXPECT_TRUE(rc::check([](const std::string& body) {
        std::string bytes = bytes_of(make_message(body + "x"));
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes.at(at) = static_cast<char>(*rc::gen::inRange(0, 256));
        wire::ExecuteRequest whole;
        const bool is_valid = whole.ParseFromString(bytes);
        wire::ExecuteRequest message;
        shared_body content{bytes};
        RC_ASSERT(parse_content(content, message, call_body) == is_valid);
        if (is_valid) {
            if (!content.empty()) {
                message.mutable_call()->mutable_request()->set_body(content.str());
            }
            RC_ASSERT(message.SerializeAsString() == whole.SerializeAsString());
        }
    }));
}

} // namespace
} // namespace chestnutstand
