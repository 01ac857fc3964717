#pragma once

#include "chestnutstand/node/kernel.h"
#include "chestnutstand/transport/http_server.h"

#include <memory>

namespace chestnutstand {

/// HTTP interface for operators and for the local upstream.
class admin_api {
public:
    explicit admin_api(kernel& node);

    /// Handles one request on the admin port and sends exactly one response.
    void handle(const http_request& request, const std::shared_ptr<responder>& response);

    /// Like handle(), for a port that serves only GET /health.
    void handle_readiness(const http_request& request, const std::shared_ptr<responder>& response);

    /// Like handle(), for a port on which the upstream only registers and deregisters.
    void handle_registration(const http_request& request,
                             const std::shared_ptr<responder>& response);

private:
    void health(responder& response);
    void handle_heartbeat(const http_request& request, const std::shared_ptr<responder>& response);
    void handle_departure(const http_request& request, const std::shared_ptr<responder>& response);
    void metrics(responder& response);
    void register_upstream(const http_request& request, const std::shared_ptr<responder>& response);
    void deregister_upstream(const std::shared_ptr<responder>& response);
    void status(const std::shared_ptr<responder>& response);
    void show_config(const std::shared_ptr<responder>& response);
    void publish_change(const http_request& request, const std::shared_ptr<responder>& response);

    kernel& node_;
};

} // namespace chestnutstand
