#pragma once

#include "chestnutstand/transport/peer_client.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace chestnutstand {

/// The executor of this process, for keys that name it as a candidate. Callbacks run exactly once,
/// on any thread, possibly before the method returns.
class key_executor {
public:
    key_executor() = default;
    key_executor(const key_executor&) = delete;
    key_executor& operator=(const key_executor&) = delete;
    virtual ~key_executor() = default;

    virtual void execute(const service_call& call, call_done done) = 0;
    virtual void settle(const std::string& key, peer_client::settle_done done) = 0;
};

/// What the two users of candidates need from the node around them. All callbacks are thread-safe.
struct key_environment {
    std::function<time_point()> now;
    /// Runs a task after a delay, on any thread.
    std::function<void(milliseconds, std::function<void()>)> after;
    /// True only when the instance is known to have ended; a silent member may just be paused.
    std::function<bool(const node_reference&)> is_gone;
};

/// Times between queries about a key and the limit of one query.
struct settle_timing {
    milliseconds timeout{1'000};
    milliseconds first_delay{20};
    milliseconds longest_delay{1'000};

    milliseconds next(milliseconds delay) const { return std::min(delay * 2, longest_delay); }
};

/// Executors by reference, whether it is this process or a peer.
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
