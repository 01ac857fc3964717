#include "server_transport.h"

#include "chestnutstand/support/log.h"

#include <cstdint>

namespace chestnutstand {
namespace {

constexpr int status_unavailable = 503;

} // namespace

std::string_view server_transport::next_output(const connection& client)
{
    const std::string_view text = client.output.text;
    return client.sent < text.size() ? text.substr(client.sent)
                                     : client.output.body.view().substr(client.sent - text.size());
}

bool server_transport::acquire_input(connection& client, std::size_t bytes)
{
    const time_point now = ms_clock::now();
    client.memory.note_progress(bytes, now);
    const bool acquired = client.memory.resize(client.framer.held_bytes() + bytes, now);
    // The budget may have ended other connections of this thread, which still reads this one.
    end_for_memory();
    if (!acquired && !client.closing && !client.broken) {
        refuse_for_memory(client);
    }
    return acquired;
}

bool server_transport::refuse_announced(connection& client)
{
    const auto announced = client.framer.consume_announced_length();
    // Without the head, which has been read.
    client.memory.resize(client.framer.held_bytes(), ms_clock::now());
    if (!announced || !shared_->options.memory ||
        shared_->options.memory->admits(*announced, ms_clock::now())) {
        return false;
    }
    refuse_for_memory(client);
    return true;
}

void server_transport::end_for_memory()
{
    for (const std::size_t id : queue_->take_ended()) {
        const auto found = connections_.find(id);
        const auto use =
            found != connections_.end() ? found->second.memory.told_to_end() : std::nullopt;
        if (!use) {
            continue;
        }
        connection& client = found->second;
        if (*use == memory_use::sending) {
            close_unread_response(client);
        }
        else if (!client.closing && !client.broken) {
            refuse_for_memory(client);
        }
    }
}

// The client does not read the response, whose call has run.
void server_transport::close_unread_response(connection& client)
{
    if (!client.writing || client.broken) {
        return;
    }
    log_ended_for_memory(client);
    client.broken = true;
    client.framer.discard();
    client.memory.resize(0, ms_clock::now());
    pending_close_.push_back(client.peer->getID());
}

void server_transport::log_ended_for_memory(const connection& client)
{
    ++shared_->closed_for_memory;
    log_event(log_level::warning, "connection ended to free memory",
              {{"held_bytes", std::uint64_t{client.framer.held_bytes()}},
               {"unsent_bytes", std::uint64_t{client.output.body.size()}},
               {"in_progress", std::uint64_t{client.pipeline.size()}},
               {"address", client.peer->address().host()}});
}

// A request that is being received has not run and is refused. Behind requests in progress, a
// refusal would be read as the answer to the first of them. They get their responses, the last of
// which closes the connection: the client sends again what it has sent behind them.
void server_transport::refuse_for_memory(connection& client)
{
    log_ended_for_memory(client);
    if (!client.pipeline.empty() || client.writing) {
        stop_accepting(client);
        client.memory.resize(0, ms_clock::now());
        return;
    }
    request_refusal refused = client.framer.refuse_incomplete(
        status_unavailable, "the node has no memory left for the request");
    refused.reason = reason_code::memory_exhausted;
    refuse(client, refused);
}

void server_transport::limit_connections(std::size_t newest)
{
    const std::uint32_t max = shared_->options.max_connections;
    if (max == 0 || shared_->open_connections <= max + pending_close_.size()) {
        return;
    }
    std::size_t closed = newest;
    // Ids increase, so that the connection that has been open for longest comes first.
    for (const auto& [id, client] : connections_) {
        if (id == newest || !client.pipeline.empty() || client.writing || client.closing ||
            client.broken) {
            continue;
        }
        if (client.framer.empty()) {
            closed = id;
            break;
        }
        closed = closed == newest ? id : closed;
    }
    connections_.at(closed).broken = true;
    pending_close_.push_back(closed);
    ++shared_->closed_for_descriptors;
    log_event(log_level::warning, "connection closed to keep descriptors free",
              {{"connections", std::uint64_t{shared_->open_connections}},
               {"limit", std::uint64_t{max}},
               {"address", connections_.at(closed).peer->address().host()}});
}

} // namespace chestnutstand
