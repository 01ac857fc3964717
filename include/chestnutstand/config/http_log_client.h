#pragma once

#include "chestnutstand/config/log_client.h"
#include "chestnutstand/transport/http_client.h"

#include <string>

namespace chestnutstand {

/// Client of the log service over HTTP. An append that fails with UnavailableError has not taken
/// effect, with any other error it may have. A response that is too large fails with
/// ResourceExhaustedError.
class http_log_client : public log_client {
public:
    /// base_url has the form http://ip:port.
    http_log_client(http_client& client, std::string base_url);

    void append(const std::string& stream, std::string payload, append_done done) override;
    void read(const std::string& stream, std::uint64_t from, std::uint32_t limit,
              read_done done) override;

private:
    http_client& client_;
    std::string base_url_;
};

} // namespace chestnutstand
