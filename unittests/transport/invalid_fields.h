#pragma once

#include <string>
#include <vector>

namespace chestnutstand::testing {

/// Header fields that make the head of a request and of a response invalid. Each entry states a
/// length of 10 in some place.
inline const std::vector<std::string> invalid_fields{
    "Content-Length: 10\xb2",
    "Content-Length: 1\xb2.",
    "Content-Length: 5,",
    "Content-Length: 5, 10",
    "Content-Length: 10, 10",
    "Content-Length: 5 10",
    "Content-Length: +10",
    "Content-Length: -10",
    "Content-Length: 0x10",
    "Content-Length: 10.0",
    "Content-Length:",
    "Content-Length: 5\r\nContent-Length: 10",
    "Content-Length: 10\r\nContent-Length: 5",
    "Content-Length: 10\r\ncontent-length: 10",
    "Content-Length: 10\r\nTransfer-Encoding: chunked",
    "Transfer-Encoding: identity\r\nContent-Length: 10",
    "Transfer-Encoding: gzip, chunked",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    "Transfer-Encoding : chunked\r\nContent-Length: 10",
    "Content-Length : 5\r\nContent-Length: 10",
    "Bad Name: x\r\nContent-Length: 10",
    ": x\r\nContent-Length: 10",
    "no field\r\nContent-Length: 10",
    "X: a\r\n folded\r\nContent-Length: 10",
    "X: a\x01\r\nContent-Length: 10",
    "X: a\rY: b\r\nContent-Length: 10",
    "X: a\r\r\nContent-Length: 10",
    "X: a\nContent-Length: 10",
    "HTTP/1.1 200 OK\r\nContent-Length: 10",
};

} // namespace chestnutstand::testing
