#pragma once

#include "chestnutstand/transport/peer_client.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace chestnutstand {

/// Interface to the executor of this process, for keys that name it as a candidate. Callbacks run
/// exactly once, on any thread, possibly before the method returns.
class key_executor {
public:
    key_executor() = default;
    key_executor(const key_executor&) = delete;
    key_executor& operator=(const key_executor&) = delete;
    virtual ~key_executor() = default;

    virtual void execute(const service_call& call, call_done done) = 0;
    virtual void settle(const std::string& key, peer_client::settle_done done) = 0;
};

/// Functions that key_owner and key_settlement need from their node. All of them are thread-safe.
struct key_environment {
    std::function<time_point()> now;
    /// Runs a task after a delay, on any thread.
    std::function<void(milliseconds, std::function<void()>)> run_after;
    /// Returns true only when the instance is known to have ended. A member that does not respond
    /// may be paused and resume later.
    std::function<bool(const node_reference&)> is_gone;
};

/// Timeout of one query about a key, and the exponential delay between repeated queries.
struct settle_timing {
    milliseconds timeout{1'000};
    milliseconds first_delay{20};
    milliseconds max_delay{1'000};

    milliseconds next_delay(milliseconds delay) const { return std::min(delay * 2, max_delay); }
};

/// Sends calls and settle requests to the candidates of keys, which are this process or peers.
class candidate_client {
public:
    candidate_client(std::uint64_t self, peer_client& peers, key_executor& local)
        : self_{self}, peers_{peers}, local_{local}
    {
    }

    void execute(const node_reference& target, const service_call& call, call_done done) const
    {
        if (target.instance == self_) {
            local_.execute(call, std::move(done));
            return;
        }
        peers_.execute(target, call, std::move(done));
    }

    void settle(const node_reference& target, const std::string& key, milliseconds timeout,
                peer_client::settle_done done) const
    {
        if (target.instance == self_) {
            local_.settle(key, std::move(done));
            return;
        }
        peers_.settle(target, key, timeout, std::move(done));
    }

private:
    std::uint64_t self_;
    peer_client& peers_;
    key_executor& local_;
};

} // namespace chestnutstand
