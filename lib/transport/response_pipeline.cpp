#include "response_pipeline.h"

#include "http_connection.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace chestnutstand {
namespace {

std::size_t size_of(const std::vector<http_header>& headers)
{
    return std::accumulate(headers.begin(), headers.end(), std::size_t{0},
                           [](std::size_t sum, const http_header& field) {
                               return sum + field.name.size() + field.value.size();
                           });
}

} // namespace

bool response_pipeline::may_begin(bool may_overtake) const
{
    if (!accepting_) {
        return false;
    }
    return entries_.empty() ||
           (may_overtake && entries_.size() < limits_.max_requests && bytes_ < limits_.max_bytes);
}

response_pipeline::ticket response_pipeline::begin(request begun)
{
    accepting_ = accepting_ && begun.keep_alive;
    const std::size_t bytes = begun.bytes;
    bytes_ += bytes;
    entries_.push_back({next_ticket_, std::move(begun), std::nullopt, bytes});
    return next_ticket_++;
}

void response_pipeline::refuse(http_response response)
{
    complete(begin({0, false, false, nullptr}), std::move(response));
}

bool response_pipeline::complete(ticket id, http_response response)
{
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [id](const entry& each) { return each.id == id; });
    if (found == entries_.end() || found->response) {
        return false;
    }
    accepting_ = accepting_ && !has_connection_close(response);
    const std::size_t bytes = size_of(response);
    bytes_ = bytes_ - found->bytes + bytes;
    found->bytes = bytes;
    found->response = std::move(response);
    return true;
}

std::optional<response_pipeline::ready_response> response_pipeline::take_ready()
{
    if (writing_ || entries_.empty() || !entries_.front().response) {
        return std::nullopt;
    }
    writing_ = true;
    entry& first = entries_.front();
    return ready_response{std::move(*first.response), first.begun.head_only,
                          !accepting_ && entries_.size() == 1};
}

void response_pipeline::written()
{
    if (!std::exchange(writing_, false)) {
        return;
    }
    bytes_ -= entries_.front().bytes;
    entries_.pop_front();
}

std::vector<std::shared_ptr<cancellation>> response_pipeline::abandon()
{
    std::vector<std::shared_ptr<cancellation>> unfinished;
    for (const entry& each : std::exchange(entries_, {})) {
        if (!each.response && each.begun.abandoned) {
            unfinished.push_back(each.begun.abandoned);
        }
    }
    bytes_ = 0;
    writing_ = false;
    accepting_ = false;
    return unfinished;
}

std::size_t size_of(const http_request& message)
{
    return message.target.size() + size_of(message.headers) + message.body.size();
}

std::size_t size_of(const http_response& message)
{
    return size_of(message.headers) + message.body.size();
}

} // namespace chestnutstand
