#pragma once

#include "chestnutstand/node/kernel.h"
#include "chestnutstand/transport/http_server.h"

#include <memory>

namespace chestnutstand {

/// HTTP interface for operators and for the upstream beside this node.
class admin_api {
public:
    explicit admin_api(kernel& node);

    /// Handles one request; the responder gets exactly one response.
    void handle(const http_request& request, const std::shared_ptr<responder>& response);

    /// As handle, for a port at which only GET /health is served.
    void handle_readiness(const http_request& request, const std::shared_ptr<responder>& response);

    /// As handle, for a port at which only the upstream registers.
    void handle_registration(const http_request& request,
                             const std::shared_ptr<responder>& response);

private:
    void health(responder& response);
    void take_heartbeat(const http_request& request, const std::shared_ptr<responder>& response);
    void take_departure(const http_request& request, const std::shared_ptr<responder>& response);
    void metrics(responder& response);
    void register_upstream(const http_request& request, const std::shared_ptr<responder>& response);
    void deregister_upstream(const std::shared_ptr<responder>& response);
    void status(const std::shared_ptr<responder>& response);
    void show_config(const std::shared_ptr<responder>& response);
    void publish_change(const http_request& request, const std::shared_ptr<responder>& response);

    kernel& node_;
};

} // namespace chestnutstand
