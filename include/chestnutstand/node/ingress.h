#pragma once

#include "chestnutstand/node/dispatcher.h"
#include "chestnutstand/node/key_router.h"
#include "chestnutstand/support/metrics.h"
#include "chestnutstand/support/snapshot.h"
#include "chestnutstand/transport/http_server.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace chestnutstand {

/// Takes calls over HTTP from callers and from the upstream beside this node.
class ingress {
public:
    ingress(std::uint64_t instance, const snapshot<document>& in_force, dispatcher& dispatch,
            key_router& keys, metrics& stats);

    /// Handles one request; the responder gets exactly one response.
    void handle(http_request request, const std::shared_ptr<responder>& response);

    /// Response to a request that the HTTP server could not read.
    http_response refuse_unreadable(const request_refusal& why);

    /// Asks clients to close their connections.
    void begin_drain() { draining_ = true; }

    /// Refuses all further calls.
    void refuse_new_calls() { refusing_ = true; }

    bool idle() const { return in_flight_ == 0; }

private:
    void handle_call(const http_request& request, const std::shared_ptr<responder>& response);
    void handle_issue(const http_request& request, const std::shared_ptr<responder>& response);
    void handle_query(const http_request& request, const std::shared_ptr<responder>& response);
    void refuse(const http_request& request, responder& response, reason why,
                std::string_view detail);
    void send(responder& to, http_response response) const;

    std::string next_request_id();

    const std::uint64_t instance_;
    const snapshot<document>& in_force_;
    dispatcher& dispatcher_;
    key_router& keys_;
    metrics& stats_;
    std::atomic<std::uint64_t> next_call_ = 0;
    std::atomic<std::uint32_t> in_flight_ = 0;
    std::atomic<bool> draining_ = false;
    std::atomic<bool> refusing_ = false;
};

} // namespace chestnutstand
