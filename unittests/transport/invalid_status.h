#pragma once

#include <string>
#include <vector>

namespace chestnutstand::testing {

/// Statuses that a final response must not have, and texts that are not a status.
inline const std::vector<std::string> invalid_statuses{
    "000", "001", "099", "100", "101", "103", "199", "600", "999", "0200", "2000", "20", "-200",
};

inline std::string response_with_status(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status + " OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace chestnutstand::testing
